//! The agent's state, and its handling of all events that do not concern a single request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use protocol::{
    Heartbeat,
    Phase,
    Refusal,
    TargetStatus, //
};
use record::Decision;
use sheet::{
    Sheet,
    Workload, //
};
use utils::clock::ClockReading;
use utils::digest::Digest;
use utils::millis::millis;
use utils::Name;
use weights::{
    Limits,
    Plan,
    Transfer, //
};

use super::admission::{
    Admission,
    AdmissionOptions, //
};
use super::at_most_once::{
    AtMostOnceOptions,
    AtMostOnceTable, //
};
use super::rollout::{
    self,
    EngineState,
    ModelVersion,
    Rollout,
    RolloutOptions, //
};
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

/// Settings of an agent.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Intervals of the follower of the sheet.
    pub intervals: Intervals,
    /// Limits of the weight transfer.
    pub transfer_limits: Limits,
    /// Admission control.
    pub admission: AdmissionOptions,
    /// At-most-once execution.
    pub at_most_once: AtMostOnceOptions,
    /// The rolling update.
    pub rollout: RolloutOptions,
}

/// The interval at which the target is checked and its engine's state is read.
const TARGET_READ_INTERVAL: Duration = Duration::from_millis(250);

/// How long a read of the target may take before it is repeated.
const TARGET_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The model or service that the sheet places on this instance.
#[derive(Clone, Debug)]
pub(super) struct LocalWorkload {
    pub name: Name,
    pub is_model: bool,
    pub data_centre: Name,
}

/// The state of an agent.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) instance: Name,
    pub(super) follower: Follower,
    pub(super) workload: Option<LocalWorkload>,
    pub(super) admission: Admission,
    pub(super) at_most_once: AtMostOnceTable,
    pub(super) rollout: Rollout,
    pub(super) suspects: CrashSuspects,
    /// The teams that any sheet of this process named. One that the present sheet does not name was removed.
    pub(super) known_teams: BTreeSet<Name>,
    pub(super) is_draining: bool,
    is_data_centre_out: bool,
    has_requested_exit: bool,
    transfer_limits: Limits,
    transfer: Option<Transfer>,
    pending_target_read_since: Option<Duration>,
    next_target_read_at: Duration,
}

