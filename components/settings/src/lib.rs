//! Settings of a process: one documented struct with defaults, loaded and checked by [`load`].

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
    Links,
    LogOptions,
    Settings,
    Weights, //
};
