//! Stand-ins for the platform and for backend servers, with fault switches.

mod backend;
mod backend_faults;
mod backend_work;
mod faults;
mod platform;
mod rate;

pub use backend::{BackendHandle, BackendOptions, start_backend};
pub use backend_work::BackendCounts;
pub use faults::PlatformFaults;
pub use platform::{PlatformCounts, PlatformHandle, PlatformOptions, start_platform};