impl State {
    /// Creates the state of the agent process `incarnation` on `instance`.
    pub fn new(
        instance: Name,
        data_centre: Name,
        incarnation: u64,
        options: Options,
        now: ClockReading,
    ) -> Self {
        Self {
            follower: Follower::new(
                instance.clone(),
                data_centre,
                options.intervals,
                incarnation,
            ),
            workload: None,
            admission: Admission::new(options.admission),
            at_most_once: AtMostOnceTable::new(
                instance.clone(),
                incarnation,
                options.at_most_once,
                now,
            ),
            rollout: Rollout::new(options.rollout),
            suspects: CrashSuspects::default(),
            known_teams: BTreeSet::new(),
            is_draining: false,
            is_data_centre_out: false,
            has_requested_exit: false,
            transfer_limits: options.transfer_limits,
            transfer: None,
            pending_target_read_since: None,
            next_target_read_at: Duration::ZERO,
            instance,
        }
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: ClockReading, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let elapsed = now.elapsed;
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Follow(event) => self.step_follower(elapsed, event, &mut effects),
            Event::Heartbeat(from, heartbeat) => {
                self.handle_heartbeat(elapsed, from, heartbeat, &mut effects)
            }
            Event::HeartbeatFailed(name) => {
                let event = weights::Event::PeerUnreachable(name.clone());
                self.step_transfer(elapsed, event, &mut effects);
                self.step_follower(
                    elapsed,
                    follower::Event::PeerUnresponsive(name),
                    &mut effects,
                );
            }
            Event::Transfer(event) => self.step_transfer(elapsed, event, &mut effects),
            Event::Fetched(manifest, event) => {
                // A piece of another version has the same number as one of the current version.
                let current = self.transfer.as_ref().map(|t| *t.plan().manifest());
                if current == Some(manifest) {
                    self.step_transfer(elapsed, event, &mut effects);
                }
            }
            Event::RequestOffered(offered) => self.handle_offer(now, offered, &mut effects),
            Event::RequestWithdrawn(token) => self.withdraw(elapsed, token, &mut effects),
            Event::FirstByteReceived(token) => self.first_byte(elapsed, token),
            Event::RequestEnded(token, result) => {
                self.handle_end(elapsed, token, result, &mut effects)
            }
            Event::TicketRequested(token) => effects.push(Effect::IssueTicket(
                token,
                self.at_most_once.issue_ticket(now),
            )),
            Event::EngineStateRead(engine) => {
                self.handle_engine_state(elapsed, engine, &mut effects)
            }
            Event::StagingFinished(version, staged) => {
                let rollout_effects = self.rollout.staging_finished(elapsed, &version, staged);
                self.apply_rollout_effects(elapsed, rollout_effects, &mut effects);
            }
            Event::OrderFinished(decided_at, outcome) => {
                let rollout_effects = self.rollout.order_finished(elapsed, decided_at, outcome);
                self.apply_rollout_effects(elapsed, rollout_effects, &mut effects);
            }
            Event::StatusReceived(name, status) => {
                self.rollout.predecessor_status(elapsed, &name, status)
            }
            Event::DrainRequested => self.start_draining(elapsed, &mut effects),
        }
        self.start_queued(elapsed, &mut effects);
        self.exit_if_drained(&mut effects);
        effects
    }

    /// The follower of the sheet and the list of instances.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// The transfer of the version that the sheet names.
    pub fn current_transfer(&self) -> Option<&Transfer> {
        self.transfer.as_ref()
    }

    /// The requests that are suspected of crashing targets.
    pub fn suspects(&self) -> &CrashSuspects {
        &self.suspects
    }

    /// The heartbeat that this agent sends to its peers.
    pub fn heartbeat(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            report: self.transfer.as_ref().map(Transfer::report),
            crashes: self.suspects.recent_crashes(now),
        }
    }

    /// The name of the instance.
    pub fn instance(&self) -> &Name {
        &self.instance
    }

    /// The code of the refusal if the target accepts no new requests.
    pub fn refusal_code(&self, now: Duration) -> Option<&'static str> {
        self.refusal(now).map(|refusal| refusal.code())
    }

    /// The status of the target.
    pub fn status(&self, now: Duration) -> TargetStatus {
        let is_model = self
            .workload
            .as_ref()
            .is_some_and(|workload| workload.is_model);
        let phase = match &self.workload {
            None => Phase::Idle,
            Some(_) if is_model => self.rollout.phase(self.admission.is_warm(now)),
            Some(_) if self.rollout.engine().is_some() => Phase::Warm,
            Some(_) => Phase::Loading,
        };
        TargetStatus {
            workload: self.workload.as_ref().map(|workload| workload.name.clone()),
            version: self.rollout.serving_version().cloned(),
            phase,
            ready: self.refusal(now).is_none(),
            running: self.admission.running(),
            queued: self.admission.queued(),
            limit: self.admission.limit(now),
        }
    }

    fn tick(&mut self, now: ClockReading, effects: &mut Vec<Effect>) {
        let elapsed = now.elapsed;
        self.step_follower(elapsed, follower::Event::Tick, effects);
        let needs_pieces = self.rollout.needs_pieces() && !self.is_draining;
        if let Some(transfer) = &mut self.transfer {
            transfer.set_needs_pieces(elapsed, needs_pieces);
        }
        self.step_transfer(elapsed, weights::Event::Tick, effects);
        self.tick_requests(elapsed, effects);
        self.at_most_once.expire(elapsed);
        let expired = self.suspects.expire(elapsed);
        effects.extend(expired.into_iter().map(Effect::Record));
        self.read_target(elapsed, effects);
        self.tick_rollout(elapsed, effects);
    }

    fn read_target(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        let is_read_pending = self
            .pending_target_read_since
            .is_some_and(|since| elapsed.saturating_sub(since) < TARGET_READ_TIMEOUT);
        let Some(workload) = &self.workload else {
            return;
        };
        if is_read_pending || elapsed < self.next_target_read_at {
            return;
        }
        let is_engine = workload.is_model;
        self.pending_target_read_since = Some(elapsed);
        self.next_target_read_at = elapsed + TARGET_READ_INTERVAL;
        effects.push(Effect::ReadTarget { is_engine });
    }

    fn tick_rollout(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        if self.transfer.as_ref().is_some_and(Transfer::is_complete) {
            let rollout_effects = self.rollout.transfer_finished(elapsed);
            self.apply_rollout_effects(elapsed, rollout_effects, effects);
        }
        let instances = self.follower.instances();
        let running = self.admission.running();
        let may_order = self.follower.is_settled();
        let rollout_effects = self
            .rollout
            .tick(elapsed, running, may_order, |name| instances.is_gone(name));
        self.apply_rollout_effects(elapsed, rollout_effects, effects);
        let is_warm = self.admission.is_warm(elapsed);
        let rollout_effects = self.rollout.set_warm(is_warm);
        self.apply_rollout_effects(elapsed, rollout_effects, effects);
    }

    fn handle_heartbeat(
        &mut self,
        elapsed: Duration,
        from: Name,
        heartbeat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.add_crashes(elapsed, &heartbeat.crashes, effects);
        let event = match heartbeat.report {
            Some(report) => weights::Event::ReportReceived(from, report),
            None => weights::Event::AnsweredWithoutReport(from),
        };
        self.step_transfer(elapsed, event, effects);
    }

    /// Sends heartbeats at once, so that neighbours learn of a crash before the caller sends the
    /// request to another target.
    pub(super) fn send_heartbeats(&self, effects: &mut Vec<Effect>) {
        effects.extend(self.follower.heartbeats().map(Effect::Follow));
    }

    /// Adds crashes, and tells the neighbours if one of them is new.
    pub(super) fn add_crashes(
        &mut self,
        elapsed: Duration,
        crashes: &[protocol::Crash],
        effects: &mut Vec<Effect>,
    ) {
        let decisions = self.suspects.add_reported(elapsed, crashes);
        let has_new_crash = !decisions.is_empty();
        effects.extend(decisions.into_iter().map(Effect::Record));
        if has_new_crash {
            self.send_heartbeats(effects);
        }
    }

    fn step_transfer(
        &mut self,
        elapsed: Duration,
        event: weights::Event,
        effects: &mut Vec<Effect>,
    ) {
        let Some(transfer) = &mut self.transfer else {
            if let weights::Event::PieceRequested { token, .. } = event {
                let denial = weights::Denial::ManifestMismatch;
                effects.push(Effect::Transfer(weights::Effect::Deny(token, denial)));
            }
            return;
        };
        let manifest = *transfer.plan().manifest();
        if let weights::Event::FetchFailed(piece, source, weights::FailureCause::Corrupt) = &event {
            effects.push(Effect::Record(Decision::Corrupt {
                manifest,
                piece: *piece,
                from: peer_name(source),
            }));
        }
        for effect in transfer.step(elapsed, event) {
            if let weights::Effect::Fetch { piece, source, .. } = &effect {
                effects.push(Effect::Record(Decision::Draw {
                    manifest,
                    piece: *piece,
                    from: peer_name(source),
                }));
            }
            effects.push(Effect::Transfer(effect));
        }
    }

    fn step_follower(
        &mut self,
        elapsed: Duration,
        event: follower::Event,
        effects: &mut Vec<Effect>,
    ) {
        for effect in self.follower.step(elapsed, event) {
            match effect {
                follower::Effect::SheetAdopted(sheet, digest) => {
                    self.adopt_sheet(elapsed, &sheet, digest, effects)
                }
                follower::Effect::SheetRefused(e) => {
                    effects.push(Effect::Record(Decision::RefuseSheet {
                        cause: e.to_string(),
                    }))
                }
                follower::Effect::ResumedAfterPause(gap) => {
                    // The engine state read before the pause is stale, so a pending read must not
                    // delay the next one.
                    self.pending_target_read_since = None;
                    effects.push(Effect::Record(Decision::Resume {
                        paused_ms: millis(gap),
                    }));
                }
                other => effects.push(Effect::Follow(other)),
            }
        }
    }

    fn adopt_sheet(
        &mut self,
        elapsed: Duration,
        sheet: &Arc<Sheet>,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Record(Decision::Adopt { digest }));
        let was_out = self.is_data_centre_out;
        let placement = sheet.placement(&self.instance);
        self.workload = placement.as_ref().map(|placement| LocalWorkload {
            name: match placement.workload {
                Workload::Model(name, _) | Workload::Service(name, _) => name.clone(),
            },
            is_model: matches!(placement.workload, Workload::Model(..)),
            data_centre: placement.data_centre.clone(),
        });
        let is_out = placement.is_some_and(|placement| !sheet.is_in_service(placement.data_centre));
        self.is_data_centre_out = is_out;
        self.set_limits(elapsed, sheet);
        self.refuse_removed_teams(elapsed, sheet, effects);
        if was_out && !is_out {
            // The target's caches went stale while it was out, so it starts like a new one.
            self.admission.enter_cold_start(elapsed);
        }
        self.set_version(elapsed, sheet, effects);
        if self
            .refusal(elapsed)
            .is_some_and(|r| r != protocol::Refusal::NotReady)
        {
            self.refuse_queued(elapsed, effects);
        }
    }

    /// Refuses the queued requests of teams that the sheet does not name any more. A team that no earlier sheet
    /// of this process named may stand in a later one that the entry has.
    fn refuse_removed_teams(
        &mut self,
        elapsed: Duration,
        sheet: &Sheet,
        effects: &mut Vec<Effect>,
    ) {
        self.known_teams.extend(sheet.teams.keys().cloned());
        let known = &self.known_teams;
        let is_removed = |team: &Name| known.contains(team) && !sheet.teams.contains_key(team);
        for queued in self.admission.remove_teams(is_removed) {
            self.refuse_queued_request(elapsed, &queued, Refusal::TeamRemoved, effects);
        }
    }

    fn set_limits(&mut self, elapsed: Duration, sheet: &Sheet) {
        let Some(workload) = &self.workload else {
            return;
        };
        if let Some(model) = sheet
            .models
            .get(&workload.name)
            .filter(|_| workload.is_model)
        {
            self.admission
                .set_limits(elapsed, model.cold_limit, model.full_limit, model.cold_time);
        } else if let Some(service) = sheet.services.get(&workload.name) {
            self.admission
                .set_limits(elapsed, service.limit, service.limit, Duration::ZERO);
        }
    }

    fn set_version(&mut self, elapsed: Duration, sheet: &Sheet, effects: &mut Vec<Effect>) {
        let model = self
            .workload
            .as_ref()
            .filter(|workload| workload.is_model && !sheet.is_leaving(&self.instance))
            .and_then(|workload| Some((workload, sheet.models.get(&workload.name)?)));
        let Some((workload, model)) = model else {
            self.rollout
                .set_desired_version(None, Vec::new(), sheet.version);
            self.replace_transfer(None, effects);
            return;
        };
        let version = ModelVersion {
            model: workload.name.clone(),
            version: model.version.clone(),
            manifest: model.manifest,
        };
        let plan = Plan::new(sheet, &workload.name, &self.instance);
        let predecessors = plan.as_ref().map_or_else(Vec::new, |plan| {
            let mut peers = plan.data_centre_peers(&self.instance);
            peers.retain(|name| !sheet.is_leaving(name));
            predecessors_of(
                &peers,
                &self.instance,
                model.max_switching_targets(&workload.data_centre),
            )
        });
        self.rollout
            .set_desired_version(Some(version), predecessors, sheet.version);
        let is_same_plan = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| Some(transfer.plan()) == plan.as_ref());
        if !is_same_plan {
            let transfer = plan.map(|plan| {
                Transfer::new(
                    self.instance.clone(),
                    plan,
                    self.transfer_limits.clone(),
                    elapsed,
                )
            });
            self.replace_transfer(transfer, effects);
        }
    }

    fn replace_transfer(&mut self, transfer: Option<Transfer>, effects: &mut Vec<Effect>) {
        let kept_manifest = transfer
            .as_ref()
            .map(|transfer| *transfer.plan().manifest());
        if let Some(mut old) = std::mem::replace(&mut self.transfer, transfer) {
            effects.extend(old.stop().into_iter().map(Effect::Transfer));
            effects.push(Effect::DeletePiecesExcept(kept_manifest));
        }
    }

    fn handle_engine_state(
        &mut self,
        elapsed: Duration,
        engine: Option<EngineState>,
        effects: &mut Vec<Effect>,
    ) {
        self.pending_target_read_since = None;
        if engine.as_ref().is_some_and(|e| !e.is_loading) {
            self.admission.record_report(elapsed);
        }
        let rollout_effects = self.rollout.engine_reported(elapsed, engine);
        self.apply_rollout_effects(elapsed, rollout_effects, effects);
    }

    fn apply_rollout_effects(
        &mut self,
        elapsed: Duration,
        rollout_effects: Vec<rollout::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        for effect in rollout_effects {
            match effect {
                rollout::Effect::Stage(version) => effects.push(Effect::Stage(version)),
                rollout::Effect::Order {
                    version,
                    fencing_number,
                    decided_at,
                    accept_until,
                } => effects.push(Effect::Order {
                    version,
                    fencing_number,
                    decided_at,
                    accept_until,
                }),
                rollout::Effect::RecordLoad {
                    version,
                    event,
                    check_duration,
                    reading_age,
                } => effects.push(Effect::Record(Decision::Load {
                    model: version.model,
                    version: version.version,
                    event,
                    check_ms: millis(check_duration),
                    reading_age_ms: millis(reading_age),
                })),
                rollout::Effect::RequestStatus(name) => effects.push(Effect::RequestStatus(name)),
                rollout::Effect::EnterColdStart => self.admission.enter_cold_start(elapsed),
                rollout::Effect::RecordStep(step, version) => {
                    let fence = self.follower.sheet().map_or(0, |sheet| sheet.version);
                    effects.push(Effect::Record(Decision::Switch {
                        model: version.model,
                        version: version.version,
                        manifest: version.manifest,
                        step,
                        fence,
                    }));
                }
            }
        }
    }

    fn start_draining(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        effects.push(Effect::Record(Decision::Drain));
        self.refuse_queued(elapsed, effects);
    }

    /// Exits a draining agent once its running requests and uploads have ended, so that a planned
    /// shutdown interrupts neither.
    fn exit_if_drained(&mut self, effects: &mut Vec<Effect>) {
        let uploads = self.transfer.as_ref().map_or(0, Transfer::active_uploads);
        let is_idle = self.admission.running() == 0 && uploads == 0;
        if self.is_draining && is_idle && !self.has_requested_exit {
            self.has_requested_exit = true;
            effects.push(Effect::Exit);
        }
    }
}

