//! The entry's state and its handling of everything but requests.

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
    Instances,
    Sheet, //
};
use utils::clock::Now;
use utils::digest::Digest;
use utils::Name;

use super::calls::Call;
use super::choose::Ramps;
use super::hints::Hints;
use super::ring::Ring;
use super::{
    Effect,
    Event, //
};
use crate::budget::{
    Budget,
    BudgetOptions, //
};
use crate::follow::{
    self,
    Follow,
    Intervals, //
};
use crate::suspects::Suspects;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Following the sheet.
    pub intervals: Intervals,
    /// Retries.
    pub budget: BudgetOptions,
    /// How long a data centre takes to get its full share when it returns.
    pub ramp: Duration,
    /// Targets probed for each request.
    pub probes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            intervals: Intervals::default(),
            budget: BudgetOptions::default(),
            ramp: Duration::from_secs(20),
            probes: 2,
        }
    }
}

/// The state of an entry.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) options: Options,
    pub(super) follow: Follow,
    pub(super) rings: BTreeMap<Name, Ring>,
    pub(super) ramps: Ramps,
    pub(super) hints: Hints,
    pub(super) budget: Budget,
    pub(super) suspects: Suspects,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) rng: Pcg64Mcg,
    pub(super) draining: bool,
    exited: bool,
    last_sheet: Option<Arc<Sheet>>,
}

impl State {
    /// Makes the state of the entry process `incarnation` on the instance `me`.
    pub fn new(me: Name, data_centre: Name, incarnation: u64, options: Options) -> Self {
        Self {
            follow: Follow::new(me, data_centre, options.intervals.clone(), incarnation),
            rings: BTreeMap::new(),
            ramps: Ramps::default(),
            hints: Hints::default(),
            budget: Budget::new(options.budget.clone()),
            suspects: Suspects::default(),
            calls: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(incarnation),
            draining: false,
            exited: false,
            last_sheet: None,
            options,
        }
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        let at = now.elapsed;
        match event {
            Event::Tick => self.tick(at, &mut out),
            Event::Follow(event) => self.follow(at, event, &mut out),
            Event::Heartbeat(_, news) => self.heartbeat(at, &news, &mut out),
            Event::Silent(name) => self.follow(at, follow::Event::Silent(name), &mut out),
            Event::Arrive(arrived) => self.arrive(at, arrived, &mut out),
            Event::Committed { token, resumable } => self.committed(at, token, resumable),
            Event::NotSent(token) => self.not_sent(at, token, &mut out),
            Event::Outcome {
                token,
                outcome,
                start,
            } => self.outcome(at, token, outcome, start, &mut out),
            Event::Gone(token) => self.gone(at, token, &mut out),
            Event::Status(name, status) => self.status(at, &name, status),
            Event::Drain => self.drain(&mut out),
        }
        if self.draining && self.calls.is_empty() && !self.exited {
            self.exited = true;
            out.push(Effect::Exit);
        }
        out
    }

    /// The follower of the sheet.
    pub fn follower(&self) -> &Follow {
        &self.follow
    }

    /// The requests that may crash targets.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// What is believed of targets.
    pub fn hints(&self) -> &Hints {
        &self.hints
    }

    /// Requests under way.
    pub fn calls_running(&self) -> usize {
        self.calls.len()
    }

    /// The ring of a model or service.
    pub fn ring(&self, name: &str) -> Option<&Ring> {
        self.rings.get(name)
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.draining && self.follow.is_settled()
    }

    /// What this entry tells its neighbours.
    pub fn news(&self, now: Duration) -> Heartbeat {
        Heartbeat {
            report: None,
            crashes: self.suspects.news(now),
        }
    }

    fn tick(&mut self, at: Duration, out: &mut Vec<Effect>) {
        self.follow(at, follow::Event::Tick, out);
        self.hints.expire(at);
        self.suspects.expire(at);
        self.ramps.expire(at, self.options.ramp);
        self.retry_waiting(at, out);
        self.expire_calls(at, out);
    }

