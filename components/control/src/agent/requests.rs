//! The agent's handling of requests: admission, start, cancellation and outcome.

use std::time::Duration;

use protocol::{
    Crash,
    Guard,
    Outcome,
    Refusal, //
};
use record::Decision;
use sheet::Service;
use utils::clock::ClockReading;

use super::admission::OfferedRequest;
use super::state::State;
use super::Effect;

/// How the attempt to run a request at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The target sent a complete response.
    Answered {
        /// The HTTP status of the response.
        status: u16,
    },
    /// Nothing was sent to the target, since the caller had disconnected.
    NotStarted,
    /// Nothing was sent to the target, since no connection could be established.
    NotSent,
    /// The target rejected the request before it started, since it cannot serve now.
    Declined,
    /// The target sent the response of another request, or one that may be, or no response at all.
    WrongResponse,
    /// The target answered a request to continue a stream with something else.
    NotContinued,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The caller disconnected and the request was cancelled at the target.
    Cancelled,
    /// The deadline passed while the request ran.
    TimedOut,
}

impl RunResult {
    /// The outcome to report to the caller.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered { status } => Outcome::Ran { status },
            Self::NotStarted | Self::NotSent | Self::Declined => Outcome::NotRun(Refusal::NotReady),
            Self::ConnectionLost => Outcome::Unknown { crashed: true },
            Self::WrongResponse | Self::NotContinued | Self::Cancelled | Self::TimedOut => {
                Outcome::Unknown { crashed: false }
            }
        }
    }
}

/// The lowest HTTP status that indicates an error of the target.
const FIRST_SERVER_ERROR: u16 = 500;

impl State {
    /// The reason why no request at all is accepted now, if there is one.
    pub(super) fn refusal(&self, now: Duration) -> Option<Refusal> {
        let Some(sheet) = self.follower.sheet() else {
            return Some(Refusal::NotReady);
        };
        if self.is_draining {
            return Some(Refusal::Draining);
        }
        if !self.follower.is_settled() {
            return Some(Refusal::Resuming);
        }
        let Some(workload) = &self.workload else {
            return Some(Refusal::WrongTarget);
        };
        if !sheet.is_in_service(&workload.data_centre) {
            return Some(Refusal::DataCentreOut);
        }
        let listed = self.follower.instances().get(&self.instance);
        let is_leaving = listed.is_some_and(|i| i.state != protocol::InstanceState::Live);
        if is_leaving || sheet.is_leaving(&self.instance) {
            return Some(Refusal::Leaving);
        }
        let is_ready = if workload.is_model {
            self.rollout.serving_version().is_some()
        } else {
            self.rollout.engine().is_some()
        };
        if !is_ready || self.admission.limit(now) == 0 {
            return Some(Refusal::NotReady);
        }
        None
    }

    pub(super) fn handle_offer(
        &mut self,
        now: ClockReading,
        offered: OfferedRequest,
        effects: &mut Vec<Effect>,
    ) {
        match self.check_offer(now, &offered) {
            Err(outcome) => refuse(&offered, outcome, effects),
            Ok(share) => {
                let is_suspect = self.is_suspect(&offered);
                let offered = OfferedRequest {
                    is_suspect,
                    ..offered
                };
                // The key counts as running while its request is queued, so that a second request
                // with the same key is not accepted.
                self.at_most_once.mark_running(now.elapsed, &offered.guard);
                if let Some(shed) = self.admission.enqueue(now.elapsed, offered, share) {
                    self.refuse_expired_or_shed(now.elapsed, &shed, effects);
                }
            }
        }
    }

    /// Returns the share of the caller's team.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report to the caller if the request is not accepted.
    fn check_offer(&self, now: ClockReading, offered: &OfferedRequest) -> Result<u32, Outcome> {
        let elapsed = now.elapsed;
        let sheet = self.follower.sheet();
        let service = self.service(offered);
        // This check comes first: an agent that accepts nothing new still reports an earlier
        // request with the same guard, and an agent without a sheet must not claim that a ticket
        // issued before its start has not run.
        self.at_most_once
            .check(now, &offered.guard, sheet.map(|sheet| &**sheet), service)?;
        let Some(sheet) = sheet else {
            return Err(Outcome::NotRun(Refusal::NotReady));
        };
        let is_placed_here = self
            .workload
            .as_ref()
            .is_some_and(|workload| workload.name == offered.work);
        let refusal = self.refusal(elapsed);
        if let Some(refusal) = refusal {
            return Err(Outcome::NotRun(refusal));
        }
        if !is_placed_here {
            return Err(Outcome::NotRun(Refusal::WrongTarget));
        }
        if offered.version.is_some() && offered.version.as_ref() != self.rollout.serving_version() {
            return Err(Outcome::NotRun(Refusal::OtherVersion));
        }
        if offered.deadline <= elapsed {
            return Err(Outcome::NotRun(Refusal::Expired));
        }
        let team = sheet.teams.get(&offered.team);
        if team.is_none() && self.known_teams.contains(&offered.team) {
            return Err(Outcome::NotRun(Refusal::TeamRemoved));
        }
        if self.suspects.is_quarantined(offered.fingerprint) {
            return Err(Outcome::NotRun(Refusal::Quarantined));
        }
        if self.is_suspect(offered) && self.admission.is_suspect_queue_full() {
            return Err(Outcome::NotRun(Refusal::SuspectRunning));
        }
        Ok(team.map_or(1, |team| team.share))
    }

