//! Streams of HTTP/2 that carry bincode messages between the system's processes.
//!
//! Each question is one stream. Its request body is one [`protocol::Envelope`]; its answer is
//! another, and may be followed by frames or by raw bytes. A message stands behind its length as
//! four bytes, most significant first.

mod client;
mod error;
mod framing;
mod server;

pub use client::{
    Call,
    Pool,
    PoolOptions, //
};
pub use error::WireError;
pub use framing::Frames;
pub use server::{
    serve,
    Responder, //
};

/// The longest message in bytes, which leaves room for the largest caller request.
pub const MESSAGE_LIMIT: usize = 16 << 20;

/// Bytes that a stream or connection may receive before the reader takes them.
const WINDOW_BYTES: u32 = 1 << 20;
