//! A version of weights that operators named, and when it can have been published.

use std::time::Duration;

use protocol::NamedVersion;
use record::Decision;
use utils::millis::{
    millis,
    millis_rounded_up, //
};
use utils::Name;

/// The maximum number of versions of a model that other processes are told. Operators may name several
/// within the time of one, and messages must not grow without limit.
const MAX_MESSAGE_VERSIONS: usize = 16;

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

    /// From when on no request may be sent to an older version, `grace` after the publication. `None` if no
    /// bound on that is known.
    pub fn required_from(&self, grace: Duration) -> Option<Duration> {
        self.published_after.map(|at| at + grace)
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

/// Adds an older version than the newest known one to `versions`, which are in ascending order. Without
/// a bound it is not added: it would be required at once although its time may not be over. Returns
/// whether it was added.
pub(crate) fn insert_older(versions: &mut Vec<PublishedVersion>, named: PublishedVersion) -> bool {
    if named.published_after.is_none() {
        return false;
    }
    let index = versions.partition_point(|known| known.version < named.version);
    versions.insert(index, named);
    true
}

/// What other processes are told of `versions`, which are in ascending order: those that still decide
/// which ones requests may run on. These are the newest one whose time, `grace`, has passed since its
/// publication, and all newer ones.
///
/// The newest is the first, as receivers start the download of each version that is newer than those
/// they know.
pub(crate) fn deciding_versions(
    now: Duration,
    model: &Name,
    versions: &[PublishedVersion],
    grace: Duration,
) -> Vec<NamedVersion> {
    let is_required =
        |known: &PublishedVersion| known.required_from(grace).is_some_and(|at| now >= at);
    let oldest = versions.iter().rposition(is_required).unwrap_or(0);
    let deciding = versions[oldest..].iter().rev().take(MAX_MESSAGE_VERSIONS);
    let messages = deciding.map(|known| known.to_message(now, model.clone()));
    messages.collect()
}
