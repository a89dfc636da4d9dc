//! What an entry believes of targets. Every item may be wrong; the agents decide.

use std::collections::HashMap;
use std::time::Duration;

use protocol::{
    Phase,
    Refusal,
    TargetStatus, //
};
use utils::Name;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// How long a report of a target counts.
const REPORT_AGE: Duration = Duration::from_secs(2);

/// How long a target is not probed again after a report.
const FRESH_AGE: Duration = Duration::from_millis(100);

/// How long a target that cannot take work rests before it is tried again.
const REST: Duration = Duration::from_millis(500);

/// The first rest of a target that cannot be reached; doubles with each further failure.
const FIRST_UNREACHABLE_REST: Duration = Duration::from_millis(500);

/// The longest rest of a target that cannot be reached.
const LONGEST_REST: Duration = Duration::from_secs(8);

/// Hints older than this with nothing in flight are dropped.
const HINT_AGE: Duration = Duration::from_secs(30);

/// The load assumed of a target of which nothing is known.
const UNKNOWN_LOAD: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct Hint {
    in_flight: u32,
    status: Option<TargetStatus>,
    status_at: Duration,
    /// Requests of this entry there when the status came.
    in_flight_then: u32,
    failures: u32,
    rests_until: Duration,
    touched: Duration,
}

/// Hints by target. Their number follows the entry's own traffic, not the fleet.
#[derive(Clone, Debug, Default)]
pub struct Hints(HashMap<Name, Hint, Xxh3DefaultBuilder>);

impl Hints {
    /// Targets that something is believed of.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The targets that something is believed of.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }

    /// Whether nothing is believed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the target is better left alone now.
    pub fn rests(&self, now: Duration, target: &str) -> bool {
        self.0
            .get(target)
            .is_some_and(|hint| now < hint.rests_until)
    }

    /// The part of the target's limit that is in use, above one if requests wait.
    ///
    /// A report lags, so of its numbers only the work of others counts; this entry's own is known.
    pub fn load(&self, now: Duration, target: &str) -> f64 {
        let Some(hint) = self.0.get(target) else {
            return UNKNOWN_LOAD;
        };
        let fresh = hint
            .status
            .as_ref()
            .filter(|_| now.saturating_sub(hint.status_at) <= REPORT_AGE);
        let Some(status) = fresh else {
            return UNKNOWN_LOAD + f64::from(hint.in_flight) / 8.0;
        };
        if !status.ready {
            return f64::INFINITY;
        }
        let reported = status.running + status.queued;
        let busy = reported.saturating_sub(hint.in_flight_then) + hint.in_flight;
        let cold_penalty = if status.phase == Phase::Cold {
            1.5
        } else {
            1.0
        };
        f64::from(busy) * cold_penalty / f64::from(status.limit.max(1))
    }

    /// Whether a report of the target is so new that another would tell little.
    pub fn is_fresh(&self, now: Duration, target: &str) -> bool {
        self.0.get(target).is_some_and(|hint| {
            hint.status.is_some() && now.saturating_sub(hint.status_at) <= FRESH_AGE
        })
    }

    /// A request goes to the target.
    pub fn sent(&mut self, now: Duration, target: &Name) {
        let hint = self.touch(now, target);
        hint.in_flight += 1;
    }

    /// A request at the target ended, however.
    pub fn ended(&mut self, now: Duration, target: &Name) {
        let hint = self.touch(now, target);
        hint.in_flight = hint.in_flight.saturating_sub(1);
    }

    /// The target answered.
    pub fn worked(&mut self, now: Duration, target: &Name) {
        let hint = self.touch(now, target);
        hint.failures = 0;
        hint.rests_until = Duration::ZERO;
    }

