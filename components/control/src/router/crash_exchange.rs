//! Exchanges crashes of targets with other processes.
//!
//! Callers send a request that crashes targets again, to any process. Processes do not know each
//! other, but all of them call the agents of model engines. So each process reports crashes to a few
//! agents and learns from every agent what others reported. While it reaches no agent, it exchanges
//! them with the few entries whose addresses all processes know.

use std::collections::BTreeSet;
use std::time::Duration;

use protocol::Crash;
use utils::{
    rank,
    Name, //
};

use super::state::State;

/// The number of agents that a process reports crashes to. They are in different data centres as
/// far as possible, so that the loss of one data centre leaves others.
const REPORTED_AGENTS: usize = 3;

/// A process that passes on crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashPeer {
    /// The agent of this target.
    Agent(Name),
    /// Another entry, which is asked only while no agent can be reached.
    Entry,
}

/// Up to where this process and a peer know each other's crashes.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashExchange {
    /// The peer's start to which the revisions belong, if it has replied.
    incarnation: Option<u64>,
    /// The peer's revision that this process has received.
    received: u64,
    /// The own revision that the peer has received.
    reported: u64,
}

impl CrashExchange {
    /// The peer's revision up to which this process knows the peer's crashes.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The crashes that are to be reported to the peer now.
    pub fn crashes_to_report(&self, now: Duration, state: &State, peer: &CrashPeer) -> Vec<Crash> {
        state.crashes_to_report(now, peer, self.reported)
    }

    /// Notes a reply, which says what the peer knew at `revision`. `reported` is the own revision
    /// whose crashes the request reported, if it reported any. A peer that has restarted knows
    /// nothing, so everything is exchanged again.
    pub fn handle_reply(&mut self, incarnation: u64, revision: u64, reported: Option<u64>) {
        let has_restarted = self.incarnation.is_some_and(|known| known != incarnation);
        if has_restarted {
            *self = Self::default();
        } else {
            self.received = revision;
            self.reported = reported.unwrap_or(self.reported);
        }
        self.incarnation = Some(incarnation);
    }
}

impl State {
    /// The revision of the crashes that this process knows of.
    pub fn crash_revision(&self) -> u64 {
        self.suspects.revision()
    }

    /// The crashes that changed after `revision`, for other entries.
    pub fn crashes_after(&self, now: Duration, revision: u64) -> Vec<Crash> {
        self.suspects.changes_after(now, revision)
    }

    /// Whether crashes are exchanged with this peer.
    pub fn exchanges_crashes_with(&self, now: Duration, peer: &CrashPeer) -> bool {
        match peer {
            CrashPeer::Agent(_) => true,
            CrashPeer::Entry => !self.targets.iter().any(|t| t.has_reachable_agent(now)),
        }
    }

    /// The crashes after `revision` that are to be reported to this peer: none if others are to be
    /// told instead.
    fn crashes_to_report(&self, now: Duration, peer: &CrashPeer, revision: u64) -> Vec<Crash> {
        let is_told = match peer {
            _ if self.crash_revision() <= revision => false,
            CrashPeer::Agent(target) => self.reported_agents(now).contains(target),
            CrashPeer::Entry => self.exchanges_crashes_with(now, peer),
        };
        if !is_told {
            return Vec::new();
        }
        self.suspects.changes_to_report(now, revision)
    }

    /// Handles a failed exchange of crashes with the agent of a target: it is told nothing until it
    /// reports again.
    pub(super) fn handle_exchange_failed(&mut self, now: Duration, target: &Name) {
        if let Some(target) = self.targets.get_mut(target) {
            target.agent_failed_at = Some(now);
        }
    }

    /// The targets whose agents this process reports crashes to.
    fn reported_agents(&self, now: Duration) -> Vec<Name> {
        let names: Vec<&Name> = self
            .targets
            .iter()
            .filter(|target| target.has_reachable_agent(now))
            .map(|target| &target.entry.id)
            .collect();
        let ranked = rank::rank_names(self.options.seed, names);
        let mut data_centres = BTreeSet::new();
        let is_first_of_data_centre = |name: &Name| {
            let target = self.targets.get(name);
            target.is_some_and(|t| data_centres.insert(t.entry.data_centre.clone()))
        };
        let (mut first, others): (Vec<Name>, Vec<Name>) =
            ranked.into_iter().partition(is_first_of_data_centre);
        first.extend(others);
        first.truncate(REPORTED_AGENTS);
        first
    }
}
