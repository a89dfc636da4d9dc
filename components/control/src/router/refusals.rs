//! Why a request ends without the answer of a target, and when its caller may come back.

use std::time::Duration;

use super::state::State;

/// When a caller may come back whom another process may serve at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(200);

/// When a caller may come back whom no process can serve now. A switch of weights, a restart or a
/// burst lasts for seconds, and a caller who comes back too early is refused a second time.
const RETRY_LATER: Duration = Duration::from_millis(1000);

/// Why a request ends without the answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may be too old to act on.
    StaleConfiguration,
    /// No route matches.
    NoRoute,
    /// The key is missing or not known.
    UnknownKey,
    /// No target may serve the request now.
    NoTarget,
    /// The targets are full, and an answer would be late.
    Overload,
    /// It waited for room until its answer would have been late.
    WaitedTooLong,
    /// The time for the answer is over.
    TimedOut,
    /// It was sent to as many targets as it may be, or there are no more.
    OutOfAttempts,
    /// The service's retries are used up.
    OutOfRetries,
    /// It may have run and must not run again.
    MayHaveRun,
    /// Requests like it crashed several targets.
    Quarantined,
    /// The process is about to end.
    Stopping,
}

impl Reason {
    /// The word for it in the record and in metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoTarget => "no_target",
            Self::Overload => "overload",
            Self::WaitedTooLong => "waited_too_long",
            Self::TimedOut => "timed_out",
            Self::OutOfAttempts => "out_of_attempts",
            Self::OutOfRetries => "out_of_retries",
            Self::MayHaveRun => "may_have_run",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
        }
    }
}

impl State {
    /// When a refused caller may come back, spread over as much again so that callers who were
    /// refused together do not return together.
    pub(super) fn retry_after(&mut self, reason: Reason) -> Option<Duration> {
        let base = match reason {
            Reason::NoRoute | Reason::UnknownKey | Reason::Quarantined => return None,
            Reason::NoConfiguration | Reason::StaleConfiguration | Reason::Stopping => {
                RETRY_ELSEWHERE
            }
            Reason::NoTarget
            | Reason::Overload
            | Reason::WaitedTooLong
            | Reason::TimedOut
            | Reason::OutOfAttempts
            | Reason::OutOfRetries
            | Reason::MayHaveRun => RETRY_LATER,
        };
        Some(base.mul_f64(1.0 + self.chance()))
    }
}
