//! Owners that return: guards against a bucket that fills at a former owner while another daemon grants
//! its tokens, so that the next change of owner grants the burst again.

mod common;

use std::{rc::Rc, sync::Arc, time::Duration};

use common::{Fleet, Workspace, run_virtual, seconds, seeded};
use sk_allowance::{AllowanceAsk, AllowanceBook, AllowanceDesk, AllowanceRate, MemberPresence};
use sk_decide::allowance::TokenWant;
use tokio::time::sleep;

/// Limit of the workspace, and its usual demand.
const RATE: AllowanceRate = AllowanceRate { rate_per_s: 575.0, burst: 575.0 };
const USUAL: f64 = 300.0;
/// Factor on the usual demand when the owner is lost for the last time.
const FLOOD: f64 = 6.0;

/// Takes the owner away and brings it back several times, for the last time in a flood, and checks all
/// windows.
async fn check_returns(lose: impl Fn(&Rc<Fleet>, usize), bring_back: impl Fn(&Rc<Fleet>, usize)) {
    let workspace = Workspace { name: Arc::from("flooding"), rate: RATE, usual: USUAL };
    let (fleet, mut rng) = (Fleet::start(6, vec![workspace]), seeded(4));
    let owner = fleet.owner_of(0);
    fleet.run(seconds(4), &mut rng, &[1.0]).await;
    for round in 0..3 {
        let begin = seconds(4 + 8 * round);
        lose(&fleet, owner);
        fleet.run(begin + seconds(3), &mut rng, &[1.0]).await;
        bring_back(&fleet, owner);
        fleet.run(begin + seconds(7), &mut rng, &[1.0]).await;
        // The former owner's burst goes first, then that of the one that takes over.
        fleet.run(begin + seconds(8), &mut rng, &[FLOOD]).await;
    }
    lose(&fleet, owner);
    fleet.run(seconds(33), &mut rng, &[FLOOD]).await;
    let (worst, _) = fleet.worst_window(seconds(0));
    println!("worst window {worst:.3} of the bound");
    assert!(worst <= 1.0, "{worst} of the bound used");
}

#[test]
fn owner_stopped() {
    run_virtual(check_returns(
        |fleet, owner| {
            fleet.stop(owner..owner + 1);
            fleet.update_members();
        },
        |fleet, owner| {
            fleet.restart(owner..owner + 1);
            fleet.update_members();
        },
    ));
}

#[test]
fn owner_killed() {
    run_virtual(check_returns(
        |fleet, owner| {
            fleet.kill(owner..owner + 1);
            fleet.update_members();
        },
        |fleet, owner| {
            fleet.restart(owner..owner + 1);
            fleet.update_members();
        },
    ));
}

#[test]
fn owner_cut_off() {
    run_virtual(check_returns(
        |fleet, owner| {
            fleet.cut(owner..owner + 1);
            fleet.notice_later();
        },
        |fleet, _| {
            fleet.heal();
            fleet.notice_later();
        },
    ));
}

/// An owner that was suspended sees no change of the members: others took over and handed back while it
/// did not run.
#[test]
fn owner_suspended() {
    run_virtual(async {
        let name: Arc<str> = Arc::from("flooding");
        let (book, _calls) = AllowanceBook::new("a");
        book.set_members([("a", MemberPresence::Alive)].into_iter());
        book.set_rates([(name.clone(), RATE)].into());
        let grant = || {
            let want = TokenWant { needed: 10_000, ..TokenWant::default() };
            let ask = AllowanceAsk { workspace: name.clone(), want };
            book.grant("a", &[ask])[0].expect("an owner").tokens
        };
        grant();
        for _ in 0..8 {
            sleep(Duration::from_millis(500)).await;
            book.record_alive();
        }
        let idle = grant();
        assert!(f64::from(idle) >= RATE.burst - 1.0, "{idle} of an idle workspace's burst");
        sleep(seconds(4)).await;
        let suspended = grant();
        assert!(suspended < 100, "{suspended} tokens for the time of the suspension");
    });
}

/// A daemon that is asked although another one owns the bucket has no burst to grant.
#[test]
fn asked_by_mistake() {
    run_virtual(async {
        let workspace = Workspace { name: Arc::from("flooding"), rate: RATE, usual: USUAL };
        let fleet = Fleet::start(6, vec![workspace]);
        let other = (fleet.owner_of(0) + 1) % fleet.len();
        for _ in 0..2 {
            sleep(seconds(5)).await;
            let want = TokenWant { needed: 10_000, ..TokenWant::default() };
            let ask = AllowanceAsk { workspace: fleet.workspaces[0].name.clone(), want };
            let tokens = fleet.book(other).grant("late", &[ask])[0].map_or(0, |grant| grant.tokens);
            assert!(tokens < 100, "{tokens} tokens");
        }
    });
}
