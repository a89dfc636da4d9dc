//! The entry's state, and its handling of all events that do not concern a single request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use protocol::{
    Crash,
    Fingerprint,
    Heartbeat,
    TargetStatus, //
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use record::Decision;
use sheet::{
    InstancesByDataCentre,
    Sheet, //
};
use utils::clock::ClockReading;
use utils::digest::Digest;
use utils::millis::millis;
use utils::Name;

use super::choice::RampUps;
use super::hints::Hints;
use super::requests::PendingRequest;
use super::ring::Ring;
use super::{
    Effect,
    Event, //
};
use crate::crash_suspects::CrashSuspects;
use crate::follower::{
    self,
    Follower,
    Intervals, //
};
use crate::retry_budget::{
    RetryBudget,
    RetryBudgetOptions, //
};

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Intervals of the follower of the sheet.
    pub intervals: Intervals,
    /// The retry budget.
    pub budget: RetryBudgetOptions,
    /// How long the traffic of a data centre takes to reach its usual level after the data centre
    /// has returned to service.
    pub ramp_time: Duration,
    /// The maximum number of targets probed for each request.
    pub probes_per_request: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            intervals: Intervals::default(),
            budget: RetryBudgetOptions::default(),
            ramp_time: Duration::from_secs(20),
            probes_per_request: 2,
        }
    }
}

/// The state of an entry.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) options: Options,
    pub(super) follower: Follower,
    pub(super) rings: BTreeMap<Name, Ring>,
    pub(super) ramp_ups: RampUps,
    pub(super) hints: Hints,
    pub(super) budget: RetryBudget,
    pub(super) suspects: CrashSuspects,
    /// The pending requests by token.
    pub(super) pending: BTreeMap<u64, PendingRequest>,
    pub(super) rng: Pcg64Mcg,
    pub(super) is_draining: bool,
    has_requested_exit: bool,
    last_sheet: Option<Arc<Sheet>>,
}

impl State {
    /// Creates the state of an entry on the instance `name`. `incarnation` differs with each start
    /// of the process and seeds the random number generator.
    pub fn new(name: Name, data_centre: Name, incarnation: u64, options: Options) -> Self {
        Self {
            follower: Follower::new(name, data_centre, options.intervals.clone(), incarnation),
            rings: BTreeMap::new(),
            ramp_ups: RampUps::default(),
            hints: Hints::default(),
            budget: RetryBudget::new(options.budget.clone()),
            suspects: CrashSuspects::default(),
            pending: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(incarnation),
            is_draining: false,
            has_requested_exit: false,
            last_sheet: None,
            options,
        }
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: ClockReading, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let elapsed = now.elapsed;
        match event {
            Event::Tick => self.handle_tick(elapsed, &mut effects),
            Event::Follow(event) => self.step_follower(elapsed, event, &mut effects),
            Event::Heartbeat(_, heartbeat) => {
                self.handle_heartbeat(elapsed, &heartbeat, &mut effects)
            }
            Event::HeartbeatFailed(name) => self.step_follower(
                elapsed,
                follower::Event::PeerUnresponsive(name),
                &mut effects,
            ),
            Event::RequestReceived(incoming) => {
                self.handle_arrival(elapsed, incoming, &mut effects)
            }
            Event::ResponseStarted { token, resumable } => {
                self.handle_response_start(elapsed, token, resumable)
            }
            Event::SendFailed(token) => self.handle_send_failure(elapsed, token, &mut effects),
            Event::Outcome {
                token,
                outcome,
                start_count,
            } => self.handle_outcome(elapsed, token, outcome, start_count, &mut effects),
            Event::AgentSilent(token) => self.handle_silence(elapsed, token, &mut effects),
            Event::SilentAgentSpoke(token) => {
                self.handle_silent_target_spoke(elapsed, token, &mut effects)
            }
            Event::SilentAgentEnded {
                token,
                outcome,
                start_count,
            } => self.handle_silent_target_outcome(
                elapsed,
                token,
                outcome,
                start_count,
                &mut effects,
            ),
            Event::ResponseResumed(token) => self.handle_resumed_response(elapsed, token),
            Event::CallerDisconnected(token) => {
                self.handle_caller_disconnect(elapsed, token, &mut effects)
            }
            Event::ProbeResult(name, status) => self.handle_status(elapsed, &name, status),
            Event::DrainRequested => self.handle_drain(&mut effects),
        }
        if self.is_draining && self.pending.is_empty() && !self.has_requested_exit {
            self.has_requested_exit = true;
            effects.push(Effect::Exit);
        }
        effects
    }

    /// The follower of the sheet and the list of instances.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The requests that are suspected of crashing targets.
    pub fn suspects(&self) -> &CrashSuspects {
        &self.suspects
    }

    /// The estimates of the state of targets.
    pub fn hints(&self) -> &Hints {
        &self.hints
    }

