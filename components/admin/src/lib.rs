//! Administration API of a process over HTTP: its state, its recent decisions and what it knows of
//! other processes.
//!
//! All requests only read, except those that start the shutdown or set the log level.

mod answer;
mod client;
mod metrics;
mod routes;
mod source;

pub use client::{
    get,
    ClientError, //
};
pub use metrics::serve_metrics;
pub use routes::serve;
pub use source::{
    Options,
    Process, //
};
