//! The record: one line for each decision, chained by hash, and the audit that reads it back.

mod audit;
mod chain;
mod decision;
mod output;
mod trace;

pub use audit::{
    Audit,
    Finding,
    Report,
    Rule, //
};
pub use chain::{
    Chain,
    Line,
    LineError, //
};
pub use decision::{
    Decision,
    RouteRule,
    SwitchStep, //
};
pub use output::Output;
pub use trace::{
    Belief,
    Step,
    Trace, //
};
