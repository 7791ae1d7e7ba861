//! The platform's object API behind a trait, with its HTTP client and an in-memory fake.
//!
//! The platform is the only place where anything is agreed or kept. Every call and every waiting
//! watch counts against its rates, so callers of this crate are expected to be few per fleet.

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
