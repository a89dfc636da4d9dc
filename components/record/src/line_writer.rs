//! Buffered output of lines that never blocks the caller. Memory use and output rate are bounded:
//! excess lines are dropped.

use std::io::Write;
use std::sync::{
    Arc,
    Condvar,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

/// Interval between writes. Lines are written in batches to save system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Size from which the buffer is full. Further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
    is_closed: bool,
}

/// A cloneable handle to a thread that writes lines to a sink, which may be slow or blocked.
#[derive(Clone, Debug, Default)]
pub struct LineWriter {
    shared: Arc<(Mutex<Buffer>, Condvar)>,
}

impl LineWriter {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<Self> {
        let writer = Self::default();
        let thread_writer = writer.clone();
        std::thread::Builder::new()
            .name("output".into())
            .spawn(move || thread_writer.run(sink))?;
        Ok(writer)
    }

    /// Returns whether the buffer has room for another line. If not, counts a line as dropped.
    pub fn has_room_or_drop(&self) -> bool {
        let mut buffer = self.lock();
        let has_room = buffer.bytes.len() < MAX_BUFFERED_BYTES;
        if !has_room {
            buffer.dropped_lines += 1;
        }
        has_room
    }

    /// Returns the number of lines dropped since the last call and resets it.
    pub fn take_dropped_lines(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped_lines)
    }

    /// Buffers a line for writing. Returns `false` and drops the line if the buffer is full.
    pub fn write(&self, line: &str) -> bool {
        let mut buffer = self.lock();
        if buffer.bytes.len() >= MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
            return false;
        }
        buffer.bytes.extend_from_slice(line.as_bytes());
        buffer.bytes.push(b'\n');
        true
    }

    /// Waits until the buffer is written, for `timeout` at most, and ends the writer thread then.
    pub fn close(&self, timeout: Duration) {
        let (_, changed) = &*self.shared;
        let mut buffer = self.lock();
        buffer.is_closed = true;
        changed.notify_all();
        let is_pending = |b: &mut Buffer| !b.bytes.is_empty() || b.is_writing;
        let _result = changed
            .wait_timeout_while(buffer, timeout, is_pending)
            .unwrap_or_else(PoisonError::into_inner);
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut sink: impl Write) {
        let (_, changed) = &*self.shared;
        loop {
            let mut buffer = self.lock();
            if buffer.bytes.is_empty() && buffer.is_closed {
                return;
            }
            if !buffer.is_closed {
                let (guard, _) = changed
                    .wait_timeout_while(buffer, WRITE_INTERVAL, |b| !b.is_closed)
                    .unwrap_or_else(PoisonError::into_inner);
                buffer = guard;
            }
            let bytes = std::mem::take(&mut buffer.bytes);
            buffer.is_writing = true;
            drop(buffer);
            // If standard output is closed, there is nowhere to report the error.
            let _result = sink.write_all(&bytes).and_then(|()| sink.flush());
            self.lock().is_writing = false;
            changed.notify_all();
        }
    }
}