    fn is_suspect(&self, offered: &OfferedRequest) -> bool {
        offered.is_suspect || self.suspects.is_suspect(offered.fingerprint)
    }

    fn service(&self, offered: &OfferedRequest) -> Option<&Service> {
        self.follower.sheet()?.services.get(&offered.work)
    }

    /// Starts as many queued requests as the limit allows.
    pub(super) fn start_queued(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        if self.admission.queued() == 0 || self.refusal(elapsed).is_some() {
            return;
        }
        let start_count = self.rollout.engine().map_or(0, |engine| engine.start_count);
        let limit = self.admission.limit(elapsed);
        let version = self.rollout.serving_version().cloned();
        while let Some(started) = self.admission.start_next(elapsed, start_count) {
            let offered = started.offered.clone();
            effects.push(Effect::Record(Decision::Run {
                request: offered.request,
                work: offered.work,
                team: offered.team,
                guard: offered.guard,
                fingerprint: offered.fingerprint,
                version: version.clone(),
                running: self.admission.running(),
                limit,
            }));
            effects.push(Effect::Run {
                token: offered.token,
                version: version.clone(),
                start_count,
            });
        }
    }

    pub(super) fn tick_requests(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        for expired in self.admission.expire(elapsed) {
            self.refuse_expired_or_shed(elapsed, &expired, effects);
        }
    }

    /// Refuses all queued requests, with the reason why no request is accepted now.
    pub(super) fn refuse_queued(&mut self, elapsed: Duration, effects: &mut Vec<Effect>) {
        let refusal = self.refusal(elapsed).unwrap_or(Refusal::NotReady);
        for queued in self.admission.clear_queue() {
            self.refuse_queued_request(elapsed, &queued, refusal, effects);
        }
    }

    /// Refuses a request that has left the queue.
    pub(super) fn refuse_queued_request(
        &mut self,
        elapsed: Duration,
        queued: &OfferedRequest,
        refusal: Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = Outcome::NotRun(refusal);
        self.at_most_once
            .record_outcome(elapsed, &queued.guard, outcome);
        refuse(queued, outcome, effects);
    }

    pub(super) fn withdraw(&mut self, elapsed: Duration, token: u64, effects: &mut Vec<Effect>) {
        match self.admission.withdraw(token) {
            Some(queued) => self.refuse_queued_request(elapsed, &queued, Refusal::Expired, effects),
            // A request that may run at most once is not cancelled, so that its outcome is known.
            None if self.admission.running_guard(token) == Some(&Guard::Repeatable) => {
                effects.push(Effect::Cancel(token));
            }
            None => {}
        }
    }

    pub(super) fn first_byte(&mut self, elapsed: Duration, token: u64) {
        self.admission.first_byte(elapsed, token);
    }

    pub(super) fn handle_end(
        &mut self,
        elapsed: Duration,
        token: u64,
        result: RunResult,
        effects: &mut Vec<Effect>,
    ) {
        let is_success =
            matches!(result, RunResult::Answered { status } if status < FIRST_SERVER_ERROR);
        let Some(running) = self.admission.end(elapsed, token, is_success) else {
            return;
        };
        let outcome = result.outcome();
        self.at_most_once
            .record_outcome(elapsed, &running.offered.guard, outcome);
        effects.push(Effect::Record(Decision::End {
            request: running.offered.request,
            outcome,
        }));
        match result {
            RunResult::ConnectionLost => {
                self.handle_crash(elapsed, &running.offered, running.start_count, effects)
            }
            RunResult::NotSent | RunResult::Declined => self.admission.enter_cold_start(elapsed),
            RunResult::Answered { .. }
                if is_success
                    && self
                        .suspects
                        .clear_request(elapsed, running.offered.fingerprint) =>
            {
                self.send_heartbeats(effects);
            }
            _ => {}
        }
    }

    /// Treats a broken connection as a crash of the target, even if its reports do not show one.
    fn handle_crash(
        &mut self,
        elapsed: Duration,
        offered: &OfferedRequest,
        start_count: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.admission.enter_cold_start(elapsed);
        let crash = Crash::of_request(offered.fingerprint, self.instance.clone(), start_count);
        self.add_crashes(elapsed, &[crash], effects);
    }

    /// Refuses a queued request that has expired or was shed.
    fn refuse_expired_or_shed(
        &mut self,
        elapsed: Duration,
        queued: &OfferedRequest,
        effects: &mut Vec<Effect>,
    ) {
        let refusal = if queued.deadline <= elapsed {
            Refusal::Expired
        } else {
            self.admission.busy_refusal(elapsed)
        };
        self.refuse_queued_request(elapsed, queued, refusal, effects);
    }
}

fn refuse(offered: &OfferedRequest, outcome: Outcome, effects: &mut Vec<Effect>) {
    if let Outcome::NotRun(refusal) = outcome {
        effects.push(Effect::Record(Decision::Refuse {
            request: offered.request,
            refusal,
        }));
    }
    effects.push(Effect::Refuse(offered.token, outcome));
}
