//! The messages that processes exchange, and the outcomes of requests.

mod instance_list;
mod message;
mod outcome;
mod reservation;
mod serve;
mod status;
mod suspects;

pub use message::{
    EngineStatus,
    Envelope,
    Heartbeat,
    Instance,
    InstanceListUpdate,
    InstanceState,
    NamedVersion,
    Reply,
    Request,
    Role,
    WeightSource, //
};
pub use outcome::{
    KeyState,
    Outcome,
    Refusal, //
};
pub use reservation::{
    limit_for_level,
    AcceptableBacklog,
    AgedLimit,
    Backlog,
    Claim,
    ClaimRank,
    EngineCondition,
    ReservationTerms,
    Timing, //
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
