//! Errors of starting a process and of HTTP calls to the platform and to targets.

use displaydoc::Display;
use thiserror::Error;

/// Why a process cannot start, or why an HTTP call failed.
#[derive(Debug, Display, Error)]
pub enum ProxyError {
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::Error),
    /// cannot start a thread: {0}
    Thread(std::io::Error),
    /// the settings have no section for this role
    NoRole,
    /// no settings file is named, neither by --settings nor by {0}
    NoSettings(&'static str),
    /// the settings name no address for {0}
    NoAddress(&'static str),
    /// no connection to {0}
    Connect(String),
    /// the HTTP exchange failed: {0}
    CallFailed(String),
    /// not an answer: {0}
    NoAnswer(String),
    /// unexpected status {0}
    Status(u16),
    /// cannot be read: {0}
    Decode(String),
}
