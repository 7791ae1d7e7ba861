//! The way of lines from the parts to standard output.

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

/// Lines that wait for a reader. Some seconds of a busy daemon, and less than a megabyte; further
/// ones are dropped and counted, since a reader that stops must not stop requests.
const WAITING_LINES: usize = 2_048;
/// Levels that are written where the environment names none.
const DEFAULT_LEVELS: &str = "info";

/// Keeps the writer of the lines; what waits is written when this is dropped.
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Writes within the limits and counts what it leaves out.
struct BoundedLogger {
    inner: Logger,
    budget: Mutex<LineBudget>,
    start: Instant,
    dropped: ErrorCounter,
    told: AtomicUsize,
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error where the process logs already.
pub fn start_logs(limits: LineLimits) -> Result<LogGuard, SetLoggerError> {
    start_logs_to(io::stdout(), limits)
}

/// Starts logging to a writer, which a thread of its own writes to.
///
/// # Errors
///
/// Returns an error where the process logs already.
pub fn start_logs_to(
    writer: impl Write + Send + 'static,
    limits: LineLimits,
) -> Result<LogGuard, SetLoggerError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES);
    let (writer, worker) = builder.finish(PacedWriter::new(writer));
    let dropped = writer.error_counter();
    let inner = env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVELS))
        .format(write_line)
        .target(Target::Pipe(Box::new(writer)))
        .build();
    let level = inner.filter();
    let budget = Mutex::new(LineBudget::new(limits));
    let (start, told) = (Instant::now(), AtomicUsize::new(0));
    log::set_boxed_logger(Box::new(BoundedLogger { inner, budget, start, dropped, told }))?;
    log::set_max_level(level);
    Ok(LogGuard { _worker: worker })
}

impl BoundedLogger {
    /// Tells how many lines were dropped because nobody read them.
    fn tell_dropped(&self) {
        let dropped = self.dropped.dropped_lines();
        let told = self.told.swap(dropped, Ordering::Relaxed);
        if dropped > told {
            self.tell(format_args!("logs: {} lines were not read in time.", dropped - told));
        }
    }

    fn tell(&self, text: std::fmt::Arguments<'_>) {
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
            // Asked for by name while something is looked into: all of it.
            Level::Debug | Level::Trace => return self.inner.log(record),
        };
        let verdict = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.take(class, CallSite::of(record), self.start.elapsed())
        };
        if let Some(left) = verdict.left_out {
            let (routine, failures) = (left.routine, left.failures);
            self.tell(format_args!(
                "logs: {routine} routine lines and {failures} failures were left out of a second."
            ));
            self.tell_dropped();
        }
        if verdict.is_written {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
