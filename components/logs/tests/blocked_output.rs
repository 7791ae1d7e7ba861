//! Logging to an output that nobody reads.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use sk_logs::{LineLimits, start_logs_to};

/// A pipe that stays full.
struct BlockedPipe;

impl Write for BlockedPipe {
    fn write(&mut self, _bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(3600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that hang because the reader of the daemon's output stops: if a line
/// waited for the full pipe, the request that logs it would wait too.
#[test]
fn logging_never_blocks() {
    let limits = LineLimits { routine: u32::MAX, failures: u32::MAX };
    let guard = start_logs_to(BlockedPipe, limits).expect("the first logger of the process");
    let start = Instant::now();
    for index in 0..20_000 {
        log::warn!(index; "test: a line for a pipe that is full.");
    }
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    // Dropping the guard would wait for the writer, which never returns.
    std::mem::forget(guard);
}
