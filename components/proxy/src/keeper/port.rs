//! What an agent needs of the engine beside it, of the origin and of the list of engines.

use std::net::SocketAddr;

use bytes::Bytes;
use control::keeper::EngineReport;
use displaydoc::Display;
use futures_util::future::BoxFuture;
use thiserror::Error;
use utils::Name;
use weights::{
    Manifest,
    Piece, //
};

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum PortError {
    /// refused with status {0}
    Refused(u16),
    /// unreachable: {0}
    Unreachable(String),
    /// cannot be read: {0}
    Unreadable(String),
}

/// A model engine's address and its data centre.
pub type EnginePlace = (SocketAddr, Name);

type Answer<T> = BoxFuture<'static, Result<T, PortError>>;

/// The calls of an agent to the outside.
pub struct Port {
    /// Asks the engine what it does.
    pub report: Box<dyn Fn() -> Answer<EngineReport> + Send + Sync>,
    /// Hands the engine a piece of a model.
    pub put: Box<dyn Fn(Name, Piece, Bytes) -> Answer<()> + Send + Sync>,
    /// Reads back a piece that the engine holds.
    pub get: Box<dyn Fn(Name, Piece) -> Answer<Bytes> + Send + Sync>,
    /// Orders the engine to load a version of a model.
    pub order: Box<dyn Fn(Name, u64) -> Answer<()> + Send + Sync>,
    /// Draws the manifest of a version from the origin.
    pub manifest: Box<dyn Fn(SocketAddr, Name, u64) -> Answer<Manifest> + Send + Sync>,
    /// Draws a piece of a version from the origin.
    pub piece: Box<dyn Fn(SocketAddr, Name, u64, Piece) -> Answer<Bytes> + Send + Sync>,
    /// Reads the model engines of a service: address and data centre.
    pub engines: Box<dyn Fn(Name) -> Answer<Vec<EnginePlace>> + Send + Sync>,
}

impl std::fmt::Debug for Port {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Port").finish_non_exhaustive()
    }
}