/// The targets that switch before `instance` when `max_out` of them may be out of service at once,
/// the nearest first.
fn predecessors_of(ranked: &[Name], instance: &Name, max_out: usize) -> Vec<Name> {
    let Some(index) = ranked.iter().position(|name| name == instance) else {
        return Vec::new();
    };
    let predecessors = ranked[..index]
        .iter()
        .rev()
        .skip(max_out - 1)
        .step_by(max_out);
    predecessors.cloned().collect()
}

fn peer_name(source: &weights::Source) -> Option<Name> {
    match source {
        weights::Source::Origin => None,
        weights::Source::Peer(name) => Some(name.clone()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn number_of_sequences_is_the_allowed_number_out_of_service() {
        let ranked: Vec<Name> = (0..7).map(|i| Name::from(format!("t{i}"))).collect();
        let predecessors =
            |instance: &str, max_out| predecessors_of(&ranked, &instance.into(), max_out);
        assert_eq!(predecessors("t0", 2), Vec::<Name>::new());
        assert_eq!(predecessors("t1", 2), Vec::<Name>::new());
        assert_eq!(predecessors("t6", 2), [4, 2, 0].map(|i| ranked[i].clone()));
        assert_eq!(predecessors("t2", 1), [1, 0].map(|i| ranked[i].clone()));
    }
}
