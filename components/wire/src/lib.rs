//! Remote procedure calls between the system's processes: bincode messages over HTTP/2.
//!
//! Each call is one HTTP/2 stream. The request body is one [`protocol::Envelope`]. The response
//! body starts with another, which further messages or raw bytes may follow. Each message is
//! preceded by its length as a 32-bit big-endian integer.

mod client;
mod error;
mod framing;
mod server;

pub use client::{
    CallReply,
    Pool,
    PoolOptions, //
};
pub use error::WireError;
pub use framing::MessageReader;
pub use server::{
    serve,
    Responder, //
};

/// Maximum size of a message. It must exceed the largest request body accepted from callers.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Default HTTP/2 flow control window of a stream: bytes that the peer may send before the reader
/// consumes them. A connection has four times as much.
const DEFAULT_WINDOW_BYTES: u32 = 1 << 20;
