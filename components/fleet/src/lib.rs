//! A fleet in one process, on loopback: real agents and entries in front of fake targets, with
//! rate-limited links, injected faults and a load generator that counts the results of requests.

mod client;
pub mod faults;
mod layout;
mod load;
mod network;
mod nodes;
mod sheets;
mod tally;

pub use client::{
    Client,
    Completion,
    Failure, //
};
pub use layout::{
    Layout,
    LinkCapacity, //
};
pub use load::{
    Load,
    LoadShape, //
};
pub use network::Network;
pub use nodes::{
    Fleet,
    TargetNode, //
};
pub use sheets::{
    MODEL,
    SERVICE, //
};
pub use tally::{
    Percentiles,
    Tally, //
};
