//! Writes lines in batches, a few times a second.
//!
//! Writing each line by itself would wake the writer thread for each and take processor time from
//! requests.

use std::{
    io::{self, Write},
    thread,
    time::Duration,
};

/// Pause after each write. A busy daemon on a tenth of a core writes fifty lines a second; written
/// one by one, each would wake the writer thread, which interrupts a request. An engineer who
/// follows the log sees lines a tenth of a second late.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Buffers what is written and passes it on at each flush, which then pauses.
///
/// It must run on a thread of its own. While it pauses, lines wait in the queue of that thread and
/// do not wake it.
pub(crate) struct PacedWriter<W> {
    inner: W,
    buffered: Vec<u8>,
}

impl<W: Write> PacedWriter<W> {
    pub(crate) fn new(inner: W) -> Self {
        Self { inner, buffered: Vec::new() }
    }
}

impl<W: Write> Write for PacedWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buffered.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.buffered.is_empty() {
            return Ok(());
        }
        let buffered = std::mem::take(&mut self.buffered);
        let written = self.inner.write_all(&buffered).and_then(|()| self.inner.flush());
        thread::sleep(WRITE_PAUSE);
        written
    }
}
