//! Errors of starting a daemon.

use std::net::SocketAddr;

use sk_ops::OpsError;
use thiserror::Error;

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address cannot be bound.
    #[error("cannot listen on `{key}` {address}: {source}")]
    Bind {
        /// Dotted key in the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The operators' interface did not start.
    #[error("cannot start the operators' interface: {0}")]
    Ops(#[from] OpsError),
    /// The control thread did not start.
    #[error("cannot start the control thread: {0}")]
    Spread(#[source] std::io::Error),
}
