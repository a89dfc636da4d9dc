//! Length-prefixed messages and raw bytes on one HTTP/2 stream.

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
use crate::MAX_MESSAGE_BYTES;

/// Size of the length prefix of each message, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Reads messages and raw bytes from the receiving half of a stream.
#[derive(Debug)]
pub struct MessageReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl MessageReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Receives the next message, or `None` at the end of the stream.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        if !self.fill(LENGTH_PREFIX_BYTES).await? {
            return if self.buffer.is_empty() {
                Ok(None)
            } else {
                Err(WireError::UnexpectedEnd)
            };
        }
        let length = self.buffer.get_u32() as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(WireError::TooLarge(length));
        }
        if !self.fill(length).await? {
            return Err(WireError::UnexpectedEnd);
        }
        let message = self.buffer.split_to(length);
        bincode::deserialize(&message)
            .map(Some)
            .map_err(|e| WireError::Decode(e.to_string()))
    }

    /// Receives the next message. Fails with [`WireError::UnexpectedEnd`] at the end of the stream.
    pub async fn receive_required<T: DeserializeOwned>(&mut self) -> Result<T, WireError> {
        self.receive().await?.ok_or(WireError::UnexpectedEnd)
    }

    /// Receives at least one and at most `limit` raw bytes, or `None` at the end of the stream.
    pub async fn receive_raw(&mut self, limit: usize) -> Result<Option<Bytes>, WireError> {
        if !self.fill(1).await? {
            return Ok(None);
        }
        let count = self.buffer.len().min(limit);
        Ok(Some(self.buffer.split_to(count).freeze()))
    }

    /// Receives until `count` bytes are buffered. Returns `false` if the stream ends before that.
    async fn fill(&mut self, count: usize) -> Result<bool, WireError> {
        while self.buffer.len() < count {
            let Some(data) = self.stream.data().await else {
                return Ok(false);
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
        Ok(true)
    }
}

/// Encodes a message with its length prefix and counts its bytes in the metrics.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let size = bincode::serialized_size(message).map_err(|e| WireError::Decode(e.to_string()))?;
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > MAX_MESSAGE_BYTES {
        return Err(WireError::TooLarge(size));
    }
    let mut buffer = BytesMut::with_capacity(size + LENGTH_PREFIX_BYTES);
    buffer.put_u32(u32::try_from(size).unwrap_or(u32::MAX));
    metrics::counter!("medlarproxy_message_bytes_total").increment(size as u64);
    let mut writer = buffer.writer();
    bincode::serialize_into(&mut writer, message).map_err(|e| WireError::Decode(e.to_string()))?;
    Ok(writer.into_inner().freeze())
}

/// Sends all of `data` as flow control permits. `end_stream` closes the stream after it.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    end_stream: bool,
) -> Result<(), WireError> {
    if data.is_empty() {
        stream.send_data(data, end_stream)?;
        return Ok(());
    }
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx))
            .await
            .ok_or(WireError::UnexpectedEnd)??;
        let part = data.split_to(capacity.min(data.len()));
        let is_last = end_stream && data.is_empty();
        stream.send_data(part, is_last)?;
    }
    Ok(())
}
