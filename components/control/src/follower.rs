//! Keeps the sheet and the list of instances up to date from the platform and from neighbours.
//!
//! A few watchers in each data centre watch the configuration service. All other processes learn
//! of changes by gossip: every message carries the versions that its sender holds, and the side
//! with the older version requests the newer one. The number of calls to the service thus grows
//! with the number of data centres, not with the number of processes.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use protocol::{
    Instance,
    InstanceListUpdate, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use sheet::{
    OfferResult,
    Sheet,
    SheetCollector,
    SheetError, //
};
use utils::digest::Digest;
use utils::{
    rank,
    Name, //
};

use crate::instance_list::InstanceList;

/// Intervals of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// The interval between heartbeats to each neighbour.
    pub heartbeat: Duration,
    /// The interval at which a watcher reads the list of instances.
    pub list_read: Duration,
    /// The interval at which a process without contact to neighbours reads the index from the
    /// service itself.
    pub isolated_read: Duration,
    /// How long a process waits to compare versions with neighbours before it continues without.
    pub settle_timeout: Duration,
    /// A gap between two steps of at least this length means that the process was paused.
    pub pause_threshold: Duration,
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            list_read: Duration::from_secs(2),
            isolated_read: Duration::from_secs(30),
            settle_timeout: Duration::from_secs(3),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

/// The number of watchers in each data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// The number of ring neighbours on each side, within the data centre and among the entries.
const RING_NEIGHBOURS_PER_SIDE: u32 = 2;

/// The rank key of the ring over all entries. It must be the same in every process.
const ENTRY_RING_KEY: u64 = 0;

/// The number of neighbours in other data centres.
const REMOTE_NEIGHBOURS: usize = 2;

/// The time after which a request without a reply is sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The backoff after the first failure of the service.
const MIN_SERVICE_BACKOFF: Duration = Duration::from_millis(250);

/// The longest backoff after failures of the service.
const MAX_SERVICE_BACKOFF: Duration = Duration::from_secs(10);

/// A process that receives no message for this many heartbeat intervals counts as isolated.
const ISOLATION_HEARTBEATS: u32 = 10;

/// The result of a read or watch of the index at the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IndexResult {
    /// The serialised index.
    Index(Bytes),
    /// The watch ended without a change.
    Unchanged,
    /// The service was unreachable or did not respond.
    Failed,
}

/// An input of a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A read or watch of the index at the service ended.
    ServiceIndex(IndexResult),
    /// A read of a section at the service ended; `None` if it failed.
    ServiceSection(Digest, Option<Bytes>),
    /// A read of the list at the platform ended; `None` if it failed.
    PlatformList(Option<InstanceListUpdate>),
    /// A message from a peer was received, with the versions that the peer holds.
    PeerVersions {
        /// The sender.
        from: Name,
        /// The version of its sheet.
        sheet: u64,
        /// The revision of its list.
        list: u64,
    },
    /// A peer sent its index, or `None` if it has none.
    PeerIndex(Name, Option<Bytes>),
    /// A peer sent a section, or `None` if it does not hold it.
    PeerSection(Digest, Option<Bytes>),
    /// A peer sent changes to the list.
    PeerList(InstanceListUpdate),
    /// A peer did not respond.
    PeerUnresponsive(Name),
}

/// An action that a follower requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Wait at the service for an index whose digest differs from the last one read there.
    WatchIndex(Option<Digest>),
    /// Read the index from the service.
    ReadIndex,
    /// Read a section from the service.
    ReadSection(Digest),
    /// Read the changes to the list after a revision from the platform.
    ReadList(u64),
    /// Request the index from a peer that has a newer one.
    RequestPeerIndex(Name),
    /// Request a section from a peer.
    RequestPeerSection(Name, Digest),
    /// Request the changes to the list after a revision from a peer.
    RequestPeerList(Name, u64),
    /// Exchange heartbeats with a neighbour.
    SendHeartbeat(Name),
    /// A new sheet is active.
    SheetAdopted(Arc<Sheet>, Digest),
    /// A sheet was refused.
    SheetRefused(SheetError),
    /// The list of instances changed.
    ListChanged,
    /// The process was paused for this long.
    ResumedAfterPause(Duration),
}

