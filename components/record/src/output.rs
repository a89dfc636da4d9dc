//! Lines on their way to standard output: never blocking, and bounded in memory and in volume.

use std::io::Write;
use std::sync::{
    Arc,
    Condvar,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

/// How long lines are gathered before they are written together, which saves system calls.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// Bytes that may wait to be written; what comes beyond is dropped and counted.
const WAITING_BYTES: usize = 256 << 10;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_writing: bool,
    closed: bool,
}

/// The way to an output that may be slow or stand still.
#[derive(Clone, Debug, Default)]
pub struct Output {
    shared: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<Self> {
        let output = Self::default();
        let writer = output.clone();
        std::thread::Builder::new()
            .name("output".into())
            .spawn(move || writer.run(sink))?;
        Ok(output)
    }

    /// Whether a line would be taken now. Counts the line as dropped if not.
    pub fn has_room(&self) -> bool {
        let mut waiting = self.lock();
        let has_room = waiting.bytes.len() < WAITING_BYTES;
        if !has_room {
            waiting.dropped += 1;
        }
        has_room
    }

    /// The lines that were dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.lock().dropped)
    }

    /// Takes a line. Returns whether there was room for it.
    pub fn write(&self, line: &str) -> bool {
        let mut waiting = self.lock();
        if waiting.bytes.len() >= WAITING_BYTES {
            waiting.dropped += 1;
            return false;
        }
        waiting.bytes.extend_from_slice(line.as_bytes());
        waiting.bytes.push(b'\n');
        true
    }

    /// Waits until everything is written, for `limit` at most.
    pub fn flush(&self, limit: Duration) {
        let (_, changed) = &*self.shared;
        let mut waiting = self.lock();
        waiting.closed = true;
        changed.notify_all();
        let busy = |w: &mut Waiting| !w.bytes.is_empty() || w.is_writing;
        let _written_or_late = changed
            .wait_timeout_while(waiting, limit, busy)
            .unwrap_or_else(PoisonError::into_inner);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut sink: impl Write) {
        let (_, changed) = &*self.shared;
        loop {
            let mut waiting = self.lock();
            if waiting.bytes.is_empty() && waiting.closed {
                return;
            }
            if !waiting.closed {
                let (woken, _) = changed
                    .wait_timeout_while(waiting, GATHER_TIME, |w| !w.closed)
                    .unwrap_or_else(PoisonError::into_inner);
                waiting = woken;
            }
            let bytes = std::mem::take(&mut waiting.bytes);
            waiting.is_writing = true;
            drop(waiting);
            // Nobody is left to tell if standard output is gone.
            let _gone = sink.write_all(&bytes).and_then(|()| sink.flush());
            self.lock().is_writing = false;
            changed.notify_all();
        }
    }
}
