//! An entry's estimates of the state of targets. They may be wrong; agents make the decisions.

use std::collections::HashMap;
use std::time::Duration;

use protocol::{
    Phase,
    Refusal,
    TargetStatus, //
};
use utils::Name;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// The age above which a target's status is ignored.
const MAX_STATUS_AGE: Duration = Duration::from_secs(2);

/// The age up to which a target's status is recent, so that the target is not probed again.
const RECENT_STATUS_AGE: Duration = Duration::from_millis(100);

/// How long a target gets no requests after it refused one because it cannot accept work.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);

/// The longest retry time of a busy target on which a backoff is based, in milliseconds.
const MAX_BUSY_RETRY_MS: u64 = 500;

/// The backoff after a busy refusal is the retry time divided by this.
const BUSY_BACKOFF_DIVISOR: u32 = 4;

/// How long a target gets no requests after it could not be reached. Doubles with each further
/// failure.
const INITIAL_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// The longest time that a target gets no requests after it could not be reached.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(8);

/// How long a hint is kept after its last update, once no request is in flight at its target.
const HINT_RETENTION: Duration = Duration::from_secs(30);

/// The load assumed of a target without a current status.
const DEFAULT_LOAD: f64 = 0.5;

/// The concurrency limit assumed of a target without a current status.
const DEFAULT_LIMIT: f64 = 8.0;

/// The factor on the load of a cold target, so that warm targets are preferred.
const COLD_LOAD_FACTOR: f64 = 1.5;

#[derive(Clone, Debug, Default)]
struct Hint {
    /// The number of this entry's requests at the target.
    in_flight: u32,
    status: Option<TargetStatus>,
    status_received_at: Duration,
    /// The value of `in_flight` when the status arrived.
    in_flight_at_status: u32,
    failures: u32,
    backoff_until: Duration,
    updated_at: Duration,
}

/// The hints by target. Only targets that the entry has sent requests to or probed have one, so
/// memory grows with the entry's traffic and not with the fleet.
#[derive(Clone, Debug, Default)]
pub struct Hints(HashMap<Name, Hint, Xxh3DefaultBuilder>);

impl Hints {
    /// The number of targets with a hint.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The targets with a hint.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }

    /// Whether there is no hint.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the target gets no requests now, after a refusal or failure.
    pub fn is_backing_off(&self, now: Duration, target: &str) -> bool {
        self.0
            .get(target)
            .is_some_and(|hint| now < hint.backoff_until)
    }

    /// Estimates the fraction of the target's limit that is in use; above 1 if requests are queued.
    ///
    /// The status lags behind, so it only serves to estimate the requests of other entries. The
    /// entry's own requests are counted exactly.
    pub fn load(&self, now: Duration, target: &str) -> f64 {
        let Some(hint) = self.0.get(target) else {
            return DEFAULT_LOAD;
        };
        let current_status = hint
            .status
            .as_ref()
            .filter(|_| now.saturating_sub(hint.status_received_at) <= MAX_STATUS_AGE);
        let Some(status) = current_status else {
            return DEFAULT_LOAD + f64::from(hint.in_flight) / DEFAULT_LIMIT;
        };
        if !status.ready {
            return f64::INFINITY;
        }
        let reported = status.running + status.queued;
        let occupied = reported.saturating_sub(hint.in_flight_at_status) + hint.in_flight;
        let load_factor = if status.phase == Phase::Cold {
            COLD_LOAD_FACTOR
        } else {
            1.0
        };
        f64::from(occupied) * load_factor / f64::from(status.limit.max(1))
    }

    /// Whether the status of the target is so recent that no probe is needed.
    pub fn has_recent_status(&self, now: Duration, target: &str) -> bool {
        self.0.get(target).is_some_and(|hint| {
            hint.status.is_some()
                && now.saturating_sub(hint.status_received_at) <= RECENT_STATUS_AGE
        })
    }

    /// Records that a request is sent to the target.
    pub fn record_sent(&mut self, now: Duration, target: &Name) {
        let hint = self.update(now, target);
        hint.in_flight += 1;
    }

    /// Records that a request at the target ended, with or without success.
    pub fn record_ended(&mut self, now: Duration, target: &Name) {
        let hint = self.update(now, target);
        hint.in_flight = hint.in_flight.saturating_sub(1);
    }

    /// Records that the target answered a request, which ends its backoff.
    pub fn record_success(&mut self, now: Duration, target: &Name) {
        let hint = self.update(now, target);
        hint.failures = 0;
        hint.backoff_until = Duration::ZERO;
    }

