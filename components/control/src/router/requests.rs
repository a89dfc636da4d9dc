//! Requests from their arrival to their end.

use std::sync::Arc;
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint, //
};
use record::Decision;
use utils::Name;

use super::beliefs::millis;
use super::config::{
    Route,
    Service,
    Team, //
};
use super::load::LoadReport;
use super::place::{
    self,
    Choice,
    Versions,
    Wish, //
};
use super::queue::Waiting;
use super::state::State;
use super::table::choose_service;
use super::{
    Arrival,
    Effect,
    Outcome,
    Rejection,
    Send, //
};
use crate::budget::Budget;

/// The time from sending a request to a model engine until its first event, beyond the reading of
/// the prompt, in strides: one until the engine takes it in, one until it has written an event.
const STRIDES_TO_FIRST_EVENT: u32 = 2;

/// The time that a plain target takes for an answer, before anything better is known.
const PLAIN_ANSWER_TIME: Duration = Duration::from_millis(25);

/// The longest wait of a stream that is to be gone on with, since its caller sees a pause.
const RESUME_WAIT: Duration = Duration::from_millis(400);

/// When a caller may come back whom another process may serve at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(200);

/// When a caller may come back whom no process can serve now. A switch of weights, a restart or a
/// burst lasts for seconds, and a caller who comes back too early is refused a second time.
const RETRY_LATER: Duration = Duration::from_millis(1000);

/// How long a stream may stay silent before another target goes on with it. Engines that read long
/// prompts for others pause for up to half a second; callers leave after three seconds.
const STREAM_PATIENCE: Duration = Duration::from_millis(1500);

/// Objectives that a plain target may stay silent for before another is asked.
const PLAIN_PATIENCE: u32 = 2;

/// How long the entry of a target whose address another one has may still be renewed.
const OTHER_INSTANCE_GRACE: Duration = Duration::from_millis(1500);

/// How urgent targets are told that streams are that they go on with; zero is first.
const RESUMED_URGENCY: u8 = 0;

/// How urgent targets are told that requests of the first rank are.
const FIRST_URGENCY: u8 = 2;

/// Where the least urgent end.
const LAST_URGENCY: u8 = 9;

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

/// A request under way.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    id: Name,
    route: Arc<Route>,
    service: Arc<Service>,
    team: Option<Arc<Team>>,
    arrived: Duration,
    /// When the caller or the route gives up.
    deadline: Duration,
    /// When its answer, or the first event of it, is late.
    due: Duration,
    /// When it must be sent so that its answer is on time.
    start_by: Duration,
    /// Tokens of its prompt.
    tokens: u32,
    fingerprint: Fingerprint,
    /// Targets that it was sent to.
    tried: Vec<Name>,
    /// A target may have run it.
    may_have_run: bool,
    /// The target that has it now, and since when.
    at: Option<(Name, Duration)>,
    /// How soon the first event of an engine was expected.
    expected: Duration,
    /// The version of the weights that began the answer.
    version: Option<u64>,
    /// The target has not read its prompt yet.
    is_unread: bool,
    /// When the first part of the answer came, since the request was sent.
    first: Option<Duration>,
    /// The caller has part of the answer.
    pub started: bool,
}

impl Pending {
    fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// How long a target may stay silent. Another target is asked only where the request may run
    /// again.
    fn patience(&self) -> Duration {
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let is_last = attempts >= self.route.attempts;
        if self.route.repeat.is_stream() {
            STREAM_PATIENCE
        } else if self.route.repeat.may_run_again() && !is_last {
            self.route.objective * PLAIN_PATIENCE
        } else {
            self.route.timeout
        }
    }

    fn urgency(&self) -> u8 {
        if self.started {
            RESUMED_URGENCY
        } else {
            FIRST_URGENCY.saturating_add(self.rank()).min(LAST_URGENCY)
        }
    }
}

