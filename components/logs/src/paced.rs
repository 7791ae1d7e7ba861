//! Writing lines a few times a second.

use std::{
    io::{self, Write},
    thread,
    time::Duration,
};

/// Pause after each write. A busy daemon on a tenth of a core writes fifty lines a second; written one
/// by one each wakes the writer's thread, which takes the core from a request for it. An engineer who
/// reads along sees lines a tenth of a second late.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Gathers what is written, and passes it on at each flush, which then pauses. For a thread of its own:
/// while it pauses, lines wait where they were put, and nobody wakes it.
pub(crate) struct PacedWriter<W> {
    inner: W,
    gathered: Vec<u8>,
}

impl<W: Write> PacedWriter<W> {
    pub(crate) fn new(inner: W) -> Self {
        Self { inner, gathered: Vec::new() }
    }
}

impl<W: Write> Write for PacedWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.gathered.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.gathered.is_empty() {
            return Ok(());
        }
        let gathered = std::mem::take(&mut self.gathered);
        let written = self.inner.write_all(&gathered).and_then(|()| self.inner.flush());
        thread::sleep(WRITE_PAUSE);
        written
    }
}
