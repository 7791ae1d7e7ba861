//! Records about orders that daemons exchange. Each kind merges in any order.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sk_decide::rollout::{
    GroupEvidence, RolloutPhase, RolloutStage, ServerKey, TIME_RANGES, VersionEvidence,
    WorkEvidence,
};
use sk_member::{ServerId, ServerVersion};
use sk_model::{ProxyId, ServiceName, UnixMillis};

use crate::orders::OrderId;

/// Kinds of work that a record holds at most; those beyond are counted under key 0.
pub(crate) const MAX_WORK_KINDS: usize = 24;

/// How far an order has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRecord {
    /// The order.
    pub order: OrderId,
    /// Its service.
    pub service: ServiceName,
    /// Its target version.
    pub target: ServerVersion,
    /// Revision at which its object was created.
    pub created: u64,
    /// When it was first known, in milliseconds since the Unix epoch.
    pub started_at: UnixMillis,
    /// Phase and share.
    pub stage: RolloutStage,
    /// Versions that ran beside the target version.
    pub base: Vec<ServerVersion>,
    /// Daemons beside which servers of these versions have been seen since the order. The order is
    /// not done before most of them have said that their servers run nothing any more.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts: BTreeSet<ProxyId>,
    /// Why it ended, if the stage does not say.
    pub note: Option<String>,
}

impl StageRecord {
    /// Merges what another daemon knows, and returns whether anything changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.stage = self.stage.merge(other.stage);
        self.started_at = self.started_at.min(other.started_at);
        if self.note.as_ref() < other.note.as_ref() {
            self.note.clone_from(&other.note);
        }
        self.base.extend(other.base.iter().cloned());
        self.base.sort();
        self.base.dedup();
        self.hosts.extend(other.hosts.iter().cloned());
        *self != before
    }

    /// Returns why the order ended, `None` while it runs.
    pub fn reason(&self) -> Option<String> {
        match (self.stage.phase, &self.note) {
            (RolloutPhase::RolledBack(_) | RolloutPhase::Finished, Some(note)) => {
                Some(note.clone())
            }
            (RolloutPhase::RolledBack(reason), None) => Some(reason.to_string()),
            _ => None,
        }
    }
}

/// What the store keeps of an order, so that a restart of all daemons continues from there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredStage {
    /// How far it has come.
    pub record: StageRecord,
    /// Counts up to then.
    pub counts: GroupCounts,
}

impl StoredStage {
    /// Returns this merged with what the store has of the same order. The counts that cover more
    /// requests hold.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut merged = self.clone();
        merged.record.merge(&other.record);
        if other.counts.sent > merged.counts.sent {
            merged.counts.clone_from(&other.counts);
        }
        merged
    }
}

/// Counts of an order, summed over the guards of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupCounts {
    /// Answers of the target version.
    pub target: VersionEvidence,
    /// Answers of the other versions.
    pub base: VersionEvidence,
    /// Requests sent to servers.
    pub sent: u64,
    /// Requests among them that were sent to the target version.
    pub sent_to_target: u64,
}

/// What one guard counted for an order, in a compact form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The order.
    #[serde(rename = "o")]
    pub order: OrderId,
    /// The guard.
    #[serde(rename = "d")]
    pub daemon: ProxyId,
    /// Incarnation of the guard.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the record; the greater one holds.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// The server.
    #[serde(rename = "s")]
    pub server: ServerId,
    /// Its version.
    #[serde(rename = "v")]
    pub version: ServerVersion,
    /// Requests sent to it.
    #[serde(rename = "n")]
    pub sent: u64,
    /// Requests open at the guard.
    #[serde(rename = "r")]
    pub running: u32,
    /// Share known to the guard, in thousandths; above 1000 once the order has ended.
    #[serde(rename = "g")]
    pub stage_known: u16,
    /// Answers by kind of work.
    #[serde(rename = "w")]
    pub work: BTreeMap<u64, CompactEvidence>,
}

/// Value of [`EvidenceRecord::stage_known`] after the end of the order.
pub(crate) const STAGE_ENDED: u16 = 1001;

/// Answers, failures, and the counts of those ranges of service times that are not empty.
pub type CompactEvidence = (u64, u64, Vec<(u8, u64)>);

impl EvidenceRecord {
    /// Returns the evidence in the form of the decision.
    pub(crate) fn evidence(&self) -> VersionEvidence {
        let expand = |(answers, failures, ranges): &CompactEvidence| {
            let mut times = [0; TIME_RANGES];
            for (range, count) in ranges {
                if let Some(total) = times.get_mut(usize::from(*range)) {
                    *total = *count;
                }
            }
            WorkEvidence { answers: *answers, failures: *failures, times }
        };
        VersionEvidence {
            by_work: self.work.iter().map(|(work, counts)| (*work, expand(counts))).collect(),
        }
    }
}

/// Converts evidence to the compact form.
pub(crate) fn compact(evidence: &VersionEvidence) -> BTreeMap<u64, CompactEvidence> {
    let of_work = |counts: &WorkEvidence| {
        let ranges = counts.times.iter().enumerate().filter(|(_, count)| **count > 0);
        let ranges = ranges.map(|(range, count)| (range as u8, *count)).collect();
        (counts.answers, counts.failures, ranges)
    };
    evidence.by_work.iter().map(|(work, counts)| (*work, of_work(counts))).collect()
}

/// Adds stored sums, whose servers are not known apart, to the evidence of a group.
pub(crate) fn add_stored(group: &mut GroupEvidence, stored: &VersionEvidence) {
    const STORED: ServerKey = 0;
    if !stored.by_work.is_empty() {
        group.add_server(STORED, stored);
    }
}

/// Sign of life of a relay, with the age of its knowledge of the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBeat {
    /// The relay.
    pub relay: ProxyId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Number of the beat.
    pub sequence: u64,
    /// Milliseconds since it was sent.
    pub age_ms: u64,
    /// Milliseconds since the relay knew all orders, `None` if it has never read them.
    pub read_age_ms: Option<u64>,
    /// Whether the relay does not take part any more, so that another one need not wait for its
    /// silence.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_last: bool,
}
