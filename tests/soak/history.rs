//! When processes, links and the configuration were disturbed or changed in a run.

use std::time::Duration;

use tokio::time::Instant;

use crate::configuration::Configuration;

/// How long a superseded configuration may still be in force at an entry without a sound way to the store. After
/// that the entry refuses requests with keys.
const SUPERSEDED_TIME: Duration = Duration::from_secs(7);

/// A time in which a process or link was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The number of the entry or of the target behind the link.
    pub subject: usize,
    pub began_at: Instant,
    /// `None` while it lasts.
    pub ended_at: Option<Instant>,
}

/// The disturbances of all entries, or of all links.
#[derive(Clone, Debug, Default)]
pub struct Disturbances(Vec<Disturbance>);

impl Disturbances {
    /// Begins a disturbance, unless one lasts already.
    pub fn begin(&mut self, subject: usize) {
        if self.lasting(subject).is_none() {
            self.0.push(Disturbance {
                subject,
                began_at: Instant::now(),
                ended_at: None,
            });
        }
    }

    pub fn end(&mut self, subject: usize) {
        if let Some(disturbance) = self.lasting(subject) {
            disturbance.ended_at = Some(Instant::now());
        }
    }

    fn lasting(&mut self, subject: usize) -> Option<&mut Disturbance> {
        let mut all = self.0.iter_mut();
        all.find(|one| one.subject == subject && one.ended_at.is_none())
    }

    /// Whether the entry or link was disturbed at some moment between two.
    pub fn overlap(&self, subject: usize, from: Instant, until: Instant) -> bool {
        let mut of_subject = self.0.iter().filter(|one| one.subject == subject);
        of_subject
            .any(|one| one.began_at <= until && one.ended_at.is_none_or(|ended| ended >= from))
    }
}

/// An event at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEvent {
    /// It got SIGTERM.
    Stop,
    /// It was started again.
    Start,
    /// It got SIGHUP.
    Reload,
}

/// What happened in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Pauses, kills, halts and starvation of entries.
    pub entries: Disturbances,
    /// Links to targets that lose bytes or reset connections, by the number of the target.
    pub links: Disturbances,
    pub events: Vec<(usize, EntryEvent, Instant)>,
    /// The configurations that were published.
    pub configurations: Vec<(Instant, Configuration)>,
}

impl History {
    pub fn add_event(&mut self, entry: usize, event: EntryEvent) {
        self.events.push((entry, event, Instant::now()));
    }

    /// When an event happened at an entry.
    pub fn times_of(&self, entry: usize, event: EntryEvent) -> impl Iterator<Item = Instant> + '_ {
        let of_entry = move |(at_entry, what, at): &(usize, EntryEvent, Instant)| {
            (*at_entry == entry && *what == event).then_some(*at)
        };
        self.events.iter().filter_map(of_entry)
    }

    /// The shortest timeout that an entry may have had for a request to this path.
    pub fn shortest_timeout(&self, path: &str, sent: Instant, ended: Instant) -> Duration {
        let superseded_at = |number: usize| {
            let next = self.configurations.get(number + 1);
            next.map(|(at, _)| *at)
        };
        let configurations = self.configurations.iter().enumerate();
        let in_force = configurations.filter(|(number, (published_at, _))| {
            let superseded_at = superseded_at(*number);
            *published_at <= ended && superseded_at.is_none_or(|at| at + SUPERSEDED_TIME >= sent)
        });
        let timeouts = in_force.map(|(_, (_, configuration))| configuration.route_timeout(path));
        timeouts.min().unwrap()
    }
}
