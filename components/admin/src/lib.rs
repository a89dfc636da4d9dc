//! Administration API of a process over HTTP: its state, its recent decisions and what it knows of
//! other processes.
//!
//! All requests only read, except those that start the shutdown or set the log level.

mod client;
mod metrics;
mod queries;
mod response;
mod routes;

pub use client::{
    get_json,
    ClientError, //
};
pub use metrics::serve_metrics;
pub use queries::{
    AdminOptions,
    Process, //
};
pub use routes::serve;
