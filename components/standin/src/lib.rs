//! Stand-ins for the platform and for backend servers, for tests, measurements and the demo.
//!
//! They behave as the real ones do towards a daemon, within the same limits, and can be made to
//! fail in the ways that the daemons have to survive: outages, delays, lost answers, crashes and
//! cut connections.

mod backend;
mod backend_activity;
mod backend_faults;
mod faults;
mod platform;
mod rate;

pub use backend::{BackendHandle, BackendOptions, start_backend};
pub use backend_activity::BackendCounts;
pub use faults::PlatformFaults;
pub use platform::{PlatformCounts, PlatformHandle, PlatformOptions, start_platform};
