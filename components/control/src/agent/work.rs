//! The agent's handling of requests.

use std::time::Duration;

use protocol::{
    Crash,
    Guard,
    Outcome,
    Refusal, //
};
use record::Decision;
use sheet::Service;
use utils::clock::Now;

use super::admission::Offered;
use super::state::State;
use super::Effect;

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The target answered whole.
    Answered {
        /// The target's status.
        status: u16,
    },
    /// Nothing reached the target, since whoever asked had left.
    NotStarted,
    /// Nothing reached the target, since no connection could be made.
    NotSent,
    /// The target declined before it started, since it cannot serve now.
    Declined,
    /// The target sent the answer to another request.
    Crossed,
    /// The connection broke after the request went out.
    Lost,
    /// The caller went away and the target was told to stop.
    Cancelled,
    /// The deadline passed while it ran.
    TimedOut,
}

impl Ended {
    /// What came of the request.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered { status } => Outcome::Ran { status },
            Self::NotStarted | Self::NotSent | Self::Declined => Outcome::NotRun(Refusal::NotReady),
            Self::Lost => Outcome::Unknown { crashed: true },
            Self::Crossed | Self::Cancelled | Self::TimedOut => Outcome::Unknown { crashed: false },
        }
    }
}

/// The first status that tells of a fault of the target.
const FIRST_SERVER_ERROR: u16 = 500;

impl State {
    /// Why no request at all is taken now.
    pub(super) fn refusal(&self, now: Duration) -> Option<Refusal> {
        let Some(sheet) = self.follow.sheet() else {
            return Some(Refusal::NotReady);
        };
        if self.draining {
            return Some(Refusal::Draining);
        }
        if !self.follow.is_settled() {
            return Some(Refusal::Resuming);
        }
        let Some(placed) = &self.placed else {
            return Some(Refusal::WrongTarget);
        };
        if !sheet.is_in(&placed.data_centre) {
            return Some(Refusal::DataCentreOut);
        }
        let listed = self.follow.members().get(&self.me);
        let leaves = listed.is_some_and(|i| i.state != protocol::InstanceState::Live);
        if leaves || sheet.is_leaving(&self.me) {
            return Some(Refusal::Leaving);
        }
        let ready = if placed.is_model {
            self.rollout.serving().is_some()
        } else {
            self.rollout.engine().is_some()
        };
        if !ready || self.admission.limit(now) == 0 {
            return Some(Refusal::NotReady);
        }
        None
    }

    pub(super) fn offer(&mut self, now: Now, offered: Offered, out: &mut Vec<Effect>) {
        match self.check_offer(now, &offered) {
            Err(outcome) => refuse(&offered, outcome, out),
            Ok(share) => {
                let suspect = self.is_suspect(&offered);
                let offered = Offered { suspect, ..offered };
                // A key that waits is taken, so that the same key is not let in beside it.
                self.once.begin(now.elapsed, &offered.guard);
                if let Some(shed) = self.admission.enqueue(now.elapsed, offered, share) {
                    self.give_up(now.elapsed, &shed, out);
                }
            }
        }
    }

    /// Returns the share of the caller's team.
    fn check_offer(&self, now: Now, offered: &Offered) -> Result<u32, Outcome> {
        let at = now.elapsed;
        let sheet = self.follow.sheet();
        let service = self.service(offered);
        // What is known of an earlier sending is told even by a process that takes nothing new, and
        // a process that has no sheet yet must not say of a ticket from before that it has not run.
        self.once
            .check(now, &offered.guard, sheet.map(|sheet| &**sheet), service)?;
        let Some(sheet) = sheet else {
            return Err(Outcome::NotRun(Refusal::NotReady));
        };
        let placed_here = self.placed.as_ref().is_some_and(|p| p.name == offered.work);
        let refusal = self.refusal(at);
        if let Some(refusal) = refusal {
            return Err(Outcome::NotRun(refusal));
        }
        if !placed_here {
            return Err(Outcome::NotRun(Refusal::WrongTarget));
        }
        if offered.version.is_some() && offered.version.as_ref() != self.rollout.serving() {
            return Err(Outcome::NotRun(Refusal::OtherVersion));
        }
        if offered.deadline <= at {
            return Err(Outcome::NotRun(Refusal::Expired));
        }
        if self.suspects.is_quarantined(offered.fingerprint) {
            return Err(Outcome::NotRun(Refusal::Quarantined));
        }
        if self.is_suspect(offered) && self.admission.is_full_of_suspects() {
            return Err(Outcome::NotRun(Refusal::SuspectRunning));
        }
        let share = sheet.teams.get(&offered.team).map_or(1, |team| team.share);
        Ok(share)
    }

