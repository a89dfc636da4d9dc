//! A fleet in one process, on loopback: real agents and entries in front of stand-in targets, with
//! rate-limited links, injected faults and a load generator that counts the results of requests.

mod client;
pub mod faults;
mod initial_sheet;
mod layout;
mod load;
mod network;
mod processes;
mod results;

pub use client::{
    Client,
    Completion,
    Failure, //
};
pub use initial_sheet::{
    MODEL,
    SERVICE, //
};
pub use layout::{
    Layout,
    LinkCapacity, //
};
pub use load::{
    Load,
    LoadOptions, //
};
pub use network::Network;
pub use processes::{
    Fleet,
    TargetNode, //
};
pub use results::{
    LoadResults,
    Percentiles, //
};
