//! A version of weights that operators named, and when it can have been published.

use std::time::Duration;

use protocol::NamedVersion;
use record::Decision;
use utils::millis::{
    millis,
    millis_rounded_up, //
};
use utils::Name;

/// A version of a model's weights that operators named, as far as one process knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PublishedVersion {
    pub version: u64,
    /// When a process learned of it. `None` if that process found it at its start.
    pub learned_at: Option<Duration>,
    /// It was published after this time, if that is known. Operators count from the publication, so
    /// this end of the time in which it can have happened is the one to count from.
    pub published_after: Option<Duration>,
}

impl PublishedVersion {
    /// A version that a process learned of `age` ago.
    pub fn new(
        now: Duration,
        version: u64,
        age: Option<Duration>,
        published_after: Option<Duration>,
    ) -> Self {
        Self {
            version,
            learned_at: age.map(|age| now.saturating_sub(age)),
            published_after,
        }
    }

    /// Adds a bound on the publication. Bounds are lower ones, so the latest is the closest; but a
    /// message that was delayed gives one that is too late, and none can be later than a process
    /// learned of the version.
    pub fn add_bound(&mut self, published_after: Option<Duration>) {
        let latest = self.learned_at.unwrap_or(Duration::MAX);
        let bound = published_after.map(|at| at.min(latest));
        self.published_after = self.published_after.max(bound);
    }

    /// What other processes are told.
    pub fn to_message(self, now: Duration, model: Name) -> NamedVersion {
        let age = |at: Duration| now.saturating_sub(at);
        NamedVersion {
            model,
            version: self.version,
            age_ms: self.learned_at.map(age).map(millis),
            max_age_ms: self.published_after.map(age).map(millis_rounded_up),
        }
    }

    /// The line for the record.
    pub fn to_decision(self, now: Duration, model: Name) -> Decision {
        let age = self.published_after.map(|at| now.saturating_sub(at));
        Decision::VersionNamed {
            model,
            version: self.version,
            age_ms: age.map(millis),
        }
    }
}
