//! Structured logs on standard output, bounded in volume, that block nobody.
//!
//! One JSON object a line: `ts`, `level`, `msg`, and the key-values that the line was written with.
//! A message begins with the part that writes it.

mod budget;
mod line;
mod outage;
mod output;
mod paced;

pub use budget::{CallSite, LineBudget, LineClass, LineLimits, LineVerdict};
pub use line::write_line;
pub use outage::OutageLog;
pub use output::{LogGuard, start_logs, start_logs_to};