    /// The target's agent did not take a request.
    pub fn refused(&mut self, now: Duration, target: &Name, refusal: Refusal) {
        let rest = match refusal {
            Refusal::Busy { retry_after_ms } => Duration::from_millis(retry_after_ms.min(500)) / 4,
            Refusal::SuspectRunning
            | Refusal::OtherVersion
            | Refusal::NotHome
            | Refusal::KeysFull => Duration::ZERO,
            _ => REST,
        };
        let hint = self.touch(now, target);
        hint.failures = 0;
        hint.rests_until = now + rest;
    }

    /// The target's agent could not be reached.
    pub fn unreachable(&mut self, now: Duration, target: &Name) {
        let hint = self.touch(now, target);
        let rest = FIRST_UNREACHABLE_REST * (1 << hint.failures.min(8));
        hint.failures += 1;
        hint.status = None;
        hint.rests_until = now + rest.min(LONGEST_REST);
    }

    /// The target's agent reported.
    pub fn report(&mut self, now: Duration, target: &Name, status: TargetStatus) {
        let hint = self.touch(now, target);
        if status.ready {
            hint.failures = 0;
        }
        hint.status = Some(status);
        hint.status_at = now;
        hint.in_flight_then = hint.in_flight;
    }

    /// The last report of a target.
    pub fn status(&self, target: &str) -> Option<&TargetStatus> {
        self.0.get(target)?.status.as_ref()
    }

    /// Requests of this entry at the target.
    pub fn in_flight(&self, target: &str) -> u32 {
        self.0.get(target).map_or(0, |hint| hint.in_flight)
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, hint| hint.in_flight > 0 || now.saturating_sub(hint.touched) < HINT_AGE);
    }

    /// Forgets rests, since a new sheet may have ended their cause.
    pub fn wake(&mut self) {
        for hint in self.0.values_mut().filter(|hint| hint.failures == 0) {
            hint.rests_until = Duration::ZERO;
        }
    }

    fn touch(&mut self, now: Duration, target: &Name) -> &mut Hint {
        let hint = self.0.entry(target.clone()).or_default();
        hint.touched = now;
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
    fn own_work_is_counted_as_it_is_and_others_as_reported() {
        let now = Duration::from_secs(1);
        let target = Name::from("t");
        let mut hints = Hints::default();
        assert_eq!(hints.load(now, &target), UNKNOWN_LOAD);
        hints.sent(now, &target);
        hints.sent(now, &target);
        hints.report(now, &target, status(6));
        assert_eq!(hints.load(now, &target), 0.6);
        hints.ended(now, &target);
        assert_eq!(hints.load(now, &target), 0.5);
        for _ in 0..4 {
            hints.sent(now, &target);
        }
        assert_eq!(hints.load(now, &target), 0.9);
    }

    struct Case {
        name: &'static str,
        change: fn(&mut Hints, Duration, &Name),
        rests: bool,
    }

    #[test]
    fn targets_rest_after_refusals_and_failures_and_wake_with_a_sheet() {
        let cases = [
            Case {
                name: "nothing",
                change: |_, _, _| {},
                rests: false,
            },
            Case {
                name: "not ready",
                change: |hints, now, target| hints.refused(now, target, Refusal::NotReady),
                rests: true,
            },
            Case {
                name: "a suspect runs there",
                change: |hints, now, target| hints.refused(now, target, Refusal::SuspectRunning),
                rests: false,
            },
            Case {
                name: "unreachable",
                change: |hints, now, target| hints.unreachable(now, target),
                rests: true,
            },
            Case {
                name: "refused before a new sheet",
                change: |hints, now, target| {
                    hints.refused(now, target, Refusal::DataCentreOut);
                    hints.wake();
                },
                rests: false,
            },
            Case {
                name: "unreachable before a new sheet",
                change: |hints, now, target| {
                    hints.unreachable(now, target);
                    hints.wake();
                },
                rests: true,
            },
        ];
        for case in cases {
            let now = Duration::from_secs(1);
            let target = Name::from("t");
            let mut hints = Hints::default();
            (case.change)(&mut hints, now, &target);
            assert_eq!(hints.rests(now, &target), case.rests, "{}", case.name);
        }
    }
}
