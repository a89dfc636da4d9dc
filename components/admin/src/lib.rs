//! The interface for operators: what this process holds, decides and believes, over HTTP.
//!
//! It only reads, but for the process's own shutdown and log level.

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