    fn heartbeat(&mut self, at: Duration, news: &Heartbeat, out: &mut Vec<Effect>) {
        self.note_crashes(at, &news.crashes, out);
    }

    /// Tells neighbours that a suspect ran to its end.
    pub(super) fn clear_suspect(
        &mut self,
        at: Duration,
        fingerprint: Fingerprint,
        out: &mut Vec<Effect>,
    ) {
        if self.suspects.clear(at, fingerprint) {
            out.extend(self.follow.beats().map(Effect::Follow));
        }
    }

    /// Takes crashes and passes news of them on at once, since the caller may come to any entry.
    pub(super) fn note_crashes(&mut self, at: Duration, crashes: &[Crash], out: &mut Vec<Effect>) {
        let mut is_news = false;
        for crash in crashes {
            if !self.suspects.note(at, crash) {
                continue;
            }
            is_news = true;
            out.push(Effect::Record(Decision::Suspect {
                fingerprint: crash.fingerprint,
                target: crash.target.clone(),
                quarantined: self.suspects.is_quarantined(crash.fingerprint),
            }));
        }
        if is_news {
            out.extend(self.follow.beats().map(Effect::Follow));
        }
    }

    fn status(&mut self, at: Duration, name: &Name, status: Option<TargetStatus>) {
        match status {
            Some(status) => self.hints.report(at, name, status),
            None => self.hints.unreachable(at, name),
        }
    }

    fn follow(&mut self, at: Duration, event: follow::Event, out: &mut Vec<Effect>) {
        for effect in self.follow.step(at, event) {
            match effect {
                follow::Effect::Adopted(sheet, digest) => self.adopt(at, &sheet, digest, out),
                follow::Effect::Refused(e) => out.push(Effect::Record(Decision::RefuseSheet {
                    cause: e.to_string(),
                })),
                follow::Effect::Resumed(gap) => out.push(Effect::Record(Decision::Resume {
                    paused_ms: u64::try_from(gap.as_millis()).unwrap_or(u64::MAX),
                })),
                other => out.push(Effect::Follow(other)),
            }
        }
    }

    fn adopt(&mut self, at: Duration, sheet: &Arc<Sheet>, digest: Digest, out: &mut Vec<Effect>) {
        out.push(Effect::Record(Decision::Adopt { digest }));
        if let Some(last) = &self.last_sheet {
            for name in sheet.data_centres.keys() {
                if sheet.is_in(name) && !last.is_in(name) {
                    self.ramps.start(at, name);
                }
            }
        }
        self.rebuild_rings(sheet);
        self.hints.wake();
        self.last_sheet = Some(sheet.clone());
    }

    /// Builds the rings anew whose targets changed; sorting all of them takes long in a large fleet.
    fn rebuild_rings(&mut self, sheet: &Sheet) {
        let last = self.last_sheet.as_deref();
        let same_service = last.is_some_and(|last| {
            last.data_centres == sheet.data_centres && last.leaving == sheet.leaving
        });
        let mut old = std::mem::take(&mut self.rings);
        for (name, instances) in workloads(sheet) {
            let before = last.and_then(|last| workloads(last).find(|(n, _)| *n == name));
            let same = same_service && before.is_some_and(|(_, i)| i == instances);
            let ring = match old.remove(name) {
                Some(ring) if same => ring,
                _ => Ring::new(sheet, instances),
            };
            self.rings.insert(name.clone(), ring);
        }
    }

    fn drain(&mut self, out: &mut Vec<Effect>) {
        if !self.draining {
            self.draining = true;
            out.push(Effect::Record(Decision::Drain));
        }
    }
}

/// Models and services with their instances.
fn workloads(sheet: &Sheet) -> impl Iterator<Item = (&Name, &Instances)> {
    let models = sheet.models.iter().map(|(n, m)| (n, &m.instances));
    let services = sheet.services.iter().map(|(n, s)| (n, &s.instances));
    models.chain(services)
}
