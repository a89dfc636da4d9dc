//! Settings of a process: a documented struct with defaults, which [`load`] reads and checks.

mod options;
mod validation;

pub use options::{
    AgentOptions,
    EntryOptions,
    LinkOptions,
    LogOptions,
    Settings,
    WeightOptions, //
};
pub use validation::{
    load,
    parse,
    SettingsError, //
};
