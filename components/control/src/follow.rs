//! Following the sheet and the list of instances: from the platform and from neighbours.
//!
//! A few watchers in each data centre hold a watch at the configuration service. Everyone else
//! learns from neighbours: every message says which version its sender holds, and the side that
//! is behind asks for what it lacks. Calls to the service so grow with the data centres, not with
//! the processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use protocol::{
    Instance,
    News, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use sheet::{
    Acceptance,
    Offer,
    Sheet,
    SheetError, //
};
use utils::digest::Digest;
use utils::{
    rank,
    Name, //
};

use crate::members::Members;

/// Intervals of following.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// How often each neighbour gets a heartbeat.
    pub heartbeat: Duration,
    /// How often a watcher reads the list of instances.
    pub list: Duration,
    /// How often a process that hears from no neighbour reads the service itself.
    pub overdue_read: Duration,
    /// How long a process compares versions with neighbours before it goes on without them.
    pub settle: Duration,
    /// A step that comes this late means that the process was paused.
    pub pause: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            list: Duration::from_secs(2),
            overdue_read: Duration::from_secs(30),
            settle: Duration::from_secs(3),
            pause: Duration::from_secs(2),
        }
    }
}

/// Watchers in each data centre.
const WATCHERS: usize = 2;

/// Ring steps on each side among the processes of the data centre.
const NEAR_STEPS: u32 = 2;

/// The key of the ring over all entries, which must be the same everywhere.
const ENTRY_RING: u64 = 0;

/// Neighbours in other data centres.
const FAR_NEIGHBOURS: usize = 2;

/// How long an unanswered question is waited for before it is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// The first wait after the service failed.
const SERVICE_BACKOFF: Duration = Duration::from_millis(250);

/// The longest wait after the service failed.
const LONGEST_SERVICE_BACKOFF: Duration = Duration::from_secs(10);

/// What came of a read or watch of the index at the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The text of the index.
    Index(Bytes),
    /// A watch ended without news.
    Unchanged,
    /// The service could not be reached or did not answer.
    Failed,
}

/// What reaches a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The service answered a read or watch of the index, or could not.
    Index(Answer),
    /// The service answered a read of a section, or could not.
    Section(Digest, Option<Bytes>),
    /// The platform answered a read of the list, or could not.
    List(Option<News>),
    /// A message of another process came, with its versions.
    Heard {
        /// The sender.
        from: Name,
        /// The version of its sheet.
        sheet: u64,
        /// The revision of its list.
        list: u64,
    },
    /// Another process sent its index, or has none.
    PeerIndex(Name, Option<Bytes>),
    /// Another process sent a section, or does not hold it.
    PeerSection(Digest, Option<Bytes>),
    /// Another process sent changes of the list.
    PeerList(News),
    /// Another process did not answer.
    Silent(Name),
}

/// What a follower asks to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Wait at the service for an index with another digest than the last one seen there.
    Watch(Option<Digest>),
    /// Read the index at the service.
    ReadIndex,
    /// Read a section at the service.
    ReadSection(Digest),
    /// Read the changes of the list after a revision at the platform.
    ReadList(u64),
    /// Ask a neighbour for its index.
    AskIndex(Name),
    /// Ask a neighbour for a section.
    AskSection(Name, Digest),
    /// Ask a neighbour for changes of the list after a revision.
    AskList(Name, u64),
    /// Exchange news with a neighbour.
    Heartbeat(Name),
    /// A sheet is in force.
    Adopted(Arc<Sheet>, Digest),
    /// A sheet is refused.
    Refused(SheetError),
    /// The list changed.
    ListChanged,
    /// The process was paused for this long.
    Resumed(Duration),
}

/// The state of a follower.
#[derive(Clone, Debug)]
pub struct Follow {
    me: Name,
    data_centre: Name,
    intervals: Intervals,
    acceptance: Acceptance,
    members: Members,
    neighbours: Vec<Name>,
    rng: Pcg64Mcg,
    last_step: Option<Duration>,
    heartbeat_at: Duration,
    list_at: Duration,
    read_at: Duration,
    watching: bool,
    seen: Option<Digest>,
    service_failures: u32,
    asked: BTreeMap<Question, Asked>,
    heard_at: Option<Duration>,
    settling_since: Option<Duration>,
    answers: usize,
    service_answered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Question {
    Index,
    Section(Digest),
    List,
}

/// A question that was not answered yet.
#[derive(Clone, Debug)]
struct Asked {
    at: Duration,
    /// The process that was asked, or nothing for the service.
    of: Option<Name>,
}

impl Follow {
    /// Makes the state of the process on instance `me`.
    pub fn new(me: Name, data_centre: Name, intervals: Intervals, seed: u64) -> Self {
        Self {
            me,
            data_centre,
            intervals,
            acceptance: Acceptance::default(),
            members: Members::default(),
            neighbours: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_step: None,
            heartbeat_at: Duration::ZERO,
            list_at: Duration::ZERO,
            read_at: Duration::ZERO,
            watching: false,
            seen: None,
            service_failures: 0,
            asked: BTreeMap::new(),
            heard_at: None,
            settling_since: None,
            answers: 0,
            service_answered: false,
        }
    }

