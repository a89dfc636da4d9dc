//! The decision record: one hash-chained JSON line for each decision, and the audit and trace that
//! read the lines back.

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
    PriorDecision,
    Step,
    Trace, //
};
