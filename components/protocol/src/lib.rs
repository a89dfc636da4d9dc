//! The messages that processes exchange, and the outcomes of requests.

mod message;
mod outcome;
mod serve;
mod status;
mod suspects;

pub use message::{
    Backlog,
    EngineStatus,
    Envelope,
    Heartbeat,
    Instance,
    InstanceState,
    NamedVersion,
    News,
    Reply,
    Request,
    Role,
    Supply, //
};
pub use outcome::{
    KeyState,
    Outcome,
    Refusal, //
};
pub use serve::{
    Frame,
    Guard,
    Head,
    Resume,
    Serve,
    Ticket,
    Work, //
};
pub use status::{
    Phase,
    TargetStatus, //
};
pub use suspects::{
    Crash,
    Fingerprint, //
};
