//! What every answer of ours says about whether the request ran.

use derive_more::Display;

/// Header that carries a [`RequestOutcome`] on answers made by a daemon.
pub const OUTCOME_HEADER: &str = "x-sapphirekeel-outcome";
/// Header that names the service of a request between daemons.
pub const SERVICE_HEADER: &str = "x-sapphirekeel-service";

/// Whether a request ran, as far as the daemon that answers can know.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestOutcome {
    /// No byte of it reached a backend server.
    #[display("not-run")]
    NotRun,
    /// A backend server answered it.
    #[display("ran")]
    Ran,
    /// It reached a backend server whose answer did not come back.
    #[display("unknown")]
    Unknown,
}
