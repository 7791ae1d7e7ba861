//! A standard output that nobody reads.

use std::{
    io::{self, Write},
    time::{Duration, Instant},
};

use sk_logs::{LineLimits, start_logs_to};

/// A pipe that is full and stays so.
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

/// Whoever reads the daemon's output stops reading. If a line then waited for the pipe, so would
/// the request that wrote it, and callers would see the daemon hang.
#[test]
fn never_waits() {
    let limits = LineLimits { routine: u32::MAX, failures: u32::MAX };
    let guard = start_logs_to(BlockedPipe, limits).expect("the first logger of the process");
    let begin = Instant::now();
    for index in 0..20_000 {
        log::warn!(index; "test: a line for a pipe that is full.");
    }
    assert!(begin.elapsed() < Duration::from_secs(10), "{:?}", begin.elapsed());
    // Dropping the guard waits for the writer, which is stuck for good.
    std::mem::forget(guard);
}
