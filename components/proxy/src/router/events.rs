//! Splits the body of a stream into complete server-sent events.

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::event_stream::MAX_EVENT_BYTES;

/// How many bytes of comments and events without an id may come in a row. Targets send a few to keep
/// a connection open.
const MAX_BYTES_WITHOUT_ID: usize = 16 << 10;

/// Collects the bytes of a stream until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// How many bytes of `buf` were searched for the end of an event.
    scanned_bytes: usize,
    /// The bytes of complete events since the last one with an id.
    bytes_without_id: usize,
}

/// Consecutive complete events.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The unchanged bytes of the events.
    pub bytes: Bytes,
    /// The id of the first event with a numeric id.
    pub first_id: Option<u64>,
    /// The id of the last event with a numeric id.
    pub last_id: Option<u64>,
    /// The number of events that have an id.
    pub count: u32,
}

impl EventSplitter {
    /// Adds bytes of the stream, and returns the events that are complete now.
    pub fn push(&mut self, data: &[u8]) -> Option<EventBatch> {
        self.buf.extend_from_slice(data);
        let end = self.end_of_last_event()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned_bytes = 0;
        let ids = read_ids(&bytes);
        self.bytes_without_id = if ids.count == 0 {
            self.bytes_without_id + bytes.len()
        } else {
            0
        };
        Some(EventBatch {
            bytes,
            first_id: ids.first,
            last_id: ids.last,
            count: ids.count,
        })
    }

    /// Whether part of an event was received.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Bytes of the event that is not complete yet.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether more bytes than in a valid stream came without an event that has an id.
    pub fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES || self.bytes_without_id > MAX_BYTES_WITHOUT_ID
    }

    /// Discards the partial event, before another stream.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The position after the last empty line, which ends an event.
    fn end_of_last_event(&mut self) -> Option<usize> {
        // The end of an event may be split between the scanned and the new bytes.
        let start = self.scanned_bytes.saturating_sub(3);
        let unscanned = &self.buf[start..];
        self.scanned_bytes = self.buf.len();
        let lf = rfind(unscanned, b"\n\n").map(|position| start + position + 2);
        let crlf = rfind(unscanned, b"\r\n\r\n").map(|position| start + position + 4);
        lf.max(crlf)
    }
}

fn rfind(data: &[u8], pattern: &[u8]) -> Option<usize> {
    data.windows(pattern.len()).rposition(|w| w == pattern)
}

/// The ids of consecutive events.
#[derive(Default)]
struct EventIds {
    /// The first numeric id.
    first: Option<u64>,
    /// The last numeric id.
    last: Option<u64>,
    /// The number of events that have an id.
    count: u32,
}

fn read_ids(bytes: &[u8]) -> EventIds {
    let mut ids = EventIds::default();
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(id) = line.strip_prefix(b"id:") else {
            continue;
        };
        let id = std::str::from_utf8(id).ok();
        let id = id.and_then(|n| n.trim().parse().ok());
        ids.first = ids.first.or(id);
        ids.last = id.or(ids.last);
        ids.count += 1;
    }
    ids
}
