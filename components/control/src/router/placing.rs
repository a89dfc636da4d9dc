//! Where requests go, and which wait for room.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use record::Decision;
use utils::Name;

use super::beliefs::millis;
use super::pending::Pending;
use super::place::{
    self,
    Choice,
    Versions,
    Wish, //
};
use super::queue::Waiting;
use super::refusals::Reason;
use super::state::State;
use super::{
    Effect,
    Send, //
};

/// The longest wait of a stream that is to be gone on with, since its caller sees a pause.
const RESUME_WAIT: Duration = Duration::from_millis(400);

impl State {
    /// Sends a request to a target, lets it wait, or refuses it at once.
    pub(super) fn place_or_wait(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let rank = pending.rank();
        let started = pending.started;
        let ahead = self.queues.entry(service.clone()).or_default();
        let is_next = started || ahead.iter().all(|waiting| waiting.rank > rank);
        if is_next && self.try_place(now, token, effects) {
            return;
        }
        if self.choose(now, token) == Some(Choice::Nobody) {
            self.reject(now, token, Reason::NoTarget, effects);
            return;
        }
        self.wait(now, token, effects);
    }

    /// Lets a request wait for room, or refuses it at once if there will be none in time.
    pub(super) fn wait(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let service = pending.service.name.clone();
        let rank = pending.rank();
        let (started, start_by) = (pending.started, pending.start_by);
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

    pub(super) fn wish<'a>(&self, now: Duration, pending: &'a Pending) -> Wish<'a> {
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
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let pending = self.pending.get(&token)?;
        let wish = self.wish(now, pending);
        let choice = place::choose(
            now,
            &self.targets,
            &self.options.location,
            &self.out,
            &wish,
            || rng.random(),
        );
        Some(choice)
    }

    /// Sends a request if a target has room. The configuration must still be fresh then.
    fn try_place(&mut self, now: Duration, token: u64, effects: &mut Vec<Effect>) -> bool {
        let Some(Choice::Target(id)) = self.choose(now, token) else {
            return false;
        };
        if !self.may_send(now, token) {
            self.reject(now, token, Reason::StaleConfiguration, effects);
            return true;
        }
        if self.reserve(now, token, &id, effects) {
            return true;
        }
        self.expect(now, token, &id);
        self.begin(now, token, &id);
        self.forward(now, token, &id, effects);
        true
    }

    /// Whether the configuration is fresh enough for a request that is about to be sent.
    pub(super) fn may_send(&self, now: Duration, token: u64) -> bool {
        let pending = self.pending.get(&token);
        let needs_proof = pending.is_some_and(|p| p.team.is_some() && !p.started);
        !needs_proof || self.lease.is_valid(now)
    }

    /// Notes how soon the first event of a request is expected that is about to begin.
    pub(super) fn expect(&mut self, now: Duration, token: u64, id: &Name) {
        let (Some(pending), Some(target)) = (self.pending.get(&token), self.targets.get(id)) else {
            return;
        };
        let expected = place::expected(now, target, &self.wish(now, pending));
        if let Some(pending) = self.pending.get_mut(&token) {
            pending.expected = expected;
        }
    }

    /// Counts a request at a target.
    pub(super) fn begin(&mut self, now: Duration, token: u64, id: &Name) {
        let (Some(pending), Some(target)) =
            (self.pending.get_mut(&token), self.targets.get_mut(id))
        else {
            return;
        };
        target.load.begin(pending.tokens);
        pending.is_unread = true;
        pending.at = Some((id.clone(), now));
    }

    /// Counts a request out that was not sent.
    pub(super) fn release(&mut self, token: u64) {
        self.take_read(token);
        let at = self
            .pending
            .get_mut(&token)
            .and_then(|pending| pending.at.take());
        let target = at.and_then(|(id, _)| self.targets.get_mut(&id));
        if let Some(target) = target {
            target.load.end();
        }
    }

    /// Sends a request to a target.
    pub(super) fn forward(
        &mut self,
        now: Duration,
        token: u64,
        id: &Name,
        effects: &mut Vec<Effect>,
    ) {
        let lease_ms = self.lease_ms(now);
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let model = pending.service.engine.as_ref().map(|engine| &engine.model);
        let version = self.targets.get(id).and_then(|target| target.entry.version);
        let begin_by = model.and_then(|model| self.begin_by(model, version));
        let wish = self.wish(now, pending);
        let exact = wish.versions != Versions::Any;
        let (Some(pending), Some(target)) =
            (self.pending.get_mut(&token), self.targets.get_mut(id))
        else {
            return;
        };
        if let Some(rate) = place::cold_rate(&pending.service).filter(|_| target.is_cold(now)) {
            target.spend_cold_allowance(now, rate);
        }
        let load = target.load.total(now);
        pending.tried.push(id.clone());
        pending.at = Some((id.clone(), now));
        let send = Send {
            target: id.clone(),
            address: target.entry.address,
            team: pending.team.as_ref().map(|team| team.name.clone()),
            version: target.entry.version.filter(|_| exact),
            attempt: pending.attempts(),
            urgency: pending.urgency(),
            deadline: pending.deadline,
            patience: pending.patience(),
            begin_by,
            is_stream: pending.route.repeat.is_stream(),
        };
        effects.push(Effect::Record(Decision::Forward {
            request: pending.id.clone(),
            route: pending.route.name.clone(),
            service: pending.service.name.clone(),
            team: send.team.clone(),
            target: id.clone(),
            attempt: send.attempt,
            waited_ms: millis(now.saturating_sub(pending.arrived)),
            lease_ms,
            load: load.round() as u32,
            asked: pending.asked,
            version: send.version,
        }));
        effects.push(Effect::Send(token, send));
    }
}
