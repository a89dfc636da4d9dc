//! How long a connection of a caller may stay in its present stage, under limits that change meanwhile.

use std::time::Duration;

use super::config::CallerLimits;

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request.
    #[default]
    Idle,
    /// The head of a request is being received.
    Head,
    /// A request is being received, handled or answered.
    Request,
    /// The whole answer is ready, and its caller has not received all of it.
    Delivery,
}

/// A caller that receives nothing of its answer for this time is given up, if the idle time is shorter.
const MIN_DELIVERY_TIME: Duration = Duration::from_secs(10);

impl Stage {
    /// The name in the record.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request => "request",
            Self::Delivery => "delivery",
        }
    }

    /// How long it may last. A request has a timeout of its own.
    fn time_limit(self, limits: &CallerLimits) -> Option<Duration> {
        match self {
            Self::Idle => Some(limits.idle_timeout),
            Self::Head => Some(limits.head_timeout),
            Self::Request => None,
            Self::Delivery => Some(limits.idle_timeout.max(MIN_DELIVERY_TIME)),
        }
    }
}

/// The end of the present stage of a connection.
#[derive(Clone, Copy, Debug)]
pub struct StageLimit {
    stage: Stage,
    began_at: Duration,
    ends_at: Option<Duration>,
}

impl StageLimit {
    /// The limit of a stage that begins now.
    pub fn new(now: Duration, stage: Stage, limits: &CallerLimits) -> Self {
        Self {
            stage,
            began_at: now,
            ends_at: stage.time_limit(limits).map(|time| now + time),
        }
    }

    /// The stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// When the stage began.
    pub fn began_at(&self) -> Duration {
        self.began_at
    }

    /// When the stage must end. `None` if it has no limit.
    pub fn ends_at(&self) -> Option<Duration> {
        self.ends_at
    }

    /// Applies limits that come into force now. A longer time counts from the start of the stage. A shorter
    /// one counts from now, since callers may not know of it yet.
    pub fn change(&mut self, now: Duration, limits: &CallerLimits) {
        let time = self.stage.time_limit(limits);
        if let (Some(time), Some(old_end)) = (time, self.ends_at) {
            let extended = self.began_at + time;
            let shortened = old_end.min(now + time);
            self.ends_at = Some(extended.max(shortened));
        }
    }
}
