//! Network I/O of entries and agents: sockets, HTTP, and the execution of effects.
//!
//! A reducer of the `control` crate makes the decisions of a process: it turns events into effects.
//! The processes of `entry` and `agent` run it on a thread of its own, the control thread. Their
//! I/O tasks send events to that thread over a channel, and it starts tasks that execute the
//! effects. `router` and `controller` are the entry and the agent for the platform: they follow its
//! store through `feed` and call their reducers directly.

pub mod agent;
mod buffers;
mod capacity_metrics;
mod control_thread;
pub mod controller;
mod crash_replies;
pub mod entry;
mod error;
mod event_stream;
pub mod feed;
mod final_answer;
mod links;
mod node;
mod platform_client;
mod record_writer;
mod region_bytes;
pub mod router;
mod store;
mod target;
mod watch_value;

pub use control_thread::ControlHandle;
pub use error::ProxyError;
pub use links::{
    Links,
    Pacer, //
};
pub use node::{
    Identity,
    LineSink,
    ProcessOptions, //
};
pub use platform_client::{
    http_client,
    unpooled_http_client,
    HttpClient, //
};
pub use record_writer::RecordWriter;
pub use store::PieceStore;
