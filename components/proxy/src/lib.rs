//! The traffic side of entry and agent: sockets, HTTP and the carrying out of effects.
//!
//! Each process has one control thread that runs a reducer of the `control` component, and the
//! threads of a runtime that carry bytes. Traffic tells the control thread of events over a
//! channel; the control thread hands effects back.

pub mod agent;
pub mod entry;
mod error;
pub mod feed;
mod journal;
pub mod keeper;
mod links;
mod node;
mod platform;
mod reactor;
pub mod router;
mod store;
mod target;

pub use error::ProxyError;
pub use journal::Journal;
pub use links::{
    Links,
    Pacer, //
};
pub use node::{
    Base,
    Identity,
    Sink, //
};
pub use platform::{
    closing_http_client,
    http_client,
    HttpClient, //
};
pub use reactor::Control;
pub use store::Store;
