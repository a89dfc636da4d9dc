//! Stand-ins for the platform, the weight store, model engines and plain services.
//!
//! Each is an HTTP server on loopback that can inject faults and counts what it did, so that tests
//! can compare the counts with the results that callers got.

mod engine;
mod origin;
mod platform;
mod server;
mod service;

pub use engine::{
    Engine,
    EngineCounters,
    EngineFaults,
    EngineOptions,
    OrderDelay,
    ResumeResponse, //
};
pub use origin::{
    Origin,
    OriginFaults,
    Throttle, //
};
pub use platform::{
    Platform,
    PlatformFaults, //
};
pub use server::Server;
pub use service::{
    PlainService,
    ServiceFaults, //
};
