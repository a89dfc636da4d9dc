//! Clocks, digests, rendezvous hashing, fields of documents and the name type shared by all components.

pub mod boot_clock;
pub mod clock;
pub mod digest;
pub mod millis;
pub mod present;
pub mod rank;
pub mod run_time;
pub mod standstill;

use std::sync::Arc;

/// The name of an instance, data centre, region, team, model or service, cheap to clone.
pub type Name = Arc<str>;