    fn is_suspect(&self, offered: &Offered) -> bool {
        offered.suspect || self.suspects.is_suspect(offered.fingerprint)
    }

    fn service(&self, offered: &Offered) -> Option<&Service> {
        self.follow.sheet()?.services.get(&offered.work)
    }

    /// Starts as many waiting requests as there is room for.
    pub(super) fn start_waiting(&mut self, at: Duration, out: &mut Vec<Effect>) {
        if self.admission.queued() == 0 || self.refusal(at).is_some() {
            return;
        }
        let start = self.rollout.engine().map_or(0, |engine| engine.start);
        let limit = self.admission.limit(at);
        let version = self.rollout.serving().cloned();
        while let Some(started) = self.admission.start(at, start) {
            let offered = started.offered.clone();
            out.push(Effect::Record(Decision::Run {
                request: offered.request,
                work: offered.work,
                team: offered.team,
                guard: offered.guard,
                fingerprint: offered.fingerprint,
                version: version.clone(),
                running: self.admission.running(),
                limit,
            }));
            out.push(Effect::Run {
                token: offered.token,
                version: version.clone(),
                start,
            });
        }
    }

    pub(super) fn tick_requests(&mut self, at: Duration, out: &mut Vec<Effect>) {
        for expired in self.admission.expire(at) {
            self.give_up(at, &expired, out);
        }
    }

    /// Refuses everything that waits, with the reason why nothing is taken.
    pub(super) fn refuse_waiting(&mut self, at: Duration, out: &mut Vec<Effect>) {
        let refusal = self.refusal(at).unwrap_or(Refusal::NotReady);
        for waiting in self.admission.clear_queue() {
            let outcome = Outcome::NotRun(refusal);
            self.once.end(at, &waiting.guard, outcome);
            refuse(&waiting, outcome, out);
        }
    }

    pub(super) fn withdraw(&mut self, at: Duration, token: u64, out: &mut Vec<Effect>) {
        match self.admission.withdraw(token) {
            Some(waiting) => {
                let outcome = Outcome::NotRun(Refusal::Expired);
                self.once.end(at, &waiting.guard, outcome);
                refuse(&waiting, outcome, out);
            }
            // What may run once only is let run to its end, so that its outcome is known.
            None if self.admission.running_guard(token) == Some(&Guard::Repeatable) => {
                out.push(Effect::Cancel(token));
            }
            None => {}
        }
    }

    pub(super) fn first_byte(&mut self, at: Duration, token: u64) {
        self.admission.first_byte(at, token);
    }

    pub(super) fn ended(&mut self, at: Duration, token: u64, ended: Ended, out: &mut Vec<Effect>) {
        let good = matches!(ended, Ended::Answered { status } if status < FIRST_SERVER_ERROR);
        let Some(running) = self.admission.end(at, token, good) else {
            return;
        };
        let outcome = ended.outcome();
        self.once.end(at, &running.offered.guard, outcome);
        out.push(Effect::Record(Decision::End {
            request: running.offered.request,
            outcome,
        }));
        match ended {
            Ended::Lost => self.crashed(at, &running.offered, running.start, out),
            Ended::NotSent | Ended::Declined => self.admission.turn_cold(at),
            Ended::Answered { .. }
                if good && self.suspects.clear(at, running.offered.fingerprint) =>
            {
                self.tell_neighbours(out);
            }
            _ => {}
        }
    }

    /// A broken connection means that the target crashed, whatever its reports still say.
    fn crashed(&mut self, at: Duration, offered: &Offered, start: u64, out: &mut Vec<Effect>) {
        self.admission.turn_cold(at);
        let crash = Crash {
            fingerprint: offered.fingerprint,
            target: self.me.clone(),
            start,
            cleared: false,
        };
        if !self.suspects.note(at, &crash) {
            return;
        }
        self.record_suspect(&crash, out);
        self.tell_neighbours(out);
    }

    /// Refuses a request that waited too long or was shed.
    fn give_up(&mut self, at: Duration, waiting: &Offered, out: &mut Vec<Effect>) {
        let refusal = if waiting.deadline <= at {
            Refusal::Expired
        } else {
            self.admission.busy(at)
        };
        let outcome = Outcome::NotRun(refusal);
        self.once.end(at, &waiting.guard, outcome);
        refuse(waiting, outcome, out);
    }
}

fn refuse(offered: &Offered, outcome: Outcome, out: &mut Vec<Effect>) {
    if let Outcome::NotRun(refusal) = outcome {
        out.push(Effect::Record(Decision::Refuse {
            request: offered.request,
            refusal,
        }));
    }
    out.push(Effect::Refuse(offered.token, outcome));
}
