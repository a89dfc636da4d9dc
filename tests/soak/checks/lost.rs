//! Finds requests that an entry had read and that got no complete answer.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::callers::{
    LoggedRequest,
    RequestResult, //
};
use crate::environment::{
    Environment,
    ENTRIES, //
};
use crate::history::{
    EntryEvent,
    History, //
};
use crate::standin::engine::Run;

/// A request that is not passed on and gets no answer must have been sent this shortly before the end of its
/// connection.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A process is in touch if it was not disturbed for this long.
const TOUCH_TIME: Duration = Duration::from_secs(3);

/// The time that a process has from SIGTERM to its end.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// How long after the end of the grace period a lost request is still counted.
const AFTER_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// From this time after SIGTERM on, an entry may leave targets that are still at work, on requests that were
/// sent no later than `LAST_EXCUSED_REQUEST` after the signal.
const LAST_SIXTH: Duration = Duration::from_millis(8000 * 5 / 6);
const LAST_EXCUSED_REQUEST: Duration = Duration::from_secs(3);

/// The longest work of a target on a request, with a silence in it.
const LONGEST_WORK: Duration = Duration::from_secs(2);

/// The time after which a configuration is in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);

/// How long after that a lost request is still counted as lost beside the configuration.
const AFTER_CONFIG_TIME: Duration = Duration::from_secs(1);

/// A request that has used this part of its time does not count beside a configuration.
const LATE_SHARE: f64 = 0.7;

/// An entry loses requests beside configurations if it cuts this many times more of them then than at other times.
const MAX_RATE_RATIO: f64 = 3.0;

/// How many requests from kept connections may be passed on and lost at any time in a run.
const MAX_LOST_AT_ANY_TIME: usize = 3;

/// A request whose connection ended before its answer was complete.
struct Cut<'a> {
    request: &'a LoggedRequest,
    runs: &'a [&'a Run],
    has_begun: bool,
    /// How long after its last byte was sent the connection ended.
    held: Duration,
    /// How long the caller and the route allowed the request to take.
    limit: Duration,
}

impl Cut<'_> {
    fn is_passed_on(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Whether the entry had read the request, as far as callers and targets can tell.
    fn was_read(&self) -> bool {
        self.is_passed_on() || self.held > LOSS_SLACK
    }

    fn is_late(&self) -> bool {
        self.held >= self.limit
    }

    /// Whether the link to its target, or to a target that it may have been sent to, was disturbed.
    fn has_disturbed_link(&self, environment: &Environment) -> bool {
        if self.request.kind.uses_engines() {
            return false;
        }
        let from = self.request.sent - TOUCH_TIME;
        let links = &environment.history.links;
        let mut targets = environment.targets_behind_links();
        targets.any(|(number, id)| {
            let may_be_used = !self.is_passed_on() || self.runs.iter().any(|run| run.target == id);
            may_be_used && links.overlap(number, from, self.request.ended)
        })
    }

    fn is_entry_disturbed(&self, history: &History) -> bool {
        let from = self.request.sent - TOUCH_TIME;
        let entries = &history.entries;
        entries.overlap(self.request.entry, from, self.request.ended)
    }

    /// Whether the entry was in touch all the while. One that is started or stopped is not.
    fn is_in_touch(&self, history: &History) -> bool {
        let from = self.request.sent - TOUCH_TIME;
        let events = [EntryEvent::Stop, EntryEvent::Start];
        let mut times = events
            .iter()
            .flat_map(|event| history.times_of(self.request.entry, *event));
        !self.is_entry_disturbed(history) && !times.any(|at| at >= from && at <= self.request.ended)
    }

    /// Whether it was lost beside a planned stop of its entry.
    fn is_beside_stop(&self, history: &History) -> bool {
        let mut stops = history.times_of(self.request.entry, EntryEvent::Stop);
        stops.any(|at| {
            let until = at + GRACE_PERIOD + AFTER_GRACE_PERIOD;
            (at..=until).contains(&self.request.ended) && !self.has_target_at_work(at)
        })
    }

    /// Whether a target was still at work shortly before the end of the grace period on a request that was sent
    /// no later than soon after the signal.
    fn has_target_at_work(&self, stopped_at: Instant) -> bool {
        let last_sixth = stopped_at + LAST_SIXTH;
        let mut runs = self.runs.iter();
        self.request.ended >= last_sixth
            && self.request.sent <= stopped_at + LAST_EXCUSED_REQUEST
            && runs.any(|run| run.started_at + LONGEST_WORK >= last_sixth)
    }

    fn is_beside_reload(&self, history: &History) -> bool {
        let mut reloads = history.times_of(self.request.entry, EntryEvent::Reload);
        reloads.any(|at| self.request.sent <= at + CONFIG_TIME && self.request.ended >= at)
    }

    fn is_beside_configuration(&self, history: &History) -> bool {
        is_beside_configuration(history, self.request.ended)
    }

    fn has_used_most_of_its_time(&self) -> bool {
        self.held >= self.limit.mul_f64(LATE_SHARE)
    }

    fn describe(&self, environment: &Environment) -> String {
        let runs = self.runs.iter();
        let runs: Vec<String> = runs
            .map(|run| {
                let after = run.started_at.saturating_duration_since(self.request.sent);
                format!("{} {after:?}", run.target)
            })
            .collect();
        format!(
            "{:?}, sent {:?} after the callers began, ended after {:?} of {:?}, runs {runs:?}",
            self.request,
            self.request.sent - environment.callers_began_at,
            self.held,
            self.limit
        )
    }
}

