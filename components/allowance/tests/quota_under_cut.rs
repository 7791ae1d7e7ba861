//! Daemons that are cut off or terminate: guards against windows over the bound while parts of a
//! fleet cannot reach each other, and against refusals of what those parts may admit.

mod common;

use common::{Fleet, power_law, run_virtual, seconds, seeded};

/// What happens to the daemons between 8 s and 20 s.
#[derive(Clone, Copy)]
enum Trouble {
    ThirdCutOff,
    ThirdKilled,
    OwnerKilled,
}

fn check_fleet(count: usize, workspaces: usize, flooding: usize, trouble: Trouble) {
    run_virtual(async {
        let mut rng = seeded(count as u64);
        let fleet = Fleet::start(count, power_law(workspaces, 25.0 * count as f64));
        let mut factor = vec![1.0; workspaces];
        fleet.run(seconds(8), &mut rng, &factor).await;
        factor[flooding] = 6.0;
        match trouble {
            Trouble::ThirdCutOff => fleet.cut((0..count).step_by(3)),
            Trouble::ThirdKilled => fleet.kill((0..count).step_by(3)),
            Trouble::OwnerKilled => fleet.kill(std::iter::once(fleet.owner_of(flooding))),
        }
        fleet.notice_later();
        fleet.run(seconds(20), &mut rng, &factor).await;
        fleet.heal();
        fleet.restart((0..count).filter(|index| !fleet.is_running(*index)));
        fleet.notice_later();
        fleet.run(seconds(32), &mut rng, &factor).await;
        let (worst, workspace) = fleet.worst_window(seconds(0));
        let admitted = fleet.admitted_part(flooding, seconds(8), seconds(32));
        let refused = fleet.refused_usual_part(flooding, seconds(8), seconds(32));
        println!(
            "{count} daemons: worst window {worst:.3} of the bound (w{workspace}), admitted \
             {admitted:.3} of the flood's central bucket, refused {refused:.4} of the others'"
        );
        assert!(worst <= 1.0, "workspace {workspace} used {worst} of the bound");
    });
}

#[test]
fn third_of_three_cut_off() {
    check_fleet(3, 20, 0, Trouble::ThirdCutOff);
}

#[test]
fn third_of_thirteen_cut_off() {
    check_fleet(13, 40, 1, Trouble::ThirdCutOff);
}

#[test]
fn third_of_eighty_cut_off() {
    check_fleet(80, 82, 0, Trouble::ThirdCutOff);
}

#[test]
fn third_of_eighty_cut_off_and_a_small_flood() {
    check_fleet(80, 82, 30, Trouble::ThirdCutOff);
}

#[test]
fn third_of_eighty_killed() {
    check_fleet(80, 82, 4, Trouble::ThirdKilled);
}

#[test]
fn owner_of_a_flood_killed() {
    check_fleet(80, 82, 12, Trouble::OwnerKilled);
}

#[test]
fn owner_of_the_largest_flood_killed() {
    check_fleet(13, 40, 0, Trouble::OwnerKilled);
}
