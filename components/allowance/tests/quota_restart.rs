//! A restart of all daemons: guards against a second burst of every workspace.

mod common;

use common::{Fleet, power_law, run_virtual, seconds, seeded};

fn check_restart(count: usize, workspaces: usize, flooding: usize) {
    run_virtual(async {
        let mut rng = seeded(count as u64);
        let fleet = Fleet::start(count, power_law(workspaces, 25.0 * count as f64));
        let mut factor = vec![1.0; workspaces];
        fleet.run(seconds(8), &mut rng, &factor).await;
        factor[flooding] = 6.0;
        fleet.run(seconds(10), &mut rng, &factor).await;
        fleet.kill(0..count);
        fleet.restart(0..count);
        fleet.update_members();
        fleet.run(seconds(22), &mut rng, &factor).await;
        let (worst, workspace) = fleet.worst_window(seconds(0));
        let admitted = fleet.admitted_part(flooding, seconds(12), seconds(22));
        let refused = fleet.refused_usual_part(flooding, seconds(10), seconds(22));
        println!(
            "{count} daemons: worst window {worst:.3} of the bound (w{workspace}), admitted \
             {admitted:.3} of the flood's, refused {refused:.4} of the others'"
        );
        assert!(worst <= 1.0, "workspace {workspace} used {worst} of the bound");
        assert!(admitted > 0.9, "only {admitted} of what a central bucket admits");
        assert!(refused < 0.01, "{refused} of the other workspaces' requests refused");
    });
}

#[test]
fn thirteen_daemons() {
    check_restart(13, 40, 0);
}

#[test]
fn eighty_daemons() {
    check_restart(80, 82, 2);
}