    /// The number of requests that have not ended.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// The ring of a model or service, if the sheet has it.
    pub fn ring(&self, name: &str) -> Option<&Ring> {
        self.rings.get(name)
    }

    /// Whether the load balancer may send callers to this entry.
    pub fn is_ready(&self) -> bool {
        !self.is_draining && self.follower.is_settled()
    }

    /// The heartbeat that this entry sends to its neighbours.
    pub fn heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            report: None,
            crashes: self.suspects.recent_crashes(now),
        }
    }

    fn handle_tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.step_follower(now, follower::Event::Tick, effects);
        self.hints.expire(now);
        let expired = self.suspects.expire(now);
        effects.extend(expired.into_iter().map(Effect::Record));
        self.ramp_ups.expire(now, self.options.ramp_time);
        self.resume_deferred(now, effects);
        self.expire_requests(now, effects);
    }

    fn handle_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.record_crashes(now, &heartbeat.crashes, effects);
    }

    /// Marks a suspect request that ran to its end as cleared, and tells the neighbours at once.
    pub(super) fn clear_suspect(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        effects: &mut Vec<Effect>,
    ) {
        if self.suspects.clear_request(now, fingerprint) {
            effects.extend(self.follower.heartbeats().map(Effect::Follow));
        }
    }

    /// Records crashes and tells the neighbours of new ones at once, since a caller may repeat the
    /// request at any entry.
    pub(super) fn record_crashes(
        &mut self,
        now: Duration,
        crashes: &[Crash],
        effects: &mut Vec<Effect>,
    ) {
        let decisions = self.suspects.add_reported(now, crashes);
        let has_new_crash = !decisions.is_empty();
        effects.extend(decisions.into_iter().map(Effect::Record));
        if has_new_crash {
            effects.extend(self.follower.heartbeats().map(Effect::Follow));
        }
    }

    fn handle_status(&mut self, now: Duration, name: &Name, status: Option<TargetStatus>) {
        match status {
            Some(status) => self.hints.record_status(now, name, status),
            None => self.hints.record_unreachable(now, name),
        }
    }

    fn step_follower(&mut self, now: Duration, event: follower::Event, effects: &mut Vec<Effect>) {
        for effect in self.follower.step(now, event) {
            match effect {
                follower::Effect::SheetAdopted(sheet, digest) => {
                    self.adopt_sheet(now, &sheet, digest, effects)
                }
                follower::Effect::SheetRefused(e) => {
                    effects.push(Effect::Record(Decision::RefuseSheet {
                        cause: e.to_string(),
                    }))
                }
                follower::Effect::ResumedAfterPause(pause) => {
                    effects.push(Effect::Record(Decision::Resume {
                        paused_ms: millis(pause),
                    }))
                }
                other => effects.push(Effect::Follow(other)),
            }
        }
    }

    fn adopt_sheet(
        &mut self,
        now: Duration,
        sheet: &Arc<Sheet>,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Record(Decision::Adopt { digest }));
        if let Some(last) = &self.last_sheet {
            for name in sheet.data_centres.keys() {
                if sheet.is_in_service(name) && !last.is_in_service(name) {
                    self.ramp_ups.start(now, name);
                }
            }
        }
        self.rebuild_rings(sheet);
        self.hints.clear_refusal_backoffs();
        self.last_sheet = Some(sheet.clone());
    }

    /// Rebuilds only the rings whose targets changed, since sorting the points of all rings is slow
    /// in a large fleet.
    fn rebuild_rings(&mut self, sheet: &Sheet) {
        let last = self.last_sheet.as_deref();
        let is_availability_same = last.is_some_and(|last| {
            last.data_centres == sheet.data_centres && last.leaving == sheet.leaving
        });
        let mut old_rings = std::mem::take(&mut self.rings);
        for (name, instances) in workloads(sheet) {
            let previous = last.and_then(|last| workloads(last).find(|(n, _)| *n == name));
            let is_unchanged =
                is_availability_same && previous.is_some_and(|(_, i)| i == instances);
            let ring = match old_rings.remove(name) {
                Some(ring) if is_unchanged => ring,
                _ => Ring::new(sheet, instances),
            };
            self.rings.insert(name.clone(), ring);
        }
    }

    fn handle_drain(&mut self, effects: &mut Vec<Effect>) {
        if !self.is_draining {
            self.is_draining = true;
            effects.push(Effect::Record(Decision::Drain));
            effects.push(Effect::CloseConnections);
        }
    }
}

/// All models and services of the sheet with their instances.
fn workloads(sheet: &Sheet) -> impl Iterator<Item = (&Name, &InstancesByDataCentre)> {
    let models = sheet.models.iter().map(|(n, m)| (n, &m.instances));
    let services = sheet.services.iter().map(|(n, s)| (n, &s.instances));
    models.chain(services)
}
