//! Messages behind their length, and raw bytes, on one stream.

use std::future::poll_fn;

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use h2::{
    RecvStream,
    SendStream, //
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::WireError;
use crate::MESSAGE_LIMIT;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Frames {
    stream: RecvStream,
    buf: BytesMut,
}

impl Frames {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Receives the next message, or `None` at the end of the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        if !self.fill(LENGTH_BYTES).await? {
            return if self.buf.is_empty() {
                Ok(None)
            } else {
                Err(WireError::Ended)
            };
        }
        let length = self.buf.get_u32() as usize;
        if length > MESSAGE_LIMIT {
            return Err(WireError::TooLarge(length));
        }
        if !self.fill(length).await? {
            return Err(WireError::Ended);
        }
        let message = self.buf.split_to(length);
        bincode::deserialize(&message)
            .map(Some)
            .map_err(|e| WireError::Decode(e.to_string()))
    }

    /// Receives the next message, which must come.
    pub async fn expect<T: DeserializeOwned>(&mut self) -> Result<T, WireError> {
        self.next().await?.ok_or(WireError::Ended)
    }

    /// Receives some raw bytes, at most `limit`, or `None` at the end of the stream.
    pub async fn raw(&mut self, limit: usize) -> Result<Option<Bytes>, WireError> {
        if !self.fill(1).await? {
            return Ok(None);
        }
        let count = self.buf.len().min(limit);
        Ok(Some(self.buf.split_to(count).freeze()))
    }

    async fn fill(&mut self, count: usize) -> Result<bool, WireError> {
        while self.buf.len() < count {
            let Some(data) = self.stream.data().await else {
                return Ok(false);
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buf.extend_from_slice(&data);
        }
        Ok(true)
    }
}

/// Encodes a message behind its length.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let size = bincode::serialized_size(message).map_err(|e| WireError::Decode(e.to_string()))?;
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > MESSAGE_LIMIT {
        return Err(WireError::TooLarge(size));
    }
    let mut buf = BytesMut::with_capacity(size + LENGTH_BYTES);
    buf.put_u32(u32::try_from(size).unwrap_or(u32::MAX));
    metrics::counter!("medlarproxy_message_bytes_total").increment(size as u64);
    let mut writer = buf.writer();
    bincode::serialize_into(&mut writer, message).map_err(|e| WireError::Decode(e.to_string()))?;
    Ok(writer.into_inner().freeze())
}

/// Sends all of `data` as the receiver makes room for it.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    end: bool,
) -> Result<(), WireError> {
    if data.is_empty() {
        stream.send_data(data, end)?;
        return Ok(());
    }
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let room = poll_fn(|cx| stream.poll_capacity(cx))
            .await
            .ok_or(WireError::Ended)??;
        let part = data.split_to(room.min(data.len()));
        let last = end && data.is_empty();
        stream.send_data(part, last)?;
    }
    Ok(())
}
