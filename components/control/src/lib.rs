//! The decision logic of every process, written as deterministic reducers.
//!
//! Each process has one state and one function, `step(&mut state, now, event) -> effects`. The
//! function does no I/O, reads no clock and draws random numbers from a seeded generator in the
//! state, so the same events always yield the same effects.

pub mod agent;
pub mod batch;
pub mod capacity;
pub mod controller;
pub mod crash_suspects;
mod decaying_count;
pub mod entry;
pub mod follower;
pub mod grace;
pub mod instance_list;
pub mod notice;
pub mod piece_check;
mod published_version;
pub mod retry_budget;
pub mod router;
pub mod speed_judge;

pub use crash_suspects::CrashSuspects;
pub use follower::Follower;
pub use instance_list::InstanceList;
pub use piece_check::PieceCheck;
