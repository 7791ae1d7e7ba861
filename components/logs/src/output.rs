//! Passes log lines to standard output through a writer thread and a bounded buffer.
//!
//! A reader that stops reading costs log lines, never requests.

use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Instant,
};

use env_logger::{Env, Logger, Target};
use log::{Level, Log, Metadata, Record, SetLoggerError};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

use crate::{
    budget::{CallSite, LineBudget, LineClass, LineLimits},
    line::write_line,
    paced::PacedWriter,
};

/// Largest number of lines that wait to be written: some seconds of a busy daemon, and less than a
/// megabyte. Further lines are dropped and counted, because a reader that stops must not stop
/// requests.
const MAX_WAITING_LINES: usize = 2_048;
/// Log levels where the environment variable `RUST_LOG` is not set.
const DEFAULT_LEVELS: &str = "info";

/// Keeps the writer thread running; waiting lines are written when this is dropped.
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Writes lines within the limits and counts those that it omits.
struct BoundedLogger {
    inner: Logger,
    budget: Mutex<LineBudget>,
    start: Instant,
    dropped: ErrorCounter,
    reported_drops: AtomicUsize,
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error where the process already has a logger.
pub fn start_logs(limits: LineLimits) -> Result<LogGuard, SetLoggerError> {
    start_logs_to(io::stdout(), limits)
}

/// Starts logging to a writer, which is used by a separate thread.
///
/// # Errors
///
/// Returns an error where the process already has a logger.
pub fn start_logs_to(
    writer: impl Write + Send + 'static,
    limits: LineLimits,
) -> Result<LogGuard, SetLoggerError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
    let (writer, worker) = builder.finish(PacedWriter::new(writer));
    let dropped = writer.error_counter();
    let inner = env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVELS))
        .format(write_line)
        .target(Target::Pipe(Box::new(writer)))
        .build();
    let level = inner.filter();
    let budget = Mutex::new(LineBudget::new(limits));
    let (start, reported_drops) = (Instant::now(), AtomicUsize::new(0));
    log::set_boxed_logger(Box::new(BoundedLogger {
        inner,
        budget,
        start,
        dropped,
        reported_drops,
    }))?;
    log::set_max_level(level);
    Ok(LogGuard { _worker: worker })
}

impl BoundedLogger {
    /// Writes how many lines were dropped because the reader was too slow.
    fn report_dropped(&self) {
        let dropped = self.dropped.dropped_lines();
        let reported_drops = self.reported_drops.swap(dropped, Ordering::Relaxed);
        if dropped > reported_drops {
            self.write_warning(format_args!(
                "logs: dropped {} lines because the output was not read in time.",
                dropped - reported_drops
            ));
        }
    }

    /// Writes a warning of this crate's own, outside the limits.
    fn write_warning(&self, text: std::fmt::Arguments<'_>) {
        let record = Record::builder().level(Level::Warn).target("sk_logs").args(text).build();
        self.inner.log(&record);
    }
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let class = match record.level() {
            Level::Error | Level::Warn => LineClass::Failure,
            Level::Info => LineClass::Routine,
            // These levels are enabled for an investigation, so they are written without limits.
            Level::Debug | Level::Trace => return self.inner.log(record),
        };
        let verdict = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.admit(class, CallSite::of_record(record), self.start.elapsed())
        };
        if let Some(omitted) = verdict.omitted {
            let (routine, failures) = (omitted.routine, omitted.failures);
            self.write_warning(format_args!(
                "logs: omitted {routine} routine lines and {failures} failures within one second."
            ));
            self.report_dropped();
        }
        if verdict.is_written {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
