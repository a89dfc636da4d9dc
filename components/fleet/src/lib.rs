//! A whole fleet in one process, on loopback: real agents and entries before stand-ins, with
//! paced links, faults and a load of callers that counts what it got.

mod client;
pub mod faults;
mod layout;
mod load;
mod network;
mod nodes;
mod sheets;
mod tally;

pub use client::{
    Answer,
    Client,
    Failure, //
};
pub use layout::{
    Layout,
    LinkShape, //
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
