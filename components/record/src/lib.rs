//! The decision record: one hash-chained JSON line for each decision, and the audit and trace that
//! read the lines back.

mod audit;
mod chain;
mod decision;
mod line_writer;
mod trace;

pub use audit::{
    Audit,
    Finding,
    Report,
    Rule, //
};
pub use chain::{
    LineError,
    RecordChain,
    RecordLine, //
};
pub use decision::{
    Decision,
    LoadCheck,
    LoadEvent,
    OrderAnswer,
    RouteRule,
    SwitchStep, //
};
pub use line_writer::LineWriter;
pub use trace::{
    PriorDecision,
    Trace,
    TraceStep, //
};
