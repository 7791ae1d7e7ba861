//! Rebuilds of the table while members change and the configuration stays.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_decide::retrying::RetrySettings;
use sk_model::{
    ConfigSnapshot, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, SplitPart, TeamTree,
};
use sk_proxy::{RouteTable, TableOwner, TableTuning};
use sk_rollout::RolloutView;

const OLD: &str = "/team/old";
const NEW: &str = "/team/new";

fn half(service: &str) -> SplitPart {
    SplitPart { service: service.to_owned(), weight: 1 }
}

fn snapshot() -> ConfigSnapshot {
    let route = RouteSetting {
        split: vec![half(OLD), half(NEW)],
        deadline_ms: 1_000,
        ..RouteSetting::new("/board", "")
    };
    let service = || SettingBody::Service(ServiceSetting::default());
    let settings = BTreeMap::from([
        (OLD.to_owned(), service()),
        (NEW.to_owned(), service()),
        ("/team/routes/board".to_owned(), SettingBody::Route(route)),
    ]);
    let trees = BTreeMap::from([("team".to_owned(), Arc::new(TeamTree { settings }))]);
    ConfigSnapshot { root: SnapshotRoot { version: 1, ..SnapshotRoot::default() }, trees }
}

fn rebuild(before: &RouteTable, snapshot: &ConfigSnapshot) -> RouteTable {
    let members = std::iter::empty();
    RouteTable::build(before, snapshot, members, &TableOwner::default(), Duration::ZERO)
}

/// Guards against routes being built anew with each change of the members, which in a rolling
/// restart happens ten times a second. A service that receives half of a route would then get a
/// random share, and with two thousand routes a small instance would spend its processor on them
/// while callers wait.
#[test]
fn split_kept() {
    let snapshot = snapshot();
    let mut table = rebuild(&RouteTable::default(), &snapshot);
    for round in 0..20 {
        let mut to_old = 0;
        for _ in 0..50 {
            table = rebuild(&table, &snapshot);
            let found = table.find(None, "/board/7").expect("a route");
            to_old += u32::from(*found.service.name == *OLD);
        }
        assert!((23..=27).contains(&to_old), "round {round}: {to_old} of 50 to one half");
    }
}

/// Guards against routes of an earlier version staying in the table after a version that drops
/// them.
#[test]
fn dropped_route_removed() {
    let before = snapshot();
    let table = rebuild(&RouteTable::default(), &before);
    let mut after = before.clone();
    let mut tree = TeamTree::clone(&after.trees["team"]);
    tree.settings.remove("/team/routes/board");
    after.root.version = 2;
    after.trees.insert("team".to_owned(), Arc::new(tree));
    let table = rebuild(&table, &after);
    assert_eq!(table.version(), 2);
    assert!(table.find(None, "/board/7").is_none());
}

/// Guards against a daemon that sees few others and takes the fleet's whole budget of retries. The
/// fleet has as many daemons as are known, not as many as are members here.
#[test]
fn part_of_budget() {
    let retry = RetrySettings { is_shared: true, cap: 20_000, ..RetrySettings::default() };
    let tuning = TableTuning { retry, ..TableTuning::default() };
    let owner = TableOwner { tuning, ..TableOwner::default() };
    let mut table = RouteTable::default();
    for (daemons, expected) in [(1, 20), (4, 5), (20, 1)] {
        let (members, view) = (std::iter::empty(), RolloutView::default());
        let division = (&view, daemons);
        let now = Duration::ZERO;
        table = RouteTable::build_divided(&table, &snapshot(), members, &owner, division, now);
        let service = table.find(None, "/board/7").expect("a route").service;
        assert_eq!(service.remaining_retries(), expected, "{daemons} daemons");
    }
}
