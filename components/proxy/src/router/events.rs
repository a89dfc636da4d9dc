//! Cuts the body of a stream into whole events.

use bytes::{
    Bytes,
    BytesMut, //
};

/// The longest event, in bytes. A stream whose event is longer is not one.
const EVENT_BYTES: usize = 256 << 10;

/// Bytes of a stream that are not whole events yet.
#[derive(Debug, Default)]
pub struct Events {
    buf: BytesMut,
    scanned: usize,
}

/// Whole events and the number of the last one.
#[derive(Debug, PartialEq, Eq)]
pub struct Cut {
    /// The bytes of the events, as they came.
    pub bytes: Bytes,
    /// The number of the last event.
    pub last: Option<u64>,
    /// How many events there are.
    pub count: u32,
}

impl Events {
    /// Takes bytes in, and gives out the events that are whole now.
    pub fn push(&mut self, data: &[u8]) -> Option<Cut> {
        self.buf.extend_from_slice(data);
        let end = self.last_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let (last, count) = read_events(&bytes);
        Some(Cut { bytes, last, count })
    }

    /// Whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Whether what came cannot be a stream of events.
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > EVENT_BYTES
    }

    /// Drops what is left over.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// The place behind the last empty line.
    fn last_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let fresh = &self.buf[from..];
        self.scanned = self.buf.len();
        let line = rfind(fresh, b"\n\n").map(|at| from + at + 2);
        let other = rfind(fresh, b"\r\n\r\n").map(|at| from + at + 4);
        line.max(other)
    }
}

fn rfind(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).rposition(|w| w == pattern)
}

/// The number of the last event, and how many there are.
fn read_events(bytes: &[u8]) -> (Option<u64>, u32) {
    let mut last = None;
    let mut count = 0;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(number) = line.strip_prefix(b"id:") else {
            continue;
        };
        let number = std::str::from_utf8(number).ok();
        last = number.and_then(|n| n.trim().parse().ok()).or(last);
        count += 1;
    }
    (last, count)
}
