//! Demand that moves between daemons: guards against tokens that stay where they are not used.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Fleet, Workspace, run_virtual, seconds};
use sk_allowance::AllowanceRate;
use tokio::time::sleep;

#[test]
fn demand_that_moves_each_second_is_served() {
    run_virtual(async {
        let rate = AllowanceRate { rate_per_s: 200.0, burst: 100.0 };
        let name = Arc::from("moving");
        let fleet = Fleet::start(80, vec![Workspace { name, rate, usual: 150.0 }]);
        sleep(Duration::from_secs(1)).await;
        for second in 0..20 {
            // All requests of a second reach one daemon, those of the next one another.
            for _ in 0..150 {
                fleet.request(0, second * 7 % 80);
                sleep(Duration::from_micros(6_666)).await;
            }
        }
        let refused = fleet.refused_part(seconds(0), seconds(60));
        let (worst, _) = fleet.worst_window(seconds(0));
        println!("refused {refused:.4}, worst window {worst:.3} of the bound");
        assert!(refused < 0.01, "{refused} of the requests refused");
        assert!(worst <= 1.0, "{worst} of the bound used");
    });
}
