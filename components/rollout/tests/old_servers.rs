//! What a relay has to know of the old servers before an order is done.

mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{member, order, stage_record};
use sk_decide::rollout::{RolloutPhase, RolloutSettings, RolloutStage};
use sk_member::{FleetKnowledge, FleetRoster, LocalReachability, MemberRecord, MemberSnapshot};
use sk_rollout::{
    EvidenceRecord, OrderBook, OrderControl, OrderState, SharedRollouts, StageRecord,
};
use tokio::time::Instant;

/// Value of [`EvidenceRecord::stage_known`] of a guard that knows the end of the order.
const ENDED: u16 = 1001;

/// A relay beside one server of the target version, with the daemons `d1` to `d4`.
struct TestRelay {
    rollouts: SharedRollouts,
    control: OrderControl,
    begin: Instant,
    members: BTreeMap<String, Arc<MemberRecord>>,
    unreachable: Vec<&'static str>,
    roster: FleetRoster,
    sequence: u64,
}

/// Returns the record of a phase. Without hosts no old server has been seen.
fn stage(phase: RolloutPhase, hosts: &[&str]) -> StageRecord {
    let stage = RolloutStage { phase, share_thousandths: 1000, servers: 1 };
    let mut record = stage_record(stage, 1_000_000, hosts);
    if hosts.is_empty() {
        record.base.clear();
    }
    record
}

impl TestRelay {
    /// Creates a relay whose order has reached a phase.
    fn new(phase: RolloutPhase, hosts: &[&str], members: &[(&str, Option<&str>)]) -> Self {
        let (rollouts, begin) = (SharedRollouts::new(), Instant::now());
        rollouts.merge_stage(&stage(phase, hosts), begin);
        rollouts.merge_book(
            &OrderBook { position: 9, orders: vec![order(Some(OrderState::Running))] },
            begin,
        );
        let record = |(name, version): &(&str, Option<&str>)| {
            (name.to_string(), Arc::new(member(name, *version)))
        };
        Self {
            rollouts,
            control: OrderControl::new(RolloutSettings::default()),
            begin,
            members: members.iter().map(record).collect(),
            unreachable: Vec::new(),
            roster: FleetRoster::new(),
            sequence: 0,
        }
    }

    /// Merges what the guard of a daemon says.
    fn report(&mut self, host: &str, stage_known: u16, running: u32) {
        self.sequence += 1;
        let evidence = EvidenceRecord {
            order: order(None).id(),
            daemon: host.to_owned(),
            incarnation: 1,
            sequence: self.sequence,
            server: format!("server of {host}"),
            version: "v1".to_owned(),
            sent: 10,
            running,
            stage_known,
            work: BTreeMap::new(),
        };
        let body = serde_json::json!({ "rollouts": { "evidence": [evidence] } });
        assert!(self.rollouts.merge_notice(body.to_string().as_bytes()));
    }

    /// Decides at each 200 ms of a span, and returns the states that the store would get.
    fn play(&mut self, span_ms: std::ops::Range<u64>) -> Vec<OrderState> {
        let mut due = Vec::new();
        for after_ms in span_ms.step_by(200) {
            let now = self.begin + Duration::from_millis(after_ms);
            let mark = |name: &&str| (name.to_string(), LocalReachability::Unreachable);
            let marks = Arc::new(self.unreachable.iter().map(mark).collect());
            let snapshot: MemberSnapshot = Arc::new(self.members.clone());
            let fleet = FleetKnowledge::assess(
                "d4",
                &snapshot,
                &marks,
                Some(&Arc::new(self.roster.clone())),
            );
            assert!(fleet.knows_fleet());
            self.rollouts.observe(snapshot.values().map(|record| &**record), now);
            self.control.decide(&self.rollouts, &fleet, true, now, 1_000_000 + after_ms);
            let states = self.control.due_states(&self.rollouts, &fleet, now);
            due.extend(states.into_iter().map(|(_, state)| state));
        }
        due.dedup();
        due
    }
}

const OLD: [&str; 3] = ["d1", "d2", "d3"];
const MEMBERS: [(&str, Option<&str>); 4] =
    [("d1", Some("v1")), ("d2", Some("v1")), ("d3", Some("v1")), ("d4", Some("v2"))];

/// Guards against an order that is done after a time without news of the old servers.
#[test]
fn waits_for_guards() {
    let mut relay = TestRelay::new(RolloutPhase::Finished, &OLD, &MEMBERS);
    OLD.iter().for_each(|host| relay.report(host, 1000, 0));
    assert_eq!(relay.play(0..60_000), []);
    OLD[..2].iter().for_each(|host| relay.report(host, ENDED, 0));
    relay.report("d3", ENDED, 1);
    assert_eq!(relay.play(60_000..70_000), []);
    relay.report("d3", ENDED, 0);
    assert_eq!(relay.play(70_000..70_200), [OrderState::Done]);
}

/// Guards against one daemon that is cut off and keeps an order from being done.
#[test]
fn few_lost() {
    let mut relay = TestRelay::new(RolloutPhase::Finished, &OLD, &MEMBERS);
    relay.unreachable = vec!["d1"];
    OLD[1..].iter().for_each(|host| relay.report(host, ENDED, 0));
    assert_eq!(relay.play(0..200), [OrderState::Done]);
}

/// Guards against an order that ends, either way, while most of the old servers are out of reach.
#[test]
fn most_lost() {
    let members =
        [MEMBERS[0], MEMBERS[1], MEMBERS[2], MEMBERS[3], ("d5", Some("v2")), ("d6", None)];
    for phase in [RolloutPhase::Canary, RolloutPhase::Moving, RolloutPhase::Finished] {
        let mut relay = TestRelay::new(phase, &OLD, &members);
        relay.unreachable = vec!["d1", "d2"];
        relay.report("d3", ENDED, 0);
        assert_eq!(relay.play(0..30_000), [], "{phase}");
    }
}

/// Guards against daemons that have started again, do not list their servers yet, and are taken for
/// ones without old servers.
#[test]
fn not_listed_yet() {
    let started = [("d1", None), ("d2", None), ("d3", None), ("d4", Some("v2"))];
    for phase in [RolloutPhase::Moving, RolloutPhase::Finished] {
        let mut relay = TestRelay::new(phase, &OLD, &started);
        assert_eq!(relay.play(0..4_800), [], "{phase}");
        assert_eq!(relay.play(4_800..9_000), [OrderState::Done], "{phase}");
    }
}

/// Guards against a relay that takes the target version for the only one although it has never heard
/// of some daemons.
#[test]
fn unheard_daemon() {
    let members = [("d4", Some("v2")), ("d5", Some("v2"))];
    let mut relay = TestRelay::new(RolloutPhase::Canary, &[], &members);
    relay.roster = FleetRoster::from(["d1".to_owned()]);
    assert_eq!(relay.play(0..30_000), []);
    let mut relay = TestRelay::new(RolloutPhase::Canary, &[], &members);
    assert_eq!(relay.play(0..3_000), [OrderState::Done]);
}
