//! Notices about roll-outs as daemons send them, in JSON.

use serde::{Deserialize, Serialize};

use crate::{
    orders::OrderBook,
    records::{EvidenceRecord, RelayBeat, StageRecord},
};

/// Largest number of records of each kind that are accepted from one message. A daemon holds fewer,
/// so more are an error of the sender.
const MAX_RECORDS: usize = 4_096;

/// One message. The key of the object tells it from the records of other topics.
#[derive(Serialize, Deserialize)]
pub(crate) struct NoticeEnvelope {
    pub(crate) rollouts: RolloutNotice,
}

/// Content of one message.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct RolloutNotice {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) book: Option<OrderBook>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) beats: Vec<RelayBeat>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) stages: Vec<StageRecord>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) evidence: Vec<EvidenceRecord>,
}

impl RolloutNotice {
    fn is_empty(&self) -> bool {
        self.book.is_none()
            && self.beats.is_empty()
            && self.stages.is_empty()
            && self.evidence.is_empty()
    }

    /// Returns whether it holds more than counts of guards, which no rule depends on.
    pub(crate) fn affects_view(&self) -> bool {
        self.book.is_some() || !self.beats.is_empty() || !self.stages.is_empty()
    }

    fn is_bounded(&self) -> bool {
        let orders = self.book.as_ref().map_or(0, |book| book.orders.len());
        let counts = [orders, self.beats.len(), self.stages.len(), self.evidence.len()];
        counts.iter().all(|count| *count <= MAX_RECORDS)
    }
}

/// Encodes a notice; `None` if it is empty.
pub(crate) fn encode(rollouts: RolloutNotice) -> Option<Vec<u8>> {
    let is_empty = rollouts.is_empty();
    serde_json::to_vec(&NoticeEnvelope { rollouts }).ok().filter(|_| !is_empty)
}

/// Decodes a notice; `None` if it is malformed, too large or of another topic.
pub(crate) fn decode(body: &[u8]) -> Option<RolloutNotice> {
    let envelope: NoticeEnvelope = serde_json::from_slice(body).ok()?;
    Some(envelope.rollouts).filter(RolloutNotice::is_bounded)
}
