//! What can go wrong between two processes.

use displaydoc::Display;
use thiserror::Error;

/// Why a call between processes failed.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// nothing was sent: {0}
    NotSent(String),
    /// the connection broke after the message went out: {0}
    Lost(String),
    /// no answer in time
    Timeout,
    /// a message of {0} bytes is over the limit
    TooLarge(usize),
    /// a message cannot be read: {0}
    Decode(String),
    /// the stream ended early
    Ended,
}

impl WireError {
    /// Whether the other process cannot have seen the message.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl From<h2::Error> for WireError {
    fn from(e: h2::Error) -> Self {
        Self::Lost(e.to_string())
    }
}
