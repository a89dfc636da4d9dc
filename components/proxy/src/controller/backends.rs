//! The interface of an agent to its engine, the origin and the list of engines.

use std::net::SocketAddr;

use bytes::Bytes;
use control::controller::{
    EngineReport,
    Load, //
};
use displaydoc::Display;
use futures_util::future::BoxFuture;
use record::OrderAnswer;
use thiserror::Error;
use utils::Name;
use weights::{
    Manifest,
    Piece, //
};

/// Why a call to the engine, the origin or the list of engines failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum BackendError {
    /// refused with status {0}
    Refused(u16),
    /// unreachable: {0}
    Unreachable(String),
    /// cannot be read: {0}
    Unreadable(String),
}

/// The address of a model engine, and its data centre.
pub type EngineLocation = (SocketAddr, Name);

/// Called whenever a part of an answer has arrived.
pub type OnProgress = Box<dyn Fn() + Send + Sync>;

type DownloadPiece =
    dyn Fn(SocketAddr, Name, u64, Piece, OnProgress) -> CallFuture<Bytes> + Send + Sync;

type CallFuture<T> = BoxFuture<'static, Result<T, BackendError>>;

/// The calls of an agent to its engine, the origin and the list of engines.
pub struct Backends {
    /// Reads the state of the engine.
    pub read_state: Box<dyn Fn() -> CallFuture<EngineReport> + Send + Sync>,
    /// Sends a piece of a model to the engine.
    pub write_piece: Box<dyn Fn(Name, Piece, Bytes) -> CallFuture<()> + Send + Sync>,
    /// Reads a piece from the engine.
    pub read_piece: Box<dyn Fn(Name, Piece) -> CallFuture<Bytes> + Send + Sync>,
    /// Orders the engine to load, if it has accepted as many orders as given. Fails with
    /// [`BackendError::Unreadable`] only if nothing was sent.
    pub order_load: Box<dyn Fn(Load, Option<u64>) -> CallFuture<OrderAnswer> + Send + Sync>,
    /// Downloads the manifest of a version from the origin.
    pub download_manifest: Box<dyn Fn(SocketAddr, Name, u64) -> CallFuture<Manifest> + Send + Sync>,
    /// Downloads a piece of a version from the origin.
    pub download_piece: Box<DownloadPiece>,
    /// Reads the list of model engines of a service.
    pub list_engines: Box<dyn Fn(Name) -> CallFuture<Vec<EngineLocation>> + Send + Sync>,
}

impl std::fmt::Debug for Backends {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Backends").finish_non_exhaustive()
    }
}
