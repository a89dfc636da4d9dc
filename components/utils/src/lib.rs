//! Clock, digests, ranking and names shared by every component.

pub mod boot_clock;
pub mod clock;
pub mod digest;
pub mod rank;

use std::sync::Arc;

/// A shared immutable name of an instance, data centre, region, team, model or service.
pub type Name = Arc<str>;