fn is_beside_configuration(history: &History, at: Instant) -> bool {
    let configurations = &mut history.configurations.iter();
    configurations.any(|(published_at, _)| {
        let until = *published_at + CONFIG_TIME + AFTER_CONFIG_TIME;
        (*published_at..=until).contains(&at)
    })
}

/// Lists the requests that were lost.
pub fn check_lost(
    environment: &Environment,
    requests: &[LoggedRequest],
    runs_by_id: &HashMap<&str, Vec<&Run>>,
) -> Vec<String> {
    let history = &environment.history;
    let cuts = read_requests(environment, requests, runs_by_id);
    let mut violations = lost_at_any_time(environment, &cuts);
    let counted = without_excuse(environment, &cuts);
    let entries =
        (0..ENTRIES).filter(|entry| loses_beside_configurations(environment, *entry, &counted));
    let entries: Vec<usize> = entries.collect();
    for cut in counted {
        let is_beside_configuration = cut.is_beside_configuration(history)
            && !cut.has_used_most_of_its_time()
            && entries.contains(&cut.request.entry);
        let causes = [
            (cut.is_beside_stop(history), "SIGTERM"),
            (cut.is_beside_reload(history), "SIGHUP"),
            (is_beside_configuration, "a configuration"),
        ];
        if let Some((_, cause)) = causes.iter().find(|(is_beside, _)| *is_beside) {
            violations.push(format!(
                "lost beside {cause}: {}",
                cut.describe(environment)
            ));
        }
    }
    violations
}

/// The requests that entries had read and that got no complete answer.
fn read_requests<'a>(
    environment: &Environment,
    requests: &'a [LoggedRequest],
    runs_by_id: &'a HashMap<&str, Vec<&'a Run>>,
) -> Vec<Cut<'a>> {
    let cuts = requests
        .iter()
        .filter_map(|request| cut(&environment.history, request, runs_by_id));
    cuts.filter(Cut::was_read).collect()
}

/// Those that neither their time nor a disturbance of their entry or of a link excuses.
fn without_excuse<'a>(environment: &Environment, cuts: &'a [Cut<'a>]) -> Vec<&'a Cut<'a>> {
    let has_no_excuse = |cut: &&Cut<'_>| {
        !cut.is_late()
            && !cut.is_entry_disturbed(&environment.history)
            && !cut.has_disturbed_link(environment)
    };
    cuts.iter().filter(has_no_excuse).collect()
}