/// The state of a follower.
#[derive(Clone, Debug)]
pub struct Follower {
    instance: Name,
    data_centre: Name,
    intervals: Intervals,
    sheet_collector: SheetCollector,
    instances: InstanceList,
    neighbours: Vec<Name>,
    rng: Pcg64Mcg,
    last_step_at: Option<Duration>,
    next_heartbeat_at: Duration,
    next_list_read_at: Duration,
    next_index_read_at: Duration,
    is_watching: bool,
    last_service_digest: Option<Digest>,
    service_failures: u32,
    pending: BTreeMap<RequestKind, PendingRequest>,
    last_message_at: Option<Duration>,
    settling_since: Option<Duration>,
    messages_while_settling: usize,
    has_service_responded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    Index,
    Section(Digest),
    List,
}

/// A request without a reply so far.
#[derive(Clone, Debug)]
struct PendingRequest {
    sent_at: Duration,
    /// The process that received the request; `None` for the service.
    recipient: Option<Name>,
}

impl Follower {
    /// Creates the state of the process on `instance`. `seed` seeds the random number generator.
    pub fn new(instance: Name, data_centre: Name, intervals: Intervals, seed: u64) -> Self {
        Self {
            instance,
            data_centre,
            intervals,
            sheet_collector: SheetCollector::default(),
            instances: InstanceList::default(),
            neighbours: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_step_at: None,
            next_heartbeat_at: Duration::ZERO,
            next_list_read_at: Duration::ZERO,
            next_index_read_at: Duration::ZERO,
            is_watching: false,
            last_service_digest: None,
            service_failures: 0,
            pending: BTreeMap::new(),
            last_message_at: None,
            settling_since: None,
            messages_while_settling: 0,
            has_service_responded: false,
        }
    }

