//! Reasons to reject a request, and when its caller may retry.

use std::time::Duration;

use super::state::State;

/// Minimum retry delay if another process may serve the request at once.
const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(200);

/// Minimum retry delay if no process can serve the request now. A switch of weights, a restart or a
/// burst lasts for seconds, so an earlier retry would be rejected again.
pub(super) const RETRY_LATER_DELAY: Duration = Duration::from_millis(1000);

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// There is no configuration yet.
    NoConfiguration,
    /// The lease on the configuration has expired.
    StaleConfiguration,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No target may serve the request now.
    NoTarget,
    /// All targets are full, and the answer would be late.
    Overload,
    /// It was queued until its answer would have been late.
    WaitedTooLong,
    /// The timeout for the answer has expired.
    TimedOut,
    /// It was sent to as many targets as its route allows.
    OutOfAttempts,
    /// The retry budget of the service is used up.
    OutOfRetries,
    /// It may have run and must not run again.
    MayHaveRun,
    /// Requests with its fingerprint crashed several targets.
    Quarantined,
    /// Requests whose prompt has one of its parts crashed several targets.
    PartQuarantined,
    /// It, or a part of its prompt, may have crashed several targets, and another request is testing that.
    SuspectUnderTest,
    /// The process is about to stop.
    Stopping,
}

impl RejectionReason {
    /// Its name in the record and in metrics.
    pub fn as_str(self) -> &'static str {
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
            Self::PartQuarantined => "part_quarantined",
            Self::SuspectUnderTest => "suspect_under_test",
            Self::Stopping => "stopping",
        }
    }
}

impl State {
    /// The delay after which a rejected caller may retry, or `None` if a retry cannot help. Random
    /// jitter of up to the same delay keeps callers rejected together from retrying together.
    pub(super) fn retry_after(&mut self, reason: RejectionReason) -> Option<Duration> {
        let base = match reason {
            RejectionReason::NoRoute
            | RejectionReason::UnknownKey
            | RejectionReason::Quarantined
            | RejectionReason::PartQuarantined => return None,
            RejectionReason::NoConfiguration
            | RejectionReason::StaleConfiguration
            | RejectionReason::Stopping => RETRY_ELSEWHERE_DELAY,
            RejectionReason::NoTarget
            | RejectionReason::Overload
            | RejectionReason::WaitedTooLong
            | RejectionReason::TimedOut
            | RejectionReason::OutOfAttempts
            | RejectionReason::OutOfRetries
            | RejectionReason::SuspectUnderTest
            | RejectionReason::MayHaveRun => RETRY_LATER_DELAY,
        };
        Some(base.mul_f64(1.0 + self.random_fraction()))
    }
}
