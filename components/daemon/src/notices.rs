//! Exchanges evidence about requests that crash servers with other daemons.
//!
//! Without it, each daemon would recognise a request that crashes servers only after crashes of its
//! own server.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use sk_decide::quarantine::{CrashEvidence, CrashKind, SuspectRecord};
use sk_proxy::SharedQuarantine;
use sk_spread::NoticeExchange;

/// Largest number of records accepted from one message. The quarantine holds fewer, so more are an
/// error of the sender.
const MAX_MESSAGE_RECORDS: usize = 4_096;

/// Gives the control thread access to the quarantine.
pub(crate) struct QuarantineNotices {
    pub(crate) quarantine: Arc<SharedQuarantine>,
}

/// A suspected request as it is sent between daemons, in JSON.
#[derive(Serialize, Deserialize)]
struct SuspectWire {
    fingerprint: u64,
    evidence: Vec<CrashWire>,
}

#[derive(Serialize, Deserialize)]
struct CrashWire {
    at_ms: u64,
    #[serde(rename = "occasion")]
    crash_id: u64,
    kind: KindWire,
    is_cleared: bool,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum KindWire {
    #[serde(rename = "Company")]
    Shared,
    Alone,
    Trial,
}

impl NoticeExchange for QuarantineNotices {
    fn revision(&self) -> u64 {
        self.quarantine.revision()
    }

    fn encode_changed(&self) -> Option<Vec<u8>> {
        encode(&self.quarantine.take_changed())
    }

    fn encode_all(&self) -> Option<Vec<u8>> {
        match self.quarantine.is_empty() {
            true => None,
            false => encode(&self.quarantine.records()),
        }
    }

    fn merge(&self, body: &[u8]) -> bool {
        let records: Vec<SuspectWire> = match serde_json::from_slice(body) {
            Ok(records) => records,
            Err(_) => return false,
        };
        if records.len() > MAX_MESSAGE_RECORDS {
            return false;
        }
        let records: Vec<SuspectRecord> = records.into_iter().map(from_wire).collect();
        self.quarantine.merge(&records);
        true
    }
}

fn encode(records: &[SuspectRecord]) -> Option<Vec<u8>> {
    let wire: Vec<SuspectWire> = records.iter().map(to_wire).collect();
    serde_json::to_vec(&wire).ok().filter(|_| !wire.is_empty())
}

fn to_wire(record: &SuspectRecord) -> SuspectWire {
    let crash = |evidence: &CrashEvidence| CrashWire {
        at_ms: evidence.at.as_millis() as u64,
        crash_id: evidence.crash_id,
        kind: match evidence.kind {
            CrashKind::Shared => KindWire::Shared,
            CrashKind::Alone => KindWire::Alone,
            CrashKind::Trial => KindWire::Trial,
        },
        is_cleared: evidence.is_cleared,
    };
    SuspectWire {
        fingerprint: record.fingerprint,
        evidence: record.evidence.iter().map(crash).collect(),
    }
}

fn from_wire(wire: SuspectWire) -> SuspectRecord {
    let crash = |crash: &CrashWire| CrashEvidence {
        at: Duration::from_millis(crash.at_ms),
        crash_id: crash.crash_id,
        kind: match crash.kind {
            KindWire::Shared => CrashKind::Shared,
            KindWire::Alone => CrashKind::Alone,
            KindWire::Trial => CrashKind::Trial,
        },
        is_cleared: crash.is_cleared,
    };
    SuspectRecord {
        fingerprint: wire.fingerprint,
        evidence: wire.evidence.iter().map(crash).collect(),
    }
}