    /// The active sheet.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.sheet_collector.sheet()
    }

    /// The collector of indexes and sections, which holds the active sheet.
    pub fn sheet_collector(&self) -> &SheetCollector {
        &self.sheet_collector
    }

    /// The list of instances.
    pub fn instances(&self) -> &InstanceList {
        &self.instances
    }

    /// The processes with which this one exchanges heartbeats.
    pub fn neighbours(&self) -> &[Name] {
        &self.neighbours
    }

    /// The requests without a reply so far, for diagnostic messages.
    pub fn pending_requests(&self) -> impl fmt::Debug + '_ {
        &self.pending
    }

    /// One heartbeat effect for each neighbour.
    pub fn heartbeats(&self) -> impl Iterator<Item = Effect> + '_ {
        self.neighbours.iter().cloned().map(Effect::SendHeartbeat)
    }

    /// Whether the process has a sheet and has compared versions since its start or last pause.
    pub fn is_settled(&self) -> bool {
        self.last_step_at.is_some() && self.settling_since.is_none() && self.sheet().is_some()
    }

    /// Whether this process watches the service for its data centre.
    pub fn is_watcher(&self) -> bool {
        let local = self
            .instances
            .present_instances()
            .filter(|i| i.data_centre == self.data_centre);
        let key = rank::hash_key(self.data_centre.as_bytes());
        rank::highest_ranked(key, local.map(|i| &i.name), WATCHERS_PER_DATA_CENTRE)
            .contains(&self.instance)
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.detect_pause(now, &mut effects);
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::ServiceIndex(result) => self.handle_service_index(now, &result, &mut effects),
            Event::ServiceSection(digest, text) => {
                self.pending.remove(&RequestKind::Section(digest));
                self.record_service_result(now, text.is_some());
                self.offer_section(text.as_deref(), &mut effects);
            }
            Event::PlatformList(update) => {
                self.record_service_result(now, update.is_some());
                self.apply_list(update.unwrap_or_default(), &mut effects);
            }
            Event::PeerVersions { from, sheet, list } => {
                self.handle_versions(now, &from, sheet, list, &mut effects);
            }
            Event::PeerIndex(from, text) => {
                self.pending.remove(&RequestKind::Index);
                self.offer_index(text.as_deref(), &mut effects);
                // A process whose index is active also has its sections.
                self.request_missing_sections_from(now, &from, &mut effects);
            }
            Event::PeerSection(digest, text) => {
                self.pending.remove(&RequestKind::Section(digest));
                self.offer_section(text.as_deref(), &mut effects);
            }
            Event::PeerList(update) => {
                self.pending.remove(&RequestKind::List);
                self.apply_list(update, &mut effects);
            }
            Event::PeerUnresponsive(name) => {
                self.pending
                    .retain(|_, request| request.recipient.as_ref() != Some(&name));
            }
        }
        self.update_settling(now);
        effects
    }

    /// Detects a pause of the process from a gap between two steps. After a pause the local state
    /// may be outdated, so versions are compared again.
    fn detect_pause(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let gap = self.last_step_at.map(|last| now.saturating_sub(last));
        if self.last_step_at.is_none() {
            self.start_settling(now);
        } else if let Some(gap) = gap.filter(|gap| *gap >= self.intervals.pause_threshold) {
            self.start_settling(now);
            effects.push(Effect::ResumedAfterPause(gap));
        }
        self.last_step_at = Some(now);
    }

    fn start_settling(&mut self, now: Duration) {
        self.settling_since = Some(now);
        self.messages_while_settling = 0;
        self.has_service_responded = false;
        self.next_heartbeat_at = now;
        self.pending.clear();
    }

    /// Ends settling once at least half as many messages as neighbours have arrived and no section
    /// is missing, or after a time limit, so that unresponsive neighbours do not block requests
    /// forever.
    fn update_settling(&mut self, now: Duration) {
        let Some(since) = self.settling_since else {
            return;
        };
        let required_messages = self.neighbours.len().div_ceil(2).max(1);
        let has_enough_messages = self.messages_while_settling >= required_messages
            || (self.neighbours.is_empty() && self.has_service_responded);
        let has_all_sections = self.sheet_collector.missing_sections().is_empty();
        let has_timed_out = now.saturating_sub(since) >= self.intervals.settle_timeout;
        if has_timed_out || (has_enough_messages && has_all_sections) {
            self.settling_since = None;
        }
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_watcher = self.is_watcher();
        let has_list = self.instances.revision() > 0;
        if now >= self.next_list_read_at && (is_watcher || !has_list || self.is_isolated(now)) {
            self.next_list_read_at = now + self.with_jitter(self.intervals.list_read);
            effects.push(Effect::ReadList(self.instances.revision()));
        }
        if now >= self.next_index_read_at && !self.is_watching {
            if is_watcher {
                self.is_watching = true;
                effects.push(Effect::WatchIndex(self.last_service_digest));
            } else if self.is_isolated(now) || (has_list && self.sheet().is_none()) {
                self.next_index_read_at = now + self.with_jitter(self.intervals.isolated_read);
                effects.push(Effect::ReadIndex);
            }
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.intervals.heartbeat;
            effects.extend(self.heartbeats());
        }
        self.request_missing_sections(now, effects);
    }

    /// Whether no message from another process has been received for a long time.
    fn is_isolated(&self, now: Duration) -> bool {
        let last_message_at = self.last_message_at.unwrap_or(Duration::ZERO);
        now.saturating_sub(last_message_at) >= self.intervals.heartbeat * ISOLATION_HEARTBEATS
    }

    fn with_jitter(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }

    fn record_service_result(&mut self, now: Duration, has_responded: bool) {
        if has_responded {
            self.service_failures = 0;
            self.has_service_responded = true;
            return;
        }
        let backoff = MIN_SERVICE_BACKOFF * (1 << self.service_failures.min(6));
        self.service_failures += 1;
        self.next_index_read_at = now + self.with_jitter(backoff.min(MAX_SERVICE_BACKOFF));
    }

    fn handle_service_index(
        &mut self,
        now: Duration,
        result: &IndexResult,
        effects: &mut Vec<Effect>,
    ) {
        self.is_watching = false;
        self.record_service_result(now, *result != IndexResult::Failed);
        if let IndexResult::Index(text) = result {
            // The watch compares digests, not versions: the active version does not change when
            // an index is refused, so the watch would return the refused index again at once.
            self.last_service_digest = Some(Digest::of(text));
            self.offer_index(Some(text), effects);
        }
        self.request_missing_sections(now, effects);
    }

    fn handle_versions(
        &mut self,
        now: Duration,
        from: &Name,
        sheet: u64,
        list: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.last_message_at = Some(now);
        self.messages_while_settling += 1;
        if sheet > self.sheet_collector.version()
            && self.start_request(now, RequestKind::Index, Some(from))
        {
            effects.push(Effect::RequestPeerIndex(from.clone()));
        }
        if list > self.instances.revision()
            && self.start_request(now, RequestKind::List, Some(from))
        {
            effects.push(Effect::RequestPeerList(
                from.clone(),
                self.instances.revision(),
            ));
        }
        if sheet >= self.sheet_collector.version() {
            self.request_missing_sections_from(now, from, effects);
        }
    }

    /// Whether a request is due. If so, records it as sent.
    fn start_request(
        &mut self,
        now: Duration,
        kind: RequestKind,
        recipient: Option<&Name>,
    ) -> bool {
        let is_due = self
            .pending
            .get(&kind)
            .is_none_or(|request| now.saturating_sub(request.sent_at) >= REQUEST_TIMEOUT);
        if is_due {
            let recipient = recipient.cloned();
            self.pending.insert(
                kind,
                PendingRequest {
                    sent_at: now,
                    recipient,
                },
            );
        }
        is_due
    }

    /// Requests missing sections: watchers from the service, other processes from a neighbour.
    fn request_missing_sections(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let from_service = self.is_watcher() || self.neighbours.is_empty();
        for digest in self.sheet_collector.missing_sections() {
            let kind = RequestKind::Section(digest);
            let is_retry = self.pending.contains_key(&kind);
            // A retry goes to the other kind of source, in case the first lacks the section.
            if from_service != is_retry || self.neighbours.is_empty() {
                if self.start_request(now, kind, None) {
                    effects.push(Effect::ReadSection(digest));
                }
                continue;
            }
            let index = self.rng.random_range(0..self.neighbours.len());
            let name = self.neighbours[index].clone();
            if self.start_request(now, kind, Some(&name)) {
                effects.push(Effect::RequestPeerSection(name, digest));
            }
        }
    }

    fn request_missing_sections_from(
        &mut self,
        now: Duration,
        from: &Name,
        effects: &mut Vec<Effect>,
    ) {
        for digest in self.sheet_collector.missing_sections() {
            if self.start_request(now, RequestKind::Section(digest), Some(from)) {
                effects.push(Effect::RequestPeerSection(from.clone(), digest));
            }
        }
    }

    fn offer_index(&mut self, text: Option<&[u8]>, effects: &mut Vec<Effect>) {
        if let Some(text) = text {
            let result = self.sheet_collector.offer_index(text);
            self.apply_offer_result(result, effects);
        }
    }

    fn offer_section(&mut self, text: Option<&[u8]>, effects: &mut Vec<Effect>) {
        if let Some(text) = text {
            let result = self.sheet_collector.offer_section(text);
            self.apply_offer_result(result, effects);
        }
    }

    fn apply_offer_result(&mut self, result: OfferResult, effects: &mut Vec<Effect>) {
        match result {
            OfferResult::Activated(sheet) => {
                let digest = self.sheet_collector.digest().unwrap_or(Digest::ZERO);
                effects.push(Effect::SheetAdopted(sheet, digest));
                // Neighbours learn of the sheet at once and not only with the next heartbeat.
                effects.extend(self.heartbeats());
            }
            OfferResult::Rejected(e) => effects.push(Effect::SheetRefused(e)),
            OfferResult::NotNeeded | OfferResult::Outdated | OfferResult::SectionsMissing(_) => {}
        }
    }

    fn apply_list(&mut self, update: InstanceListUpdate, effects: &mut Vec<Effect>) {
        if !self.instances.apply_changes(update) {
            return;
        }
        self.neighbours = self.choose_neighbours();
        effects.push(Effect::ListChanged);
    }

    /// Chooses ring neighbours within the data centre, a few processes in other data centres, and
    /// ring neighbours among the entries.
    fn choose_neighbours(&self) -> Vec<Name> {
        let key = rank::hash_key(self.data_centre.as_bytes());
        let is_local = |i: &&Instance| i.data_centre == self.data_centre;
        let local = self
            .instances
            .present_instances()
            .filter(is_local)
            .map(|i| &i.name);
        let mut chosen =
            rank::ring_neighbours(key, local, &self.instance, RING_NEIGHBOURS_PER_SIDE);
        let remote = self
            .instances
            .present_instances()
            .filter(|i| !is_local(i))
            .map(|i| &i.name);
        let remote = rank::highest_ranked(
            rank::hash_key(self.instance.as_bytes()),
            remote,
            REMOTE_NEIGHBOURS,
        );
        let entries = self.instances.entries().map(|i| &i.name);
        let entries = rank::ring_neighbours(
            ENTRY_RING_KEY,
            entries,
            &self.instance,
            RING_NEIGHBOURS_PER_SIDE,
        );
        for name in remote.into_iter().chain(entries) {
            if !chosen.contains(&name) {
                chosen.push(name);
            }
        }
        chosen
    }
}
