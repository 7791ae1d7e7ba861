//! Stand-ins for the platform and for backend servers, with fault switches.

mod backend;
mod faults;
mod platform;
mod rate;

pub use backend::{BackendHandle, BackendOptions, start_backend};
pub use faults::PlatformFaults;
pub use platform::{PlatformCounts, PlatformHandle, PlatformOptions, start_platform};
