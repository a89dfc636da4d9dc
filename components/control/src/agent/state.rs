//! The agent's state and its handling of everything but requests.

use std::sync::Arc;
use std::time::Duration;

use protocol::{
    Heartbeat,
    Phase,
    TargetStatus, //
};
use record::Decision;
use sheet::{
    Sheet,
    Workload, //
};
use utils::clock::Now;
use utils::digest::Digest;
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
use super::once::{
    Once,
    OnceOptions, //
};
use super::rollout::{
    self,
    EngineState,
    Rollout,
    RolloutOptions,
    Version, //
};
use super::{
    Effect,
    Event, //
};
use crate::follow::{
    self,
    Follow,
    Intervals, //
};
use crate::suspects::Suspects;

/// Settings of an agent.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Following the sheet.
    pub intervals: Intervals,
    /// Spreading weights.
    pub limits: Limits,
    /// Admission.
    pub admission: AdmissionOptions,
    /// Requests that may run at most once.
    pub once: OnceOptions,
    /// Switching versions.
    pub rollout: RolloutOptions,
}

/// How often the engine is asked what it runs.
const ENGINE_EVERY: Duration = Duration::from_millis(250);

/// How long an unanswered question to the engine is waited for.
const ENGINE_PATIENCE: Duration = Duration::from_secs(2);

/// What the sheet places on this instance.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    pub name: Name,
    pub is_model: bool,
    pub data_centre: Name,
}

/// The state of an agent.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) me: Name,
    pub(super) follow: Follow,
    pub(super) placed: Option<Placed>,
    pub(super) admission: Admission,
    pub(super) once: Once,
    pub(super) rollout: Rollout,
    pub(super) suspects: Suspects,
    pub(super) draining: bool,
    is_out_by_sheet: bool,
    exited: bool,
    limits: Limits,
    transfer: Option<Transfer>,
    engine_asked: Option<Duration>,
    engine_at: Duration,
}

impl State {
    /// Makes the state of the agent process `incarnation` on the instance `me`.
    pub fn new(me: Name, data_centre: Name, incarnation: u64, options: Options, now: Now) -> Self {
        Self {
            follow: Follow::new(me.clone(), data_centre, options.intervals, incarnation),
            placed: None,
            admission: Admission::new(options.admission),
            once: Once::new(me.clone(), incarnation, options.once, now),
            rollout: Rollout::new(options.rollout),
            suspects: Suspects::default(),
            draining: false,
            is_out_by_sheet: false,
            exited: false,
            limits: options.limits,
            transfer: None,
            engine_asked: None,
            engine_at: Duration::ZERO,
            me,
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        let at = now.elapsed;
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Follow(event) => self.follow(at, event, &mut out),
            Event::Heartbeat(from, heartbeat) => self.heartbeat(at, from, heartbeat, &mut out),
            Event::Silent(name) => {
                let event = weights::Event::Silent(name.clone());
                self.transfer(at, event, &mut out);
                self.follow(at, follow::Event::Silent(name), &mut out);
            }
            Event::Transfer(event) => self.transfer(at, event, &mut out),
            Event::Offer(offered) => self.offer(now, offered, &mut out),
            Event::Withdraw(token) => self.withdraw(at, token, &mut out),
            Event::FirstByte(token) => self.first_byte(at, token),
            Event::Ended(token, ended) => self.ended(at, token, ended, &mut out),
            Event::TicketAsked(token) => out.push(Effect::Ticket(token, self.once.ticket(now))),
            Event::Engine(engine) => self.engine(at, engine, &mut out),
            Event::Staged(version, done) => self.rollout.staged(at, &version, done),
            Event::Ordered(done) => self.rollout.ordered(at, done),
            Event::Status(name, status) => self.rollout.heard(at, &name, status),
            Event::Drain => self.drain(at, &mut out),
        }
        self.start_waiting(at, &mut out);
        self.maybe_exit(&mut out);
        out
    }

    /// The follower of the sheet.
    pub fn follower(&self) -> &Follow {
        &self.follow
    }

