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
    /// no settings file is given: use --settings or set {0}
    NoSettings(&'static str),
    /// the settings contain no address for {0}
    NoAddress(&'static str),
    /// cannot connect: {0}
    Connect(String),
    /// the HTTP call failed: {0}
    CallFailed(String),
    /// unexpected HTTP status {0}
    Status(u16),
    /// invalid message: {0}
    Decode(String),
}