    /// The sheet in force.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.acceptance.sheet()
    }

    /// The versions taken and refused.
    pub fn acceptance(&self) -> &Acceptance {
        &self.acceptance
    }

    /// The list of instances.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The processes that this one exchanges news with.
    pub fn neighbours(&self) -> &[Name] {
        &self.neighbours
    }

    /// A heartbeat to each neighbour.
    pub fn beats(&self) -> impl Iterator<Item = Effect> + '_ {
        self.neighbours.iter().cloned().map(Effect::Heartbeat)
    }

    /// Whether the process has compared versions since it started or woke.
    pub fn is_settled(&self) -> bool {
        self.last_step.is_some() && self.settling_since.is_none() && self.sheet().is_some()
    }

    /// Whether this process watches the service for its data centre.
    pub fn is_watcher(&self) -> bool {
        let near = self
            .members
            .present()
            .filter(|i| i.data_centre == self.data_centre);
        let key = rank::key(self.data_centre.as_bytes());
        rank::top(key, near.map(|i| &i.name), WATCHERS).contains(&self.me)
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.notice_pause(now, &mut effects);
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Index(answer) => self.service_index(now, &answer, &mut effects),
            Event::Section(digest, text) => {
                self.asked.remove(&Question::Section(digest));
                self.service_result(now, text.is_some());
                self.take_section(text.as_deref(), &mut effects);
            }
            Event::List(news) => {
                self.service_result(now, news.is_some());
                self.take_list(news.unwrap_or_default(), &mut effects);
            }
            Event::Heard { from, sheet, list } => {
                self.heard(now, &from, sheet, list, &mut effects);
            }
            Event::PeerIndex(from, text) => {
                self.asked.remove(&Question::Index);
                self.take_index(text.as_deref(), &mut effects);
                // Who has the index in force has its sections too.
                self.ask_missing_of(now, &from, &mut effects);
            }
            Event::PeerSection(digest, text) => {
                self.asked.remove(&Question::Section(digest));
                self.take_section(text.as_deref(), &mut effects);
            }
            Event::PeerList(news) => {
                self.asked.remove(&Question::List);
                self.take_list(news, &mut effects);
            }
            Event::Silent(name) => {
                let silent = |asked: &Asked| asked.of.as_ref() == Some(&name);
                self.asked.retain(|_, asked| !silent(asked));
            }
        }
        self.settle(now);
        effects
    }

    /// A clock that jumped between two steps means that facts held here may be old.
    fn notice_pause(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let gap = self.last_step.map(|last| now.saturating_sub(last));
        if self.last_step.is_none() {
            self.start_settling(now);
        } else if let Some(gap) = gap.filter(|gap| *gap >= self.intervals.pause) {
            self.start_settling(now);
            effects.push(Effect::Resumed(gap));
        }
        self.last_step = Some(now);
    }

    fn start_settling(&mut self, now: Duration) {
        self.settling_since = Some(now);
        self.answers = 0;
        self.service_answered = false;
        self.heartbeat_at = now;
        self.asked.clear();
    }

    /// Settling ends when neighbours have been heard, or by a time limit: requests never stop
    /// because nobody answers.
    fn settle(&mut self, now: Duration) {
        let Some(since) = self.settling_since else {
            return;
        };
        let enough = self.neighbours.len().div_ceil(2).max(1);
        let heard = self.answers >= enough || (self.neighbours.is_empty() && self.service_answered);
        let collected = self.acceptance.missing().is_empty();
        let waited = now.saturating_sub(since) >= self.intervals.settle;
        if waited || (heard && collected) {
            self.settling_since = None;
        }
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_watcher = self.is_watcher();
        let knows_list = self.members.revision() > 0;
        if now >= self.list_at && (is_watcher || !knows_list || self.is_overdue(now)) {
            self.list_at = now + self.jittered(self.intervals.list);
            effects.push(Effect::ReadList(self.members.revision()));
        }
        if now >= self.read_at && !self.watching {
            if is_watcher {
                self.watching = true;
                effects.push(Effect::Watch(self.seen));
            } else if self.is_overdue(now) || (knows_list && self.sheet().is_none()) {
                self.read_at = now + self.jittered(self.intervals.overdue_read);
                effects.push(Effect::ReadIndex);
            }
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.intervals.heartbeat;
            effects.extend(self.beats());
        }
        self.ask_missing(now, effects);
    }

    /// Whether no neighbour has been heard for long.
    fn is_overdue(&self, now: Duration) -> bool {
        let heard = self.heard_at.unwrap_or(Duration::ZERO);
        now.saturating_sub(heard) >= self.intervals.heartbeat * 10
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn service_result(&mut self, now: Duration, answered: bool) {
        if answered {
            self.service_failures = 0;
            self.service_answered = true;
            return;
        }
        let backoff = SERVICE_BACKOFF * (1 << self.service_failures.min(6));
        self.service_failures += 1;
        self.read_at = now + self.jittered(backoff.min(LONGEST_SERVICE_BACKOFF));
    }

    fn service_index(&mut self, now: Duration, answer: &Answer, effects: &mut Vec<Effect>) {
        self.watching = false;
        self.service_result(now, *answer != Answer::Failed);
        if let Answer::Index(text) = answer {
            // Not the version: a refused index would come back at once, again and again.
            self.seen = Some(Digest::of(text));
            self.take_index(Some(text), effects);
        }
        self.ask_missing(now, effects);
    }

    fn heard(&mut self, now: Duration, from: &Name, sheet: u64, list: u64, out: &mut Vec<Effect>) {
        self.heard_at = Some(now);
        self.answers += 1;
        if sheet > self.acceptance.version() && self.may_ask(now, Question::Index, Some(from)) {
            out.push(Effect::AskIndex(from.clone()));
        }
        if list > self.members.revision() && self.may_ask(now, Question::List, Some(from)) {
            out.push(Effect::AskList(from.clone(), self.members.revision()));
        }
        if sheet >= self.acceptance.version() {
            self.ask_missing_of(now, from, out);
        }
    }

    /// Whether `question` is due; notes that it is asked.
    fn may_ask(&mut self, now: Duration, question: Question, of: Option<&Name>) -> bool {
        let due = self
            .asked
            .get(&question)
            .is_none_or(|asked| now.saturating_sub(asked.at) >= ASK_AGAIN);
        if due {
            let of = of.cloned();
            self.asked.insert(question, Asked { at: now, of });
        }
        due
    }

    /// Asks for missing sections: watchers at the service, the others at a neighbour.
    fn ask_missing(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let from_service = self.is_watcher() || self.neighbours.is_empty();
        for digest in self.acceptance.missing() {
            let question = Question::Section(digest);
            let asked_before = self.asked.contains_key(&question);
            // A second try goes to the other side, in case the first does not have it.
            if from_service != asked_before || self.neighbours.is_empty() {
                if self.may_ask(now, question, None) {
                    effects.push(Effect::ReadSection(digest));
                }
                continue;
            }
            let at = self.rng.random_range(0..self.neighbours.len());
            let name = self.neighbours[at].clone();
            if self.may_ask(now, question, Some(&name)) {
                effects.push(Effect::AskSection(name, digest));
            }
        }
    }

    fn ask_missing_of(&mut self, now: Duration, from: &Name, effects: &mut Vec<Effect>) {
        for digest in self.acceptance.missing() {
            if self.may_ask(now, Question::Section(digest), Some(from)) {
                effects.push(Effect::AskSection(from.clone(), digest));
            }
        }
    }

    fn take_index(&mut self, text: Option<&[u8]>, effects: &mut Vec<Effect>) {
        if let Some(text) = text {
            let offer = self.acceptance.offer_index(text);
            self.offered(offer, effects);
        }
    }

    fn take_section(&mut self, text: Option<&[u8]>, effects: &mut Vec<Effect>) {
        if let Some(text) = text {
            let offer = self.acceptance.offer_section(text);
            self.offered(offer, effects);
        }
    }

    fn offered(&mut self, offer: Offer, effects: &mut Vec<Effect>) {
        match offer {
            Offer::Accepted(sheet) => {
                let digest = self.acceptance.digest().unwrap_or(Digest::ZERO);
                effects.push(Effect::Adopted(sheet, digest));
                // Neighbours learn at once and not with the next heartbeat.
                effects.extend(self.beats());
            }
            Offer::Refused(e) => effects.push(Effect::Refused(e)),
            Offer::Known | Offer::Older | Offer::Missing(_) => {}
        }
    }

    fn take_list(&mut self, news: News, effects: &mut Vec<Effect>) {
        if !self.members.apply(news) {
            return;
        }
        self.neighbours = self.choose_neighbours();
        effects.push(Effect::ListChanged);
    }

    /// Processes of the data centre on a ring, a few elsewhere, and entries among themselves.
    fn choose_neighbours(&self) -> Vec<Name> {
        let key = rank::key(self.data_centre.as_bytes());
        let near = |i: &&Instance| i.data_centre == self.data_centre;
        let ring = self.members.present().filter(near).map(|i| &i.name);
        let mut chosen = rank::ring_neighbours(key, ring, &self.me, NEAR_STEPS);
        let far = self.members.present().filter(|i| !near(i)).map(|i| &i.name);
        let far = rank::top(rank::key(self.me.as_bytes()), far, FAR_NEIGHBOURS);
        let entries = self.members.entries().map(|i| &i.name);
        let entries = rank::ring_neighbours(ENTRY_RING, entries, &self.me, NEAR_STEPS);
        for name in far.into_iter().chain(entries) {
            if !chosen.contains(&name) {
                chosen.push(name);
            }
        }
        chosen
    }
}
