//! The platform's object API behind a trait, with its HTTP client and an in-memory fake.
//!
//! The platform is the only place where daemons agree on state and store it. Every call and every
//! open watch counts against its rate limits, so only a few daemons of a fleet are expected to use
//! it at a time.

mod api;
mod error;
mod fake;
mod fault;
mod http_call;
mod http_store;
pub mod wire;

pub use api::{MAX_VALUE_BYTES, ObjectKey, ObjectStore, Revision, SharedStore, StoredObject};
pub use error::StoreError;
pub use fake::{FakeStore, WriteFault};
pub use fault::{CallFault, FaultStore};
pub use http_call::{CallAnswer, HttpCaller};
pub use http_store::HttpStore;