impl State {
    pub(super) fn arrive(&mut self, now: Duration, arrival: Arrival, effects: &mut Vec<Effect>) {
        let token = arrival.token;
        match self.read_arrival(now, &arrival) {
            Ok(pending) => {
                let service = pending.service.name.clone();
                self.budget(&service).earn();
                self.pending.insert(token, pending);
                self.place_or_wait(now, token, effects);
            }
            Err((reason, route)) => {
                let rejection = Rejection {
                    reason,
                    not_run: true,
                    retry_after: self.retry_after(reason),
                };
                effects.push(Effect::Record(Decision::TurnAway {
                    request: arrival.id,
                    route,
                    reason: reason.word().into(),
                    not_run: true,
                    retry_after_ms: rejection.retry_after.map(millis),
                    held_ms: 0,
                    attempts: 0,
                    lease_ms: self.lease_ms(now),
                }));
                effects.push(Effect::Reject(token, rejection));
            }
        }
    }

    /// Finds route, team and service of a request, or why it cannot be taken.
    fn read_arrival(
        &self,
        now: Duration,
        arrival: &Arrival,
    ) -> Result<Pending, (Reason, Option<Name>)> {
        if self.closing {
            return Err((Reason::Stopping, None));
        }
        let Some(table) = &self.table else {
            return Err((Reason::NoConfiguration, None));
        };
        let fresh = self.lease.is_valid(now);
        let final_if_fresh = |reason| {
            if fresh {
                reason
            } else {
                Reason::StaleConfiguration
            }
        };
        let Some(route) = table.route(&arrival.host, &arrival.path) else {
            return Err((final_if_fresh(Reason::NoRoute), None));
        };
        let name = Some(route.name.clone());
        let needs_key = table.has_teams() && !route.is_open;
        let team = arrival.key.as_deref().and_then(|key| table.team(key));
        if needs_key && !fresh {
            return Err((Reason::StaleConfiguration, name));
        }
        if needs_key && team.is_none() {
            return Err((Reason::UnknownKey, name));
        }
        let service = choose_service(route, &arrival.id)
            .and_then(|service| table.config().services.get(service));
        let Some(service) = service else {
            return Err((Reason::NoTarget, name));
        };
        if self.suspects.is_quarantined(arrival.fingerprint) {
            return Err((Reason::Quarantined, name));
        }
        let patience = arrival.timeout.unwrap_or(route.timeout).min(route.timeout);
        let answer_time = answer_time(service, arrival);
        Ok(Pending {
            id: arrival.id.clone(),
            route: route.clone(),
            service: service.clone(),
            team: team.cloned(),
            arrived: now,
            deadline: now + patience,
            due: now + route.objective,
            tokens: arrival.tokens.map_or(0, |(prompt, _)| prompt),
            start_by: now + route.objective.saturating_sub(answer_time).min(patience),
            fingerprint: arrival.fingerprint,
            tried: Vec::new(),
            may_have_run: false,
            at: None,
            expected: Duration::ZERO,
            version: None,
            is_unread: false,
            first: None,
            started: false,
        })
    }

    /// Sends a request to a target, lets it wait, or refuses it at once.
    fn place_or_wait(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let rank = pending.rank();
        let (started, start_by) = (pending.started, pending.start_by);
        let ahead = self.queues.entry(service.clone()).or_default();
        let is_next = started || ahead.iter().all(|waiting| waiting.rank > rank);
        if is_next && self.try_place(now, token, effects) {
            return;
        }
        if self.choose(now, token) == Some(Choice::Nobody) {
            self.reject(now, token, Reason::NoTarget, effects);
            return;
        }
        let until = if started { now + RESUME_WAIT } else { start_by };
        let queue = self.queues.entry(service).or_default();
        let wait = queue.expected_wait(now, rank);
        if !started && now.saturating_add(wait) > until {
            self.reject(now, token, Reason::Overload, effects);
            return;
        }
        let waiting = Waiting { token, rank, until };
        if started {
            queue.push_front(waiting);
        } else {
            queue.push(waiting);
        }
        effects.push(Effect::Wait(token, until));
    }

