//! Structured logs on standard output, bounded in volume, that never block the caller.
//!
//! Each line is one JSON object with `ts` (milliseconds since the Unix epoch), `level`, `msg`, and
//! the key-values of the log call. A message begins with the name of the part that writes it.

mod budget;
mod line;
mod outage;
mod output;
mod paced;

pub use budget::{CallSite, LineBudget, LineClass, LineLimits, LineVerdict};
pub use line::write_line;
pub use outage::OutageLog;
pub use output::{LogGuard, start_logs, start_logs_to};
