//! Settings of a process: a documented struct with defaults, which [`load`] reads and checks.

mod check;
mod options;

pub use check::{
    load,
    parse,
    SettingsError, //
};
pub use options::{
    AgentOptions,
    EntryOptions,
    LinkOptions,
    LogOptions,
    Settings,
    WeightOptions, //
};
