//! Which daemons may decide for the fleet, and how the roster is kept.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sk_member::{
    FleetKnowledge, FleetRoster, LocalReachability, MemberRecord, MemberSnapshot, MemberStatus,
    ReachabilityMarks, RosterUpkeep,
};

fn record(name: &str, status: MemberStatus) -> MemberRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    MemberRecord {
        proxy: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        status,
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
        control: address,
        guard: address,
        endpoints: Vec::new(),
    }
}

fn members(names: &[(&str, MemberStatus)]) -> MemberSnapshot {
    let entry =
        |(name, status): &(&str, MemberStatus)| (name.to_string(), Arc::new(record(name, *status)));
    Arc::new(names.iter().map(entry).collect())
}

fn alive(names: &[&str]) -> MemberSnapshot {
    let names: Vec<_> = names.iter().map(|name| (*name, MemberStatus::Alive)).collect();
    members(&names)
}

fn marks(unreachable: &[&str]) -> ReachabilityMarks {
    let mark = |name: &&str| (name.to_string(), LocalReachability::Unreachable);
    Arc::new(unreachable.iter().map(mark).collect::<BTreeMap<_, _>>())
}

fn roster(names: &[&str]) -> FleetRoster {
    names.iter().map(|name| name.to_string()).collect()
}

fn assess(own: &str, members: &MemberSnapshot, gone: &[&str], names: &[&str]) -> FleetKnowledge {
    FleetKnowledge::assess(own, members, &marks(gone), Some(&Arc::new(roster(names))))
}

/// Guards against a daemon that has just started and takes itself for the whole fleet.
#[test]
fn alone_at_start() {
    let own = alive(&["d4"]);
    assert!(!FleetKnowledge::assess("d4", &own, &marks(&[]), None).knows_fleet());
    let knowledge = assess("d4", &own, &[], &["d1", "d2", "d3"]);
    assert!(!knowledge.knows_fleet());
    assert_eq!(knowledge.daemon_count(), 4);
    assert_eq!(knowledge.unheard().collect::<Vec<_>>(), ["d1", "d2", "d3"]);
    let first = assess("d4", &own, &[], &[]);
    assert!(first.is_complete(), "a fleet of one daemon");
    assert_eq!(first.daemon_count(), 1);
}

/// Guards against two groups that do not reach each other and both decide.
#[test]
fn one_side_decides() {
    let names = ["d1", "d2", "d3", "d4", "d5", "d6"];
    let all = alive(&names);
    for cut in 0..1_u32 << names.len() {
        let side = |is_cut: bool| {
            let of = |index: &usize| (cut >> index & 1 == 1) == is_cut;
            (0..names.len()).filter(of).map(|index| names[index]).collect::<Vec<_>>()
        };
        let (inside, outside) = (side(true), side(false));
        let decides = |own: &[&str], others: &[&str]| {
            own.first().is_some_and(|first| assess(first, &all, others, &[]).knows_fleet())
        };
        assert_ne!(decides(&inside, &outside), decides(&outside, &inside), "cut {cut:b}");
    }
}

/// Guards against a group that has started within a cut and knows only itself.
#[test]
fn started_in_a_cut() {
    let group = alive(&["d7", "d8", "d9"]);
    assert!(!assess("d7", &group, &[], &["d1", "d2", "d3", "d4"]).knows_fleet());
    let most = assess("d7", &group, &[], &["d1", "d2"]);
    assert!(most.knows_fleet());
    assert!(!most.is_complete(), "nobody knows what d1 and d2 run");
}

/// Guards against daemons that have left or are gone for good and count for ever.
#[test]
fn left_daemons() {
    use MemberStatus::{Alive, Gone, Leaving};
    let table = members(&[("d1", Alive), ("d2", Leaving), ("d3", Gone)]);
    let knowledge = assess("d1", &table, &[], &["d1", "d2"]);
    assert!(knowledge.is_complete());
    assert!(!knowledge.has("d2") && !knowledge.has("d3"));
    assert!(!assess("d1", &table, &[], &["d2", "d3", "d4"]).knows_fleet());
}

/// Guards against a daemon that is cut off and strikes the others off the roster.
#[test]
fn silent_names_kept() {
    let mut upkeep = RosterUpkeep::default();
    let (stored, own) = (roster(&["d1", "d2", "d3"]), alive(&["d3"]));
    let mut update = |stored: &FleetRoster, seconds: u64| {
        let now = Duration::from_secs(seconds);
        let wanted = upkeep.update("a", stored, &own, &marks(&[]), now);
        (wanted, upkeep.removed().cloned().collect::<FleetRoster>())
    };
    assert_eq!(update(&stored, 0), (stored.clone(), roster(&[])));
    assert_eq!(update(&stored, 59), (stored.clone(), roster(&[])));
    // Removed names count until those who run have had time to add themselves again.
    assert_eq!(update(&stored, 61), (roster(&["d3"]), roster(&["d1", "d2"])));
    let again = roster(&["d2", "d3"]);
    assert_eq!(update(&again, 70), (again.clone(), roster(&["d1", "d2"])));
    assert_eq!(update(&again, 92), (again.clone(), roster(&[])));
}

/// Guards against names that the roster lacks, and against those of daemons that have left.
#[test]
fn names_follow_members() {
    use MemberStatus::{Alive, Leaving};
    let mut upkeep = RosterUpkeep::default();
    let table = members(&[("d1", Alive), ("d2", Leaving), ("d4", Alive)]);
    let stored = roster(&["d1", "d2", "d3"]);
    let wanted = upkeep.update("a", &stored, &table, &marks(&[]), Duration::ZERO);
    assert_eq!(wanted, roster(&["d1", "d3", "d4"]));
}
