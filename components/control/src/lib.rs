//! The decision logic of every process, written as deterministic state machines (reducers).
//!
//! Each process has one state and one function, `step(&mut state, now, event) -> effects`. The
//! function does no I/O, reads no clock and draws random numbers from a seeded generator in the
//! state, so the same events always yield the same effects.

pub mod agent;
pub mod budget;
pub mod controller;
pub mod entry;
pub mod follow;
pub mod members;
pub mod router;
pub mod suspects;

pub use follow::Follow;
pub use members::Members;
pub use suspects::Suspects;
