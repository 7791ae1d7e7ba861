//! The table while members come and go and the configuration stays.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_model::{
    ConfigSnapshot, RouteSetting, ServiceSetting, SettingBody, SnapshotRoot, SplitPart, TeamTree,
};
use sk_proxy::{RouteTable, TablePlace};

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
    RouteTable::build(before, snapshot, members, &TablePlace::default(), Duration::ZERO)
}

/// Every restart of a daemon and every server that comes or goes rebuilds the table, in a rolling
/// restart ten times a second. Where the routes were built anew each time, a service that shares a
/// route by halves got what chance gave it, and with two thousand routes a small instance spent its
/// processor on them while callers waited.
#[test]
fn split_goes_on() {
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

/// A version that drops a route follows. The routes of the one before must not stay.
#[test]
fn next_version_holds() {
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
