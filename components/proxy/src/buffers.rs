//! Bounds the memory for bytes of all callers and targets together.
//!
//! The size of a single body is limited elsewhere. A faulty target may send bytes without end to each of many
//! callers, and many callers may send large bodies at the same time.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::Arc;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Bytes that a body may always have while there is memory. Most bodies are smaller.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// A larger body may have this part of the memory that is left, as a divisor. So small ones still find memory
/// while many targets send without end.
const SHARE_DIVISOR: usize = 2;

/// There is no memory for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveError {
    /// It is longer than allowed.
    TooLong,
    /// It broke off.
    Incomplete,
    /// There is no memory for it.
    OutOfMemory,
}

/// The memory for the bytes of all requests and answers. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Buffers {
    max_bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Buffers {
    /// Creates a bound of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used: Arc::default(),
        }
    }

    /// Bytes that are held now.
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether a body of this size could be held now.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.may_hold(bytes, self.used_bytes())
    }

    fn may_hold(&self, bytes: usize, used_by_others: usize) -> bool {
        let left = self.max_bytes.saturating_sub(used_by_others);
        bytes <= left && bytes <= SMALL_BODY_BYTES.max(left / SHARE_DIVISOR)
    }

    /// Begins to hold bytes.
    pub fn hold(&self) -> Held {
        Held {
            buffers: self.clone(),
            bytes: 0,
        }
    }

    /// Counts bytes until all copies of the result are dropped.
    pub fn hold_bytes(&self, data: Bytes) -> Result<Bytes, OutOfMemory> {
        let mut held = self.hold();
        held.resize(data.len())?;
        Ok(held.attach(data))
    }
}

/// A number of bytes that are held until this value is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    buffers: Buffers,
    bytes: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.buffers.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Held {
    /// Changes the number of bytes.
    ///
    /// Returns an error, and changes nothing, if there is no memory for them.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let used_by_others = self.buffers.used_bytes().saturating_sub(self.bytes);
        if bytes > self.bytes && !self.buffers.may_hold(bytes, used_by_others) {
            metrics::counter!("medlarproxy_buffers_full_total").increment(1);
            return Err(OutOfMemory);
        }
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            self.buffers.used.fetch_add(more, Ordering::Relaxed);
        } else {
            let less = self.bytes - bytes;
            self.buffers.used.fetch_sub(less, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Holds the bytes as long as there are copies of `data`.
    fn attach(self, data: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { data, _held: self })
    }
}

struct HeldBytes {
    data: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    data: BytesMut,
    held: Held,
}

impl BodyBuffer {
    /// Creates a body without any bytes yet.
    pub fn new(buffers: &Buffers) -> Self {
        Self {
            data: BytesMut::new(),
            held: buffers.hold(),
        }
    }

    /// Bytes received.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Receives a whole body of at most `max_bytes`, which may change meanwhile.
    ///
    /// Returns an error if it is longer, breaks off or finds no memory.
    pub async fn receive<B>(
        buffers: &Buffers,
        mut body: B,
        max_bytes: impl Fn() -> usize,
    ) -> Result<Bytes, ReceiveError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut buffer = Self::new(buffers);
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(|_| ReceiveError::Incomplete)?.into_data() else {
                continue;
            };
            if buffer.len() + part.len() > max_bytes() {
                return Err(ReceiveError::TooLong);
            }
            buffer.push(&part).map_err(|_| ReceiveError::OutOfMemory)?;
        }
        Ok(buffer.into_bytes())
    }

    /// Adds a part.
    ///
    /// Returns an error, and adds nothing, if there is no memory for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), OutOfMemory> {
        self.held.resize(self.data.len() + part.len())?;
        self.data.extend_from_slice(part);
        Ok(())
    }

    /// The whole body, which is held as long as there are copies of it.
    pub fn into_bytes(self) -> Bytes {
        if self.data.is_empty() {
            return Bytes::new();
        }
        self.held.attach(self.data.freeze())
    }
}
