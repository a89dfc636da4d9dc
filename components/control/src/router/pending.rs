//! A request under way.

use std::sync::Arc;
use std::time::Duration;

use protocol::Fingerprint;
use utils::Name;

use super::config::{
    Route,
    Service,
    Team, //
};

/// How long a stream may stay silent before another target goes on with it. Engines that read long
/// prompts for others pause for up to half a second; callers leave after three seconds.
const STREAM_PATIENCE: Duration = Duration::from_millis(1500);

/// Objectives that a plain target may stay silent for before another is asked.
const PLAIN_PATIENCE: u32 = 2;

/// How urgent targets are told that streams are that they go on with; zero is first.
const RESUMED_URGENCY: u8 = 0;

/// How urgent targets are told that requests of the first rank are.
const FIRST_URGENCY: u8 = 2;

/// Where the least urgent end.
const LAST_URGENCY: u8 = 9;

/// A request under way.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub id: Name,
    pub route: Arc<Route>,
    pub service: Arc<Service>,
    pub team: Option<Arc<Team>>,
    pub arrived: Duration,
    /// When the caller or the route gives up.
    pub deadline: Duration,
    /// When its answer, or the first event of it, is late.
    pub due: Duration,
    /// When it must be sent so that its answer is on time.
    pub start_by: Duration,
    /// Tokens of its prompt.
    pub tokens: u32,
    pub fingerprint: Fingerprint,
    /// Targets that it was sent to.
    pub tried: Vec<Name>,
    /// A target may have run it.
    pub may_have_run: bool,
    /// The target that has it now, and since when.
    pub at: Option<(Name, Duration)>,
    /// A place there is being reserved; nothing was sent yet.
    pub is_reserving: bool,
    /// Agents that were asked for a place.
    pub asked: u32,
    /// How soon the first event of an engine was expected.
    pub expected: Duration,
    /// The version of the weights that began the answer.
    pub version: Option<u64>,
    /// The target has not read its prompt yet.
    pub is_unread: bool,
    /// When the first part of the answer came, since the request was sent.
    pub first: Option<Duration>,
    /// The caller has part of the answer.
    pub started: bool,
}

impl Pending {
    pub fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// How many targets it was sent to.
    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    /// How long a target may stay silent. Another target is asked only where the request may run
    /// again.
    pub fn patience(&self) -> Duration {
        let is_last = self.attempts() >= self.route.attempts;
        if self.route.repeat.is_stream() {
            STREAM_PATIENCE
        } else if self.route.repeat.may_run_again() && !is_last {
            self.route.objective * PLAIN_PATIENCE
        } else {
            self.route.timeout
        }
    }

    pub fn urgency(&self) -> u8 {
        if self.started {
            RESUMED_URGENCY
        } else {
            FIRST_URGENCY.saturating_add(self.rank()).min(LAST_URGENCY)
        }
    }
}