    /// Records that the target's agent refused a request. The refusal sets the backoff.
    pub fn record_refusal(&mut self, now: Duration, target: &Name, refusal: Refusal) {
        let backoff = match refusal {
            Refusal::Busy { retry_after_ms } => {
                Duration::from_millis(retry_after_ms.min(MAX_BUSY_RETRY_MS)) / BUSY_BACKOFF_DIVISOR
            }
            Refusal::SuspectRunning
            | Refusal::OtherVersion
            | Refusal::NotHome
            | Refusal::KeysFull => Duration::ZERO,
            _ => REFUSAL_BACKOFF,
        };
        let hint = self.update(now, target);
        hint.failures = 0;
        hint.backoff_until = now + backoff;
    }

    /// Records that the target's agent could not be reached. The backoff grows with each failure.
    pub fn record_unreachable(&mut self, now: Duration, target: &Name) {
        let hint = self.update(now, target);
        let backoff = INITIAL_UNREACHABLE_BACKOFF * (1 << hint.failures.min(8));
        hint.failures += 1;
        hint.status = None;
        hint.backoff_until = now + backoff.min(MAX_UNREACHABLE_BACKOFF);
    }

    /// Records the status that the target's agent reported.
    pub fn record_status(&mut self, now: Duration, target: &Name, status: TargetStatus) {
        let hint = self.update(now, target);
        if status.ready {
            hint.failures = 0;
        }
        hint.status = Some(status);
        hint.status_received_at = now;
        hint.in_flight_at_status = hint.in_flight;
    }

    /// The last status of a target.
    pub fn status(&self, target: &str) -> Option<&TargetStatus> {
        self.0.get(target)?.status.as_ref()
    }

    /// The number of this entry's requests at the target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.0.get(target).map_or(0, |hint| hint.in_flight)
    }

    /// Removes the hints of targets that the entry has not used for a while.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, hint| {
            hint.in_flight > 0 || now.saturating_sub(hint.updated_at) < HINT_RETENTION
        });
    }

    /// Ends the backoffs that follow refusals, since a new sheet may have removed their cause.
    pub fn clear_refusal_backoffs(&mut self) {
        for hint in self.0.values_mut().filter(|hint| hint.failures == 0) {
            hint.backoff_until = Duration::ZERO;
        }
    }

    fn update(&mut self, now: Duration, target: &Name) -> &mut Hint {
        let hint = self.0.entry(target.clone()).or_default();
        hint.updated_at = now;
        hint
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status(running: u32) -> TargetStatus {
        TargetStatus {
            workload: None,
            version: None,
            phase: Phase::Warm,
            ready: true,
            running,
            queued: 0,
            limit: 10,
        }
    }

    #[test]
    fn load_counts_own_requests_exactly_and_others_as_reported() {
        let now = Duration::from_secs(1);
        let target = Name::from("t");
        let mut hints = Hints::default();
        assert_eq!(hints.load(now, &target), DEFAULT_LOAD);
        hints.record_sent(now, &target);
        hints.record_sent(now, &target);
        hints.record_status(now, &target, status(6));
        assert_eq!(hints.load(now, &target), 0.6);
        hints.record_ended(now, &target);
        assert_eq!(hints.load(now, &target), 0.5);
        for _ in 0..4 {
            hints.record_sent(now, &target);
        }
        assert_eq!(hints.load(now, &target), 0.9);
    }

    struct Case {
        name: &'static str,
        change: fn(&mut Hints, Duration, &Name),
        backs_off: bool,
    }

    #[test]
    fn refusals_and_failures_set_a_backoff_and_a_new_sheet_ends_that_of_refusals() {
        let cases = [
            Case {
                name: "nothing",
                change: |_, _, _| {},
                backs_off: false,
            },
            Case {
                name: "not ready",
                change: |hints, now, target| hints.record_refusal(now, target, Refusal::NotReady),
                backs_off: true,
            },
            Case {
                name: "a suspect runs there",
                change: |hints, now, target| {
                    hints.record_refusal(now, target, Refusal::SuspectRunning)
                },
                backs_off: false,
            },
            Case {
                name: "unreachable",
                change: |hints, now, target| hints.record_unreachable(now, target),
                backs_off: true,
            },
            Case {
                name: "refused before a new sheet",
                change: |hints, now, target| {
                    hints.record_refusal(now, target, Refusal::DataCentreOut);
                    hints.clear_refusal_backoffs();
                },
                backs_off: false,
            },
            Case {
                name: "unreachable before a new sheet",
                change: |hints, now, target| {
                    hints.record_unreachable(now, target);
                    hints.clear_refusal_backoffs();
                },
                backs_off: true,
            },
        ];
        for case in cases {
            let now = Duration::from_secs(1);
            let target = Name::from("t");
            let mut hints = Hints::default();
            (case.change)(&mut hints, now, &target);
            assert_eq!(
                hints.is_backing_off(now, &target),
                case.backs_off,
                "{}",
                case.name
            );
        }
    }
}