fn cut<'a>(
    history: &History,
    request: &'a LoggedRequest,
    runs_by_id: &'a HashMap<&str, Vec<&'a Run>>,
) -> Option<Cut<'a>> {
    let RequestResult::Cut { has_begun, .. } = request.result else {
        return None;
    };
    let timeout = history.shortest_timeout(request.path, request.sent, request.ended);
    Some(Cut {
        request,
        runs: runs_by_id
            .get(request.id.as_str())
            .map_or(&[], Vec::as_slice),
        has_begun,
        held: request.ended - request.sent,
        limit: timeout.min(request.deadline),
    })
}

/// Finds requests from kept connections that entries in touch passed on to sound targets and did not answer.
fn lost_at_any_time(environment: &Environment, cuts: &[Cut<'_>]) -> Vec<String> {
    let is_lost = |cut: &&Cut<'_>| {
        cut.request.is_kept()
            && cut.is_passed_on()
            && !cut.has_begun
            && cut.is_in_touch(&environment.history)
            && !cut.has_disturbed_link(environment)
    };
    let lost: Vec<&Cut<'_>> = cuts.iter().filter(is_lost).collect();
    if lost.len() <= MAX_LOST_AT_ANY_TIME {
        return Vec::new();
    }
    let lost = lost.iter();
    lost.map(|cut| format!("lost at any time: {}", cut.describe(environment)))
        .collect()
}

/// Whether an entry cuts requests far more often beside configurations than at other times.
fn loses_beside_configurations(environment: &Environment, entry: usize, cuts: &[&Cut<'_>]) -> bool {
    let history = &environment.history;
    let of_entry = cuts.iter().filter(|cut| cut.request.entry == entry);
    let (beside, other): (Vec<&Cut<'_>>, Vec<&Cut<'_>>) =
        of_entry.partition(|cut| cut.is_beside_configuration(history));
    let (time_beside, other_time) = times_beside_configurations(environment);
    // Without a time of the other kind there is nothing to compare with, and each loss counts.
    let rate = |count: usize, time: f64| if time > 0.0 { count as f64 / time } else { 0.0 };
    let other_rate = rate(other.len(), other_time);
    rate(beside.len(), time_beside) > MAX_RATE_RATIO * other_rate
}

/// The seconds beside configurations, and all others.
fn times_beside_configurations(environment: &Environment) -> (f64, f64) {
    let begin = environment.callers_began_at;
    let end = environment.full_load_at.max(begin);
    let (mut beside, mut covered_until) = (Duration::ZERO, begin);
    for (published_at, _) in &environment.history.configurations {
        let from = (*published_at).max(covered_until);
        let until = (*published_at + CONFIG_TIME + AFTER_CONFIG_TIME).min(end);
        beside += until.saturating_duration_since(from);
        covered_until = covered_until.max(until);
    }
    let other = (end - begin).saturating_sub(beside);
    (beside.as_secs_f64(), other.as_secs_f64())
}

/// Counts of the requests that ended without an answer, to notice a run in which little could be lost.
pub fn summary(
    environment: &Environment,
    requests: &[LoggedRequest],
    runs_by_id: &HashMap<&str, Vec<&Run>>,
) -> String {
    let cuts = read_requests(environment, requests, runs_by_id);
    let without_excuse = without_excuse(environment, &cuts).len();
    let count = |is_counted: fn(&LoggedRequest) -> bool| {
        requests
            .iter()
            .filter(|request| is_counted(request))
            .count()
    };
    let events = &environment.history.events;
    let count_of = |event| events.iter().filter(|(_, what, _)| *what == event).count();
    format!(
        "{} cut, {} of them read, {without_excuse} without an excuse, {} timed out, {} after a long pause; {} configurations, {} reloads, {} stops of entries",
        count(|request| matches!(request.result, RequestResult::Cut { .. })),
        cuts.len(),
        count(|request| request.result == RequestResult::TimedOut),
        count(|request| request.idle.is_some_and(|idle| idle >= Duration::from_secs(1))),
        environment.history.configurations.len(),
        count_of(EntryEvent::Reload),
        count_of(EntryEvent::Stop),
    )
}
