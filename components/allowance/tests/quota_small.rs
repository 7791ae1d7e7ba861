//! Small workspaces: guards against losses of a workspace whose requests reach another daemon each
//! time, so that no daemon can hold tokens for it ahead of need.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Fleet, Workspace, run_virtual, seconds};
use sk_allowance::AllowanceRate;
use tokio::time::sleep;

#[test]
fn one_request_a_second_over_eighty_daemons_loses_none() {
    run_virtual(async {
        let rate = AllowanceRate { rate_per_s: 1.0, burst: 1.0 };
        let fleet =
            Fleet::start(80, vec![Workspace { name: Arc::from("small"), rate, usual: 1.0 }]);
        for index in 0..120 {
            fleet.request(0, index * 7 % 80);
            sleep(Duration::from_secs(1)).await;
        }
        let refused = fleet.refused_part(seconds(0), seconds(200));
        assert_eq!(fleet.decisions.borrow().len(), 120);
        assert_eq!(refused, 0.0);
        assert!(fleet.calls.get() <= 120, "{} calls", fleet.calls.get());
    });
}

#[test]
fn workspaces_without_a_limit_cause_no_calls() {
    run_virtual(async {
        let rate = AllowanceRate { rate_per_s: 1.0, burst: 1.0 };
        let limited = Workspace { name: Arc::from("small"), rate, usual: 0.0 };
        let fleet = Fleet::start(3, vec![limited]);
        let book = fleet.book(0);
        for _ in 0..100 {
            assert_eq!(book.take("other").await, sk_allowance::AllowanceVerdict::Granted);
            book.charge("other");
        }
        assert_eq!(fleet.calls.get(), 0);
    });
}
