//! A limit that is lowered while its workspace sends as much as it may: guards against tokens of the
//! old limit that are used for long.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Fleet, Workspace, run_virtual, seconds, seeded};
use sk_allowance::AllowanceRate;

#[test]
fn a_lowered_limit_binds_after_one_window() {
    run_virtual(async {
        let rate = AllowanceRate { rate_per_s: 300.0, burst: 300.0 };
        let name = Arc::from("lowered");
        let fleet = Fleet::start(13, vec![Workspace { name, rate, usual: 400.0 }]);
        let mut rng = seeded(5);
        fleet.run(seconds(10), &mut rng, &[1.0]).await;
        fleet.set_rate(0, AllowanceRate { rate_per_s: 30.0, burst: 10.0 });
        fleet.run(seconds(25), &mut rng, &[1.0]).await;
        let (worst, _) = fleet.worst_window(seconds(15));
        let admitted = fleet.admitted_part(0, seconds(12), seconds(25));
        println!("worst window {worst:.3} of the new bound, admitted {admitted:.3}");
        assert!(worst <= 1.0, "{worst} of the new bound used");
        assert!(admitted > 0.9, "only {admitted} of what a central bucket admits");
        // What was held before expires within 600 ms.
        let late = fleet.admitted_between(0, seconds(10) + Duration::from_millis(600), seconds(15));
        assert!(late <= 30 * 5 + 10 + 20, "{late} requests admitted after the tokens expired");
    });
}
