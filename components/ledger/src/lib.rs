//! Acceptance of configuration changes: versions, conflicts and history in the platform.
//!
//! The only commit point is one head object, which is replaced by a write that is conditional on
//! its revision. Everything else that the ledger writes is immutable and written before the head
//! that refers to it. Two operators can therefore neither get the same version nor overwrite each
//! other's change. See `docs/design/ledger.md` for the alternatives considered.

mod check;
mod commit;
mod error;
mod head;
mod keys;
mod ledger;
mod read;
mod settings;

pub use check::{
    MAX_CHANGE_ID_BYTES, MAX_LABEL_BYTES, MAX_RECORD_BYTES, MAX_WRITES, record_of, request_digest,
};
pub use error::{CorruptData, LedgerError, MalformedChange, SubmitError};
pub use head::{CHUNK_RECORDS, LedgerEntry, LedgerHead, MAX_TEAMS};
pub use ledger::{Ledger, MAX_HISTORY_RECORDS};
pub use settings::LedgerSettings;
