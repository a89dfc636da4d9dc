//! Errors of calls between processes.

use displaydoc::Display;
use thiserror::Error;

/// Why a call between processes failed.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// the message was not sent: {0}
    NotSent(String),
    /// the connection was refused: {0}
    Refused(String),
    /// the connection was lost after the message may have been sent: {0}
    ConnectionLost(String),
    /// no answer in time
    Timeout,
    /// a message of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// cannot encode or decode a message: {0}
    Decode(String),
    /// the stream ended before the message was complete
    UnexpectedEnd,
}

impl WireError {
    /// Returns whether the other process certainly did not receive the message.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }

    /// Returns whether the other instance answered that no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }
}

impl From<h2::Error> for WireError {
    fn from(e: h2::Error) -> Self {
        Self::ConnectionLost(e.to_string())
    }
}
