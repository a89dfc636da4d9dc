//! The messages that processes exchange, and the outcomes of requests.

mod message;
mod outcome;
mod serve;
mod status;
mod suspects;

pub use message::{
    AcceptableBacklog,
    AgedLimit,
    Backlog,
    EngineStatus,
    Envelope,
    Heartbeat,
    Instance,
    InstanceListUpdate,
    InstanceState,
    NamedVersion,
    Reply,
    Request,
    ReservationTerms,
    Role,
    WeightSource, //
};
pub use outcome::{
    KeyState,
    Outcome,
    Refusal, //
};
pub use serve::{
    Guard,
    ResponseFrame,
    ResponseHead,
    ResumePoint,
    ServeRequest,
    Ticket,
    Work, //
};
pub use status::{
    Phase,
    TargetStatus, //
};
pub use suspects::{
    Crash,
    Fingerprint,
    PromptPartId,
    Suspect, //
};
