//! Small stand-ins for the platform, the weight store, model engines and plain services.
//!
//! Each is an HTTP server on loopback with switches for faults, and counts what truly happened.

mod engine;
mod origin;
mod platform;
mod server;
mod service;

pub use engine::{
    Engine,
    EngineCounts,
    EngineOptions,
    EngineSwitches, //
};
pub use origin::{
    Origin,
    OriginSwitches,
    Pace, //
};
pub use platform::{
    Platform,
    PlatformSwitches, //
};
pub use server::Server;
pub use service::{
    PlainService,
    ServiceSwitches, //
};
