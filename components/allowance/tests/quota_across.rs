//! Limits over all daemons together, in calm times and when one workspace sends six times its usual
//! demand: guards against windows over the bound and against refusals below the allowance.

mod common;

use common::{Fleet, power_law, run_virtual, seconds, seeded};

/// Requests a second that each daemon receives.
const PER_DAEMON: f64 = 25.0;
/// Part of the requests within the allowance that may be refused in calm times.
const MAX_REFUSED: f64 = 0.01;

/// Runs a fleet in calm times and then with one workspace over its limit.
fn check_fleet(count: usize, workspaces: usize, flooding: usize) {
    run_virtual(async {
        let mut rng = seeded(count as u64);
        let fleet = Fleet::start(count, power_law(workspaces, PER_DAEMON * count as f64));
        let mut factor = vec![1.0; workspaces];
        fleet.run(seconds(12), &mut rng, &factor).await;
        let calls = fleet.calls.get() as f64 / fleet.decisions.borrow().len() as f64;
        let refused = fleet.refused_part(seconds(5), seconds(12));
        factor[flooding] = 6.0;
        fleet.run(seconds(24), &mut rng, &factor).await;
        let (worst, workspace) = fleet.worst_window(seconds(0));
        let admitted = fleet.admitted_part(flooding, seconds(12), seconds(24));
        println!(
            "{count} daemons: refused {refused:.4} calm, {admitted:.3} of the central bucket's \
             in the flood, worst window {worst:.3} of the bound (w{workspace}), {calls:.2} calls a request"
        );
        assert!(refused < MAX_REFUSED, "{refused} of the requests within the allowance refused");
        assert!(admitted > 0.95, "only {admitted} of what a central bucket admits in a flood");
        assert!(worst <= 1.0, "workspace {workspace} used {worst} of the bound");
    });
}

#[test]
fn three_daemons() {
    check_fleet(3, 20, 0);
}

#[test]
fn thirteen_daemons() {
    check_fleet(13, 40, 3);
}

#[test]
fn eighty_daemons() {
    check_fleet(80, 82, 0);
}

#[test]
fn eighty_daemons_and_a_middling_flood() {
    check_fleet(80, 82, 12);
}

#[test]
fn three_hundred_daemons() {
    check_fleet(300, 120, 0);
}