    /// Places requests that wait, in their order, as long as there is room.
    pub(super) fn place_waiting(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let services: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            while let Some(token) = self.first_waiting(&service) {
                if !self.try_place(now, token, effects) {
                    break;
                }
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.remove(token);
                }
            }
        }
    }

    fn first_waiting(&self, service: &Name) -> Option<u64> {
        let queue = self.queues.get(service)?;
        queue.iter().next().map(|waiting| waiting.token)
    }

    fn wish<'a>(&self, now: Duration, pending: &'a Pending) -> Wish<'a> {
        let team_homes = pending.team.as_ref().map(|team| team.homes.as_slice());
        let model = pending.service.engine.as_ref().map(|e| &e.model);
        let oldest = model.and_then(|model| self.oldest_version(now, model));
        let versions = match (pending.version.filter(|_| pending.started), oldest) {
            (Some(version), _) => Versions::Exactly(version),
            (None, Some(oldest)) => Versions::From(oldest),
            (None, None) => Versions::Any,
        };
        Wish {
            service: &pending.service,
            homes: [&pending.route.homes, team_homes.unwrap_or_default()],
            versions,
            tried: &pending.tried,
            tokens: pending.tokens,
            time_left: if pending.started || pending.service.engine.is_none() {
                Duration::MAX
            } else {
                pending.due.saturating_sub(now)
            },
        }
    }

    fn choose(&mut self, now: Duration, token: u64) -> Option<Choice> {
        let pending = self.pending.get(&token)?;
        let wish = self.wish(now, pending);
        let mut rng = self.rng.clone();
        let choice = place::choose(
            now,
            &self.targets,
            &self.options.location,
            &self.out,
            &wish,
            || rand::Rng::random(&mut rng),
        );
        self.chance();
        Some(choice)
    }

    /// Sends a request if a target has room. The configuration must still be fresh then.
    fn try_place(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(Choice::Target(id)) = self.choose(now, token) else {
            return false;
        };
        let lease_ms = self.lease_ms(now);
        let fresh = self.lease.is_valid(now);
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let wish = self.wish(now, pending);
        let target = self.targets.get(&id);
        let expected = target.map(|target| place::expected(now, target, &wish));
        if !fresh && pending.team.is_some() && !pending.started {
            self.reject(now, token, Reason::StaleConfiguration, effects);
            return true;
        }
        let model = pending.service.engine.as_ref().map(|e| e.model.clone());
        let oldest = model.and_then(|model| self.oldest_version(now, &model));
        let (Some(pending), Some(target)) =
            (self.pending.get_mut(&token), self.targets.get_mut(&id))
        else {
            return false;
        };
        if let Some(rate) = place::cold_rate(&pending.service).filter(|_| target.is_cold(now)) {
            target.spend_cold_allowance(now, rate);
        }
        let load = target.load.total(now);
        target.load.begin(pending.tokens);
        pending.is_unread = true;
        pending.expected = expected.unwrap_or_default();
        pending.tried.push(id.clone());
        pending.at = Some((id.clone(), now));
        let attempt = u32::try_from(pending.tried.len()).unwrap_or(u32::MAX);
        let exact = oldest.is_some() || pending.started;
        let version = target.entry.version.filter(|_| exact);
        let send = Send {
            target: id.clone(),
            address: target.entry.address,
            team: pending.team.as_ref().map(|team| team.name.clone()),
            version,
            attempt,
            urgency: pending.urgency(),
            deadline: pending.deadline,
            patience: pending.patience(),
            is_stream: pending.route.repeat.is_stream(),
        };
        effects.push(Effect::Record(Decision::Forward {
            request: pending.id.clone(),
            route: pending.route.name.clone(),
            service: pending.service.name.clone(),
            team: send.team.clone(),
            target: id,
            attempt,
            waited_ms: millis(now.saturating_sub(pending.arrived)),
            lease_ms,
            load: load.round() as u32,
            version,
        }));
        effects.push(Effect::Send(token, send));
        true
    }

    pub(super) fn take_head(
        &mut self,
        now: Duration,
        token: u64,
        load: Option<LoadReport>,
        cold_for: Option<Duration>,
        version: Option<u64>,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        if !pending.started {
            pending.version = version;
        }
        let Some((id, _)) = &pending.at else {
            return;
        };
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if let Some(load) = load {
            target.load.hear(now, load);
        }
        if let Some(cold_for) = cold_for {
            target.cold_until = target.cold_until.max(now + cold_for);
        }
        if version.is_some() && target.entry.version < version {
            target.entry.version = version;
        }
    }

    /// The caller gets the first part of an answer.
    pub(super) fn start(&mut self, now: Duration, token: u64) {
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.started = true;
            let sent = pending.at.as_ref().filter(|_| pending.is_unread);
            let target = sent.and_then(|(id, _)| self.targets.get_mut(id));
            if let (Some((_, since)), Some(target)) = (sent, target) {
                let took = now.saturating_sub(*since);
                pending.first = Some(took);
                target.load.learn(pending.expected, took);
            }
        }
        self.take_read(token);
    }

    /// The target has read the prompt of a request, or never will.
    fn take_read(&mut self, token: u64) {
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let unread = std::mem::take(&mut pending.is_unread);
        let Some((id, _)) = pending.at.as_ref().filter(|_| unread) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(id) {
            target.load.read(pending.tokens);
        }
    }

    pub(super) fn end(
        &mut self,
        now: Duration,
        token: u64,
        outcome: Outcome,
        pause: Duration,
        effects: &mut Vec<Effect>,
    ) {
        self.take_read(token);
        let Some(pending) = self.pending.get_mut(&token) else {
            return;
        };
        let Some((id, since)) = pending.at.take() else {
            return;
        };
        effects.push(Effect::Record(Decision::Exchange {
            request: pending.id.clone(),
            target: id.clone(),
            outcome: word(outcome).into(),
            took_ms: millis(now.saturating_sub(since)),
            first_ms: pending.first.take().map(millis),
            pause_ms: millis(pause),
        }));
        let request = pending.id.clone();
        let fingerprint = pending.fingerprint;
        let service = pending.service.name.clone();
        let unclear = Outcome::Silent == outcome || Outcome::TimedOut == outcome;
        if unclear || matches!(outcome, Outcome::Broken { .. }) {
            pending.may_have_run = true;
        }
        self.queues.entry(service).or_default().departed(now);
        self.judge_target(now, &id, &request, fingerprint, outcome, effects);
        match outcome {
            Outcome::Answered { .. } => {
                self.suspects.clear(now, fingerprint);
                self.pending.remove(&token);
            }
            Outcome::TimedOut => self.reject(now, token, Reason::TimedOut, effects),
            _ => self.send_again(now, token, effects),
        }
    }

    /// Learns from the end of an exchange about the target.
    fn judge_target(
        &mut self,
        now: Duration,
        id: &Name,
        request: &Name,
        fingerprint: Fingerprint,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.load.end();
        let rested = target.health.rests(now);
        match outcome {
            Outcome::Answered { failed: false } => target.health.succeeded(),
            Outcome::Answered { failed: true } => {}
            Outcome::Broken { lost } => {
                target.health.failed(now);
                if lost {
                    let crash = Crash {
                        fingerprint,
                        target: id.clone(),
                        start: target.entry.born_ms,
                        cleared: false,
                    };
                    self.suspects.note(now, &crash);
                }
            }
            Outcome::NotSent => target.health.lost(now),
            Outcome::TimedOut | Outcome::Silent => {
                target.health.failed(now);
            }
            Outcome::Busy => {
                let slots = target.entry.slots.unwrap_or_default();
                let running = slots.max(target.load.own());
                target.load.hear(
                    now,
                    LoadReport {
                        running,
                        waiting: 0,
                    },
                );
            }
            Outcome::OtherVersion => target.entry.version = None,
            Outcome::OtherInstance => {
                target.lapses_at.get_or_insert(now + OTHER_INSTANCE_GRACE);
                target.health.lost(now);
            }
        }
        if !rested && target.health.rests(now) {
            let failing_percent = (target.health.failing_share() * 100.0).round() as u32;
            effects.push(Effect::Record(Decision::Rest {
                target: id.clone(),
                request: request.clone(),
                failing_percent,
            }));
        }
    }

    /// Sends a request to another target, if it may run there.
    fn send_again(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let attempts = u32::try_from(pending.tried.len()).unwrap_or(u32::MAX);
        let may_run = !pending.may_have_run || pending.route.repeat.may_run_again();
        let most = pending.route.attempts.max(1);
        let lacks_version = pending.started && pending.version.is_none();
        let service = pending.service.name.clone();
        let reason = if !may_run || lacks_version {
            Some(Reason::MayHaveRun)
        } else if attempts >= most {
            Some(Reason::OutOfAttempts)
        } else if self.suspects.is_quarantined(pending.fingerprint) {
            Some(Reason::Quarantined)
        } else if now >= pending.deadline {
            Some(Reason::TimedOut)
        } else if !self.budget(&service).spend() {
            Some(Reason::OutOfRetries)
        } else {
            None
        };
        match reason {
            Some(reason) => self.reject(now, token, reason, effects),
            None => self.place_or_wait(now, token, effects),
        }
    }

    pub(super) fn wait_over(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let queue = self.queues.get_mut(&pending.service.name);
        if queue.is_some_and(|queue| queue.remove(token)) {
            self.reject(now, token, Reason::WaitedTooLong, effects);
        }
    }

    pub(super) fn leave(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        self.take_read(token);
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
            if pending.at.is_some() {
                queue.departed(now);
            }
        }
        effects.push(Effect::Record(Decision::CallerLeft {
            request: pending.id.clone(),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            running: pending.at.is_some(),
        }));
        if let Some((id, _)) = pending.at {
            if let Some(target) = self.targets.get_mut(&id) {
                target.load.end();
            }
        }
    }

    fn reject(&mut self, now: Duration, token: u64, reason: Reason, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&pending.service.name) {
            queue.remove(token);
        }
        let not_run = !pending.may_have_run;
        let retry_after = self.retry_after(reason).filter(|_| not_run);
        effects.push(Effect::Record(Decision::TurnAway {
            request: pending.id,
            route: Some(pending.route.name.clone()),
            reason: reason.word().into(),
            not_run,
            retry_after_ms: retry_after.map(millis),
            held_ms: millis(now.saturating_sub(pending.arrived)),
            attempts: u32::try_from(pending.tried.len()).unwrap_or(u32::MAX),
            lease_ms: self.lease_ms(now),
        }));
        let rejection = Rejection {
            reason,
            not_run,
            retry_after,
        };
        effects.push(Effect::Reject(token, rejection));
    }

    /// When a refused caller may come back, spread over as much again so that callers who were
    /// refused together do not return together.
    fn retry_after(&mut self, reason: Reason) -> Option<Duration> {
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

    fn budget(&mut self, service: &Name) -> &mut Budget {
        let options = &self.options.budget;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(options.clone()))
    }

    fn lease_ms(&self, now: Duration) -> u64 {
        self.lease.age(now).map_or(u64::MAX, millis)
    }
}

/// The time from sending a request until the part of the answer that must be on time.
fn answer_time(service: &Service, arrival: &Arrival) -> Duration {
    let Some(engine) = &service.engine else {
        return PLAIN_ANSWER_TIME;
    };
    let prompt = arrival.tokens.map_or(0, |(prompt, _)| prompt);
    let reading = f64::from(prompt) / engine.read_rate.max(1.0);
    let stride = engine.step * engine.stride.max(1);
    Duration::try_from_secs_f64(reading).unwrap_or_default() + stride * STRIDES_TO_FIRST_EVENT
}

fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { failed: false } => "answered",
        Outcome::Answered { failed: true } => "target_failed",
        Outcome::Busy => "busy",
        Outcome::OtherInstance => "other_instance",
        Outcome::OtherVersion => "other_version",
        Outcome::NotSent => "not_sent",
        Outcome::Broken { lost: true } => "lost",
        Outcome::Broken { lost: false } => "broken",
        Outcome::Silent => "silent",
        Outcome::TimedOut => "timed_out",
    }
}