    /// The transfer of the version that the sheet names.
    pub fn current_transfer(&self) -> Option<&Transfer> {
        self.transfer.as_ref()
    }

    /// The requests that may crash targets.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// What this agent tells its neighbours.
    pub fn news(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            report: self.transfer.as_ref().map(Transfer::report),
            crashes: self.suspects.news(now),
        }
    }

    /// The instance.
    pub fn name(&self) -> &Name {
        &self.me
    }

    /// Why the target takes no new work, if it does not.
    pub fn why(&self, now: Duration) -> Option<&'static str> {
        self.refusal(now).map(|refusal| refusal.code())
    }

    /// The state of the target.
    pub fn status(&self, now: Duration) -> TargetStatus {
        let is_model = self.placed.as_ref().is_some_and(|p| p.is_model);
        let phase = match &self.placed {
            None => Phase::Idle,
            Some(_) if is_model => self.rollout.phase(self.admission.is_warm(now)),
            Some(_) if self.rollout.engine().is_some() => Phase::Warm,
            Some(_) => Phase::Loading,
        };
        TargetStatus {
            workload: self.placed.as_ref().map(|p| p.name.clone()),
            version: self.rollout.serving().cloned(),
            phase,
            ready: self.refusal(now).is_none(),
            running: self.admission.running(),
            queued: self.admission.queued(),
            limit: self.admission.limit(now),
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Effect>) {
        let at = now.elapsed;
        self.follow(at, follow::Event::Tick, out);
        let wanted = self.rollout.needs_pieces() && !self.draining;
        if let Some(transfer) = &mut self.transfer {
            transfer.set_wanted(at, wanted);
        }
        self.transfer(at, weights::Event::Tick, out);
        self.tick_requests(at, out);
        self.once.expire(at);
        self.suspects.expire(at);
        self.ask_engine(at, out);
        self.tick_rollout(at, out);
    }

    fn ask_engine(&mut self, at: Duration, out: &mut Vec<Effect>) {
        let waits = self
            .engine_asked
            .is_some_and(|asked| at.saturating_sub(asked) < ENGINE_PATIENCE);
        let Some(placed) = &self.placed else {
            return;
        };
        if waits || at < self.engine_at {
            return;
        }
        let is_engine = placed.is_model;
        self.engine_asked = Some(at);
        self.engine_at = at + ENGINE_EVERY;
        out.push(Effect::ReadTarget { is_engine });
    }

    fn tick_rollout(&mut self, at: Duration, out: &mut Vec<Effect>) {
        if self.transfer.as_ref().is_some_and(Transfer::is_complete) {
            let effects = self.rollout.spread(at);
            self.rollout_effects(at, effects, out);
        }
        let members = self.follow.members();
        let running = self.admission.running();
        let may_order = self.follow.is_settled();
        let effects = self
            .rollout
            .tick(at, running, may_order, |name| members.is_gone(name));
        self.rollout_effects(at, effects, out);
        let is_warm = self.admission.is_warm(at);
        let effects = self.rollout.set_warm(is_warm);
        self.rollout_effects(at, effects, out);
    }

    fn heartbeat(&mut self, at: Duration, from: Name, news: Heartbeat, out: &mut Vec<Effect>) {
        let mut is_news = false;
        for crash in &news.crashes {
            if self.suspects.note(at, crash) {
                is_news = true;
                self.record_suspect(crash, out);
            }
        }
        if is_news {
            self.tell_neighbours(out);
        }
        let event = match news.report {
            Some(report) => weights::Event::Report(from, report),
            None => weights::Event::Answered(from),
        };
        self.transfer(at, event, out);
    }

    /// Tells neighbours of crashes at once, since the caller may send the request again elsewhere.
    pub(super) fn tell_neighbours(&self, out: &mut Vec<Effect>) {
        out.extend(self.follow.beats().map(Effect::Follow));
    }

    pub(super) fn record_suspect(&self, crash: &protocol::Crash, out: &mut Vec<Effect>) {
        out.push(Effect::Record(Decision::Suspect {
            fingerprint: crash.fingerprint,
            target: crash.target.clone(),
            quarantined: self.suspects.is_quarantined(crash.fingerprint),
        }));
    }

    fn transfer(&mut self, at: Duration, event: weights::Event, out: &mut Vec<Effect>) {
        let Some(transfer) = &mut self.transfer else {
            if let weights::Event::Want { token, .. } = event {
                let denial = weights::Denial::OtherManifest;
                out.push(Effect::Transfer(weights::Effect::Deny(token, denial)));
            }
            return;
        };
        let manifest = *transfer.plan().manifest();
        if let weights::Event::Failed(piece, source, weights::FailCause::Corrupt) = &event {
            out.push(Effect::Record(Decision::Corrupt {
                manifest,
                piece: *piece,
                from: peer_name(source),
            }));
        }
        for effect in transfer.step(at, event) {
            if let weights::Effect::Fetch { piece, source, .. } = &effect {
                out.push(Effect::Record(Decision::Draw {
                    manifest,
                    piece: *piece,
                    from: peer_name(source),
                }));
            }
            out.push(Effect::Transfer(effect));
        }
    }

    fn follow(&mut self, at: Duration, event: follow::Event, out: &mut Vec<Effect>) {
        for effect in self.follow.step(at, event) {
            match effect {
                follow::Effect::Adopted(sheet, digest) => self.adopt(at, &sheet, digest, out),
                follow::Effect::Refused(e) => out.push(Effect::Record(Decision::RefuseSheet {
                    cause: e.to_string(),
                })),
                follow::Effect::Resumed(gap) => {
                    // Whatever the engine said before the pause is old.
                    self.engine_asked = None;
                    out.push(Effect::Record(Decision::Resume {
                        paused_ms: u64::try_from(gap.as_millis()).unwrap_or(u64::MAX),
                    }));
                }
                other => out.push(Effect::Follow(other)),
            }
        }
    }

    fn adopt(&mut self, at: Duration, sheet: &Arc<Sheet>, digest: Digest, out: &mut Vec<Effect>) {
        out.push(Effect::Record(Decision::Adopt { digest }));
        let was_out = self.is_out_by_sheet;
        let placement = sheet.placement(&self.me);
        self.placed = placement.as_ref().map(|placement| Placed {
            name: match placement.workload {
                Workload::Model(name, _) | Workload::Service(name, _) => name.clone(),
            },
            is_model: matches!(placement.workload, Workload::Model(..)),
            data_centre: placement.data_centre.clone(),
        });
        let is_out = placement.is_some_and(|p| !sheet.is_in(p.data_centre));
        self.is_out_by_sheet = is_out;
        self.set_limits(at, sheet);
        if was_out && !is_out {
            // Its caches are as old as the outage, so it starts like a new target.
            self.admission.turn_cold(at);
        }
        self.set_version(at, sheet, out);
        if self
            .refusal(at)
            .is_some_and(|r| r != protocol::Refusal::NotReady)
        {
            self.refuse_waiting(at, out);
        }
    }

    fn set_limits(&mut self, at: Duration, sheet: &Sheet) {
        let Some(placed) = &self.placed else {
            return;
        };
        if let Some(model) = sheet.models.get(&placed.name).filter(|_| placed.is_model) {
            self.admission
                .set_limits(at, model.cold_limit, model.full_limit, model.cold_time);
        } else if let Some(service) = sheet.services.get(&placed.name) {
            self.admission
                .set_limits(at, service.limit, service.limit, Duration::ZERO);
        }
    }

    fn set_version(&mut self, at: Duration, sheet: &Sheet, out: &mut Vec<Effect>) {
        let model = self
            .placed
            .as_ref()
            .filter(|p| p.is_model && !sheet.is_leaving(&self.me))
            .and_then(|p| Some((p, sheet.models.get(&p.name)?)));
        let Some((placed, model)) = model else {
            self.rollout.want(None, Vec::new(), sheet.version);
            self.replace_transfer(None, out);
            return;
        };
        let version = Version {
            model: placed.name.clone(),
            version: model.version.clone(),
            manifest: model.manifest,
        };
        let plan = Plan::new(sheet, &placed.name, &self.me);
        let lane = plan.as_ref().map_or_else(Vec::new, |plan| {
            let mut peers = plan.data_centre_peers(&self.me);
            peers.retain(|name| !sheet.is_leaving(name));
            lane_before(&peers, &self.me, model.switch_width(&placed.data_centre))
        });
        self.rollout.want(Some(version), lane, sheet.version);
        let same = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| Some(transfer.plan()) == plan.as_ref());
        if !same {
            let transfer =
                plan.map(|plan| Transfer::new(self.me.clone(), plan, self.limits.clone(), at));
            self.replace_transfer(transfer, out);
        }
    }

    fn replace_transfer(&mut self, transfer: Option<Transfer>, out: &mut Vec<Effect>) {
        let manifest = |t: &Transfer| *t.plan().manifest();
        let keep = transfer.as_ref().map(manifest);
        if let Some(mut old) = std::mem::replace(&mut self.transfer, transfer) {
            out.extend(old.stop().into_iter().map(Effect::Transfer));
            out.push(Effect::KeepOnly(keep));
        }
    }

    fn engine(&mut self, at: Duration, engine: Option<EngineState>, out: &mut Vec<Effect>) {
        self.engine_asked = None;
        if engine.as_ref().is_some_and(|e| !e.loading) {
            self.admission.report(at);
        }
        let effects = self.rollout.read(engine);
        self.rollout_effects(at, effects, out);
    }

    fn rollout_effects(
        &mut self,
        at: Duration,
        effects: Vec<rollout::Effect>,
        out: &mut Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                rollout::Effect::Stage(version) => out.push(Effect::Stage(version)),
                rollout::Effect::Order {
                    version,
                    fence,
                    decided,
                } => out.push(Effect::Order {
                    version,
                    fence,
                    decided,
                }),
                rollout::Effect::AskStatus(name) => out.push(Effect::AskStatus(name)),
                rollout::Effect::TurnCold => self.admission.turn_cold(at),
                rollout::Effect::Step(step, version) => {
                    let fence = self.follow.sheet().map_or(0, |sheet| sheet.version);
                    out.push(Effect::Record(Decision::Switch {
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

    fn drain(&mut self, at: Duration, out: &mut Vec<Effect>) {
        if self.draining {
            return;
        }
        self.draining = true;
        out.push(Effect::Record(Decision::Drain));
        self.refuse_waiting(at, out);
    }

    /// A planned stop cuts off neither a request nor an upload.
    fn maybe_exit(&mut self, out: &mut Vec<Effect>) {
        let uploads = self.transfer.as_ref().map_or(0, Transfer::uploads_running);
        let idle = self.admission.running() == 0 && uploads == 0;
        if self.draining && idle && !self.exited {
            self.exited = true;
            out.push(Effect::Exit);
        }
    }
}

/// The targets before `me` in its lane, the nearest first.
fn lane_before(ranked: &[Name], me: &Name, width: usize) -> Vec<Name> {
    let Some(at) = ranked.iter().position(|name| name == me) else {
        return Vec::new();
    };
    let lane = ranked[..at].iter().rev().skip(width - 1).step_by(width);
    lane.cloned().collect()
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
    fn lanes_are_as_wide_as_may_be_out() {
        let ranked: Vec<Name> = (0..7).map(|i| Name::from(format!("t{i}"))).collect();
        let lane = |me: &str, width| lane_before(&ranked, &me.into(), width);
        assert_eq!(lane("t0", 2), Vec::<Name>::new());
        assert_eq!(lane("t1", 2), Vec::<Name>::new());
        assert_eq!(lane("t6", 2), [4, 2, 0].map(|i| ranked[i].clone()));
        assert_eq!(lane("t2", 1), [1, 0].map(|i| ranked[i].clone()));
    }
}
