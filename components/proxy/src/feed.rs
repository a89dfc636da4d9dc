//! Follows the configuration, targets and model versions that the platform publishes, and reports
//! changes to the process.
//!
//! The source can be unreachable or slow, refuse this process, or drop its change history. Until it
//! recovers, the values reported before stay in use; the lease in the reducer limits for how long.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::Arc;
use std::time::Duration;

use control::grace::{
    Gap,
    Grace,
    GracePeriod, //
};
use control::router::config::Config;
use control::router::lease::SourceStatus;
use control::router::targets::TargetEntry;
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use thiserror::Error;
use utils::clock::Clock;
use utils::millis::millis;
use utils::Name;

use crate::region_bytes::{
    self,
    Kind, //
};

/// The time from which an answer of the source is recorded as slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Bytes of replaced values in an answer from which the current values are read next. Versions of the
/// configuration then follow each other so quickly that reading them all would take longer.
const MAX_SUPERSEDED_BYTES: usize = 16 << 10;

/// In this time the removals of entries that expired together are counted together.
const REMOVAL_BATCH_TIME: Duration = Duration::from_millis(200);

/// The era of a source that was never restored.
const FIRST_ERA: u64 = 0;

/// How many heartbeat intervals a copy that the source was restored from may list targets that are gone:
/// three until a silent entry expires, and one until that is read.
const COPY_LIFETIME_HEARTBEATS: u32 = 4;

/// The size from which an answer of the source is recorded as large.
const LARGE_ANSWER_BYTES: usize = 128 << 10;

/// One published value.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishedValue {
    /// The latest configuration.
    Config(Arc<Config>),
    /// A target is listed.
    Target(TargetEntry),
    /// A source that was restored from a copy lists a target, whose entry was not written since.
    RestoredTarget(TargetEntry),
    /// The entry of a target was removed or cannot be read as a target.
    TargetRemoved(Name),
    /// A data centre must not get requests.
    DataCentreDisabled(Name),
    /// A data centre may get requests again.
    DataCentreEnabled(Name),
    /// Operators named the version of a model's weights that engines must serve.
    ModelVersion(Name, u64),
    /// A document of the operators cannot be read, so what it changes is not known.
    Unreadable(OperatorDocument),
    /// A document of the operators was deleted. What it said still holds.
    Withdrawn(OperatorDocument),
}

/// Identifies a document of the operators.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorDocument {
    /// The configuration.
    Config,
    /// The version of a model's weights.
    ModelVersion(Name),
}

impl OperatorDocument {
    /// The document that holds a value, if operators publish it in one that can be unreadable.
    fn of(value: &PublishedValue) -> Option<Self> {
        match value {
            PublishedValue::Config(_) => Some(Self::Config),
            PublishedValue::ModelVersion(model, _) => Some(Self::ModelVersion(model.clone())),
            _ => None,
        }
    }
}

/// Published values, complete up to a revision of the source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PublishedChanges {
    /// The values in the order in which they were published.
    pub values: Vec<PublishedValue>,
    /// The revision of the source.
    pub revision: u64,
    /// Bytes of the responses that held the values.
    pub bytes: usize,
    /// Whether later changes may be missing, since the source limits its responses without saying
    /// what it left out. They are complete if they reach a revision that was read before.
    pub may_be_incomplete: bool,
    /// What the source says of the entries of targets beside their values.
    pub entries: Vec<EntryState>,
    /// Bytes of large values in the responses that later ones of the same key replace.
    pub superseded_bytes: usize,
    /// Rises each time the source was restored from a copy. Revisions of two eras cannot be
    /// compared.
    pub era: u64,
}

/// The state of a target's entry in the source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryState {
    /// The target.
    pub target: Name,
    /// The revision in which it was created, if it expires when it is not written. One that expired and
    /// was written again counts from then on.
    pub created: Option<u64>,
    /// A hash of its text and the revision in which it was written. Another one shows that it was written
    /// again, also if only a counter in it changed.
    pub content: u64,
}

/// Why a call to the source failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SourceError {
    /// the history since the last call is no longer there
    HistoryDropped,
    /// refused with status {0}
    Refused(u16),
    /// no answer in time
    Timeout,
    /// unreachable: {0}
    Unreachable(String),
    /// cannot be read: {0}
    Unreadable(String),
    /// the answer is too long
    TooLong,
}

impl SourceError {
    /// Whether the source does not answer, or answers that it cannot serve this process.
    fn status(&self) -> SourceStatus {
        match self {
            Self::Timeout => SourceStatus::Silent,
            _ => SourceStatus::Failing,
        }
    }
}

type SourceFuture<T> = LocalBoxFuture<'static, Result<T, SourceError>>;

/// The calls to the platform's store of published values.
pub struct Source {
    /// Reads all values.
    pub read_all: Box<dyn Fn() -> SourceFuture<PublishedChanges>>,
    /// Waits for changes after a revision, at most for the given time.
    pub watch: Box<dyn Fn(u64, Duration) -> SourceFuture<PublishedChanges>>,
    /// Reads the present revision, without values.
    pub read_revision: Box<dyn Fn() -> SourceFuture<u64>>,
}

impl std::fmt::Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

/// Intervals of the calls to the source, and grace periods for missing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedOptions {
    /// How long a call waits for changes. Each response confirms that the configuration is
    /// current, so this must be well below the lease.
    pub max_wait: Duration,
    /// The shortest time between the starts of two calls. It batches changes into fewer calls, since
    /// each call has a cost.
    pub call_interval: Duration,
    /// The shortest delay after a failure; a random part of up to the same length is added.
    pub retry_delay: Duration,
    /// How often a target writes its entry.
    pub heartbeat_interval: Duration,
    /// How long a target whose entry expired while the source was away may be missing before it
    /// counts as removed. A target that still exists is listed again within two seconds after the
    /// source recovers.
    pub outage_grace: Duration,
    /// The same for a target that was unlisted after the source recovered, or while its history was
    /// dropped. Such a target may really have been removed, so this is shorter.
    pub recovery_grace: Duration,
    /// How long a source that was restored from a copy may lack what was published before. Until
    /// then, what it lacks counts as lost, and nothing is confirmed as current.
    pub settle_time: Duration,
    /// Whether a source that was restored at any time counts as restored just before when this process reads
    /// it for the first time.
    pub settles_at_start: bool,
    /// The time since the last response after which all current values are read instead of the
    /// changes since then, which may hold many versions of a large configuration.
    pub max_history_age: Duration,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_millis(400),
            call_interval: Duration::from_millis(600),
            retry_delay: Duration::from_millis(250),
            heartbeat_interval: Duration::from_millis(1200),
            outage_grace: Duration::from_millis(2500),
            recovery_grace: Duration::from_millis(800),
            settle_time: Duration::from_millis(2500),
            settles_at_start: false,
            max_history_age: Duration::from_millis(2000),
        }
    }
}

/// What the feed reports to its process.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEvent {
    /// A value was published.
    Published {
        /// The value.
        value: PublishedValue,
        /// How long to wait for an unlisted target to be listed again.
        grace: Grace,
        /// The value was published after this time: the last confirmed call was sent then, and its
        /// answer did not have the value. `None` if there was no such call.
        published_after: Option<Duration>,
    },
    /// All values were read. Targets that are not in `names` are no longer listed.
    FullTargetList {
        /// The listed targets.
        names: Vec<Name>,
        /// How long to wait for other targets to be listed again.
        grace: Grace,
    },
    /// All values published before this time were reported.
    Confirmed(Duration),
    /// The source answered, and the values of the answer were reported.
    Answered(Answer),
    /// How the source responded to the last call.
    Status(SourceStatus),
    /// The source became unavailable or available.
    SourceState {
        /// Whether it responds.
        is_up: bool,
        /// The error, or a text that says that the source responds again.
        detail: Name,
    },
}

/// Measurements of an answer of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The time from sending the call until the answer was complete.
    pub took: Duration,
    /// Its bytes.
    pub bytes: usize,
    /// Number of its values.
    pub values: usize,
    /// Whether all values were read, instead of the changes since the last answer.
    pub is_full_read: bool,
}

impl Answer {
    fn record_metrics(&self) {
        let seconds = self.took.as_secs_f64();
        metrics::histogram!("medlarproxy_platform_answer_seconds").record(seconds);
        metrics::counter!("medlarproxy_platform_bytes_total").increment(self.bytes as u64);
    }

    /// Counts the bytes as sent to the region of this process.
    pub(crate) fn count_bytes_to(&self, region: &Name) {
        let from = Name::from(region_bytes::STORE);
        region_bytes::count(Kind::Configuration, &from, region, self.bytes as u64);
    }

    /// The line for the record if the answer is large or slow.
    fn to_decision(self) -> Option<record::Decision> {
        let is_late = self.took >= SLOW_ANSWER_TIME && self.values > 0;
        let is_notable = is_late || self.bytes >= LARGE_ANSWER_BYTES;
        is_notable.then(|| record::Decision::StoreAnswer {
            took_ms: millis(self.took),
            bytes: self.bytes,
            values: self.values,
            full: self.is_full_read,
        })
    }
}

impl FeedEvent {
    /// The line for the record, if the event has one.
    pub(crate) fn to_decision(&self) -> Option<record::Decision> {
        match self {
            Self::Answered(answer) => answer.to_decision(),
            Self::SourceState { is_up, detail } => Some(record::Decision::Dependency {
                name: "platform".into(),
                up: *is_up,
                detail: detail.clone(),
            }),
            _ => None,
        }
    }
}

/// The state of following a source.
struct Feed<F> {
    clock: Arc<dyn Clock>,
    on_event: F,
    source: Source,
    options: FeedOptions,
    /// The revision up to which all changes were reported; `None` if all values must be read.
    revision: Option<u64>,
    /// The era of the last response.
    era: Option<u64>,
    /// Until when a source that was restored from a copy may lack values. After that, all values
    /// are read again.
    settles_at: Option<Duration>,
    disabled_data_centres: BTreeSet<Name>,
    /// When the last call was sent whose answer was complete.
    complete_since: Option<Duration>,
    /// When the last call was sent that failed, if one did since the last response.
    failed_call_sent_at: Option<Duration>,
    /// Whether the source dropped its history since the last response.
    is_history_dropped: bool,
    /// The grace period after the last outage of the source, or of the way to it.
    recovery: Option<GracePeriod>,
    /// The revision in which the entry of each listed target was created.
    entry_revisions: BTreeMap<Name, u64>,
    /// The entries of a restored copy, until all that nobody writes have expired.
    copy: Option<RestoredCopy>,
    /// How the source was last reported to respond.
    status: SourceStatus,
    /// When the last response was complete, and its revision.
    answered_at: Option<Duration>,
    /// The revision of the last response, if later ones can be compared with it.
    answered_revision: Option<u64>,
    /// The version of the last configuration.
    config_version: Option<u64>,
    /// The newest reported version of each model's weights.
    model_versions: BTreeMap<Name, u64>,
    /// Documents whose latest version cannot be read.
    unreadable: BTreeSet<OperatorDocument>,
    /// The models of the services in the last configuration.
    configured_models: BTreeSet<Name>,
    /// Whether the last call was to read all values and was not answered in time.
    has_slow_full_read: bool,
    /// Whether the next answer may be incomplete, so that the revision is read before it.
    must_verify: bool,
    /// Whether the next call reads all values, since changes would hold too much that was replaced.
    must_read_all: bool,
}

/// The entries of targets in a copy that the source was restored from.
struct RestoredCopy {
    /// From then on, an entry that is listed was written since the restore.
    ends_at: Duration,
    /// The content of each entry as it was first read. `None` before that.
    contents: Option<BTreeMap<Name, u64>>,
}

impl RestoredCopy {
    /// Whether an entry may still be that of the copy.
    fn holds(&self, entry: &EntryState) -> bool {
        let contents = self.contents.as_ref();
        contents.is_none_or(|contents| contents.get(&entry.target) == Some(&entry.content))
    }
}

/// Follows the source while the future is polled, and calls `on_event` for each event.
pub async fn follow_source(
    clock: Arc<dyn Clock>,
    source: Source,
    options: FeedOptions,
    on_event: impl FnMut(FeedEvent),
) {
    let mut feed = Feed {
        clock,
        on_event,
        source,
        options,
        revision: None,
        era: None,
        settles_at: None,
        disabled_data_centres: BTreeSet::new(),
        complete_since: None,
        failed_call_sent_at: None,
        is_history_dropped: false,
        recovery: None,
        entry_revisions: BTreeMap::new(),
        copy: None,
        status: SourceStatus::Answering,
        answered_at: None,
        answered_revision: None,
        config_version: None,
        model_versions: BTreeMap::new(),
        unreadable: BTreeSet::new(),
        configured_models: BTreeSet::new(),
        has_slow_full_read: false,
        must_verify: false,
        must_read_all: false,
    };
    loop {
        let delay = feed.poll().await;
        tokio::time::sleep(delay).await;
    }
}

impl<F: FnMut(FeedEvent)> Feed<F> {
    fn elapsed(&self) -> Duration {
        self.clock.now().elapsed
    }

    /// Makes one call to the source, and returns the delay before the next one.
    async fn poll(&mut self) -> Duration {
        let sent_at = self.elapsed();
        if self.settles_at.is_some_and(|at| sent_at >= at) {
            self.settles_at = None;
            self.revision = None;
        }
        if self
            .copy
            .as_ref()
            .is_some_and(|copy| sent_at >= copy.ends_at)
        {
            self.copy = None;
            self.revision = None;
        }
        let is_full_read = self.reads_all(sent_at);
        let (result, verified_revision) = self.call(is_full_read).await;
        self.has_slow_full_read = is_full_read && result == Err(SourceError::Timeout);
        match result {
            Ok(changes) => self.handle_answer(sent_at, changes, is_full_read, verified_revision),
            Err(SourceError::HistoryDropped) => {
                self.is_history_dropped = true;
                self.revision = None;
                Duration::ZERO
            }
            // All current values take less than their history.
            Err(SourceError::TooLong) if self.revision.is_some() => {
                self.revision = None;
                Duration::ZERO
            }
            Err(e) => {
                self.failed_call_sent_at = Some(sent_at);
                self.report_down(&e);
                self.options
                    .retry_delay
                    .mul_f64(1.0 + rand::random::<f64>())
            }
        }
    }

    /// Handles the answer to a call that was sent at `sent_at`, and returns the delay before the next
    /// call.
    fn handle_answer(
        &mut self,
        sent_at: Duration,
        changes: PublishedChanges,
        is_full_read: bool,
        verified_revision: Option<u64>,
    ) -> Duration {
        if is_full_read {
            self.revision = None;
        }
        let former_era = self.era.replace(changes.era);
        let is_restored = match former_era {
            Some(era) => era != changes.era,
            // This process cannot know for how long it has been restored.
            None => self.options.settles_at_start && changes.era != FIRST_ERA,
        };
        if is_restored {
            self.handle_restore(sent_at, changes.era, former_era.is_none());
        } else if former_era.is_none() {
            (self.on_event)(FeedEvent::SourceState {
                is_up: true,
                detail: format!("first answer, era {}", changes.era).into(),
            });
        }
        if is_restored && !is_full_read {
            // Changes since an earlier era's revision are incomplete.
            self.revision = None;
            return Duration::ZERO;
        }
        let answer = Answer {
            took: self.elapsed().saturating_sub(sent_at),
            bytes: changes.bytes,
            values: changes.values.len(),
            is_full_read,
        };
        answer.record_metrics();
        let revision = changes.revision;
        let has_all_changes = verified_revision.map(|known| known <= revision);
        let is_complete = !changes.may_be_incomplete || has_all_changes == Some(true);
        self.must_verify = changes.may_be_incomplete;
        self.must_read_all =
            has_all_changes == Some(false) || self.is_series_of_versions(&changes, is_full_read);
        self.update_entry_revisions(&changes, is_full_read);
        let gap = Gap {
            duration: sent_at.saturating_sub(self.answered_at.unwrap_or(sent_at)),
            has_surviving_entry: !changes.may_be_incomplete && self.has_surviving_entry(),
        };
        let changes_in_gap = self
            .answered_revision
            .map(|known| revision.saturating_sub(known));
        let grace = self.grace_after(gap);
        self.answered_at = Some(self.elapsed());
        self.answered_revision = Some(revision);
        self.report_changes(changes, is_full_read, grace);
        (self.on_event)(FeedEvent::Answered(answer));
        self.failed_call_sent_at = None;
        self.is_history_dropped = false;
        if is_complete {
            self.confirm(sent_at, answer);
        }
        self.report_up(gap, changes_in_gap.unwrap_or_default());
        if is_complete {
            self.delay_after_response(answer.took)
        } else {
            Duration::ZERO
        }
    }

    fn update_entry_revisions(&mut self, changes: &PublishedChanges, is_full_read: bool) {
        if is_full_read {
            self.entry_revisions.clear();
        }
        let entries = changes.entries.iter();
        let revisions = entries.filter_map(|entry| Some((entry.target.clone(), entry.created?)));
        self.entry_revisions.extend(revisions);
        for value in &changes.values {
            if let PublishedValue::TargetRemoved(id) = value {
                self.entry_revisions.remove(id);
            }
        }
    }

    /// Whether the entry of any listed target existed at the last response and did not expire since.
    fn has_surviving_entry(&self) -> bool {
        let mut revisions = self.entry_revisions.values();
        let known = self.answered_revision;
        known.is_some_and(|known| revisions.any(|created| *created <= known))
    }

    /// Records that a complete answer was received. A source that settles after it was restored, and
    /// one with an unreadable document, confirm nothing.
    fn confirm(&mut self, sent_at: Duration, answer: Answer) {
        if self.settles_at.is_some() {
            return;
        }
        // The source holds a watch without a change for the whole wait.
        let max_wait = self.options.max_wait;
        let is_held = !answer.is_full_read && answer.values == 0 && answer.took >= max_wait;
        let held = if is_held { max_wait } else { Duration::ZERO };
        self.complete_since = Some(sent_at + held);
        if !self.lacks_document() {
            (self.on_event)(FeedEvent::Confirmed(sent_at));
        }
    }

    /// Reads all values or waits for changes. Where the answer may be incomplete, also returns the
    /// revision of the source just before, which a complete answer reaches.
    async fn call(
        &self,
        is_full_read: bool,
    ) -> (Result<PublishedChanges, SourceError>, Option<u64>) {
        let Some(revision) = self.revision.filter(|_| !is_full_read) else {
            return ((self.source.read_all)().await, None);
        };
        if !self.must_verify {
            let changes = (self.source.watch)(revision, self.options.max_wait).await;
            return (changes, None);
        }
        let present = (self.source.read_revision)().await;
        if let Err(e) = &present {
            log::debug!("cannot read the revision that verifies an answer: {e}");
        }
        let changes = (self.source.watch)(revision, Duration::ZERO).await;
        (changes, present.ok())
    }

    /// Whether the next call reads all values. After such a call was not answered in time, changes are
    /// tried again, since they may be read in less time.
    fn reads_all(&self, now: Duration) -> bool {
        let is_old = |at: Duration| now.saturating_sub(at) > self.options.max_history_age;
        let has_too_much_history = self.must_read_all || self.answered_at.is_some_and(is_old);
        self.revision.is_none() || has_too_much_history && !self.has_slow_full_read
    }

    /// Whether more versions of the configuration are likely to follow soon, so that changes would
    /// hold several. A full read shows it by another version than before.
    fn is_series_of_versions(&mut self, changes: &PublishedChanges, is_full_read: bool) -> bool {
        let versions = changes.values.iter().filter_map(|value| match value {
            PublishedValue::Config(config) => Some(config.version),
            _ => None,
        });
        let newest = versions.max();
        let is_first = self.config_version.is_none();
        let has_changed = newest > self.config_version;
        self.config_version = self.config_version.max(newest);
        if is_full_read {
            has_changed && !is_first
        } else {
            changes.superseded_bytes > MAX_SUPERSEDED_BYTES
        }
    }

    /// Handles that the source was restored from a copy, which lacks the latest values until they
    /// are published again.
    fn handle_restore(&mut self, sent_at: Duration, era: u64, is_first_answer: bool) {
        self.settles_at = Some(self.elapsed() + self.options.settle_time);
        // Only then are silent entries sure to have expired.
        self.copy = Some(RestoredCopy {
            ends_at: self.elapsed() + self.options.heartbeat_interval * COPY_LIFETIME_HEARTBEATS,
            contents: None,
        });
        // Targets that the copy lacks are kept as after an outage.
        self.failed_call_sent_at = Some(sent_at);
        self.answered_revision = None;
        self.status = SourceStatus::Failing;
        metrics::counter!("medlarproxy_platform_restores_total").increment(1);
        let detail = if is_first_answer {
            format!("first answer, perhaps soon after it was restored from a copy, era {era}")
        } else {
            format!("restored from a copy, era {era}")
        };
        (self.on_event)(FeedEvent::SourceState {
            is_up: true,
            detail: detail.into(),
        });
        (self.on_event)(FeedEvent::Status(self.status));
    }

    /// The delay after a response that took this time. It ends when a restored source has settled.
    fn delay_after_response(&self, took: Duration) -> Duration {
        let delay = self.options.call_interval.saturating_sub(took);
        match self.settles_at {
            Some(at) => delay.min(at.saturating_sub(self.elapsed())),
            None => delay,
        }
    }

    fn report_changes(&mut self, changes: PublishedChanges, is_full_read: bool, grace: Grace) {
        let restored = self.restored_entries(&changes.entries, is_full_read);
        let mut listed: Vec<Name> = Vec::new();
        let mut disabled: BTreeSet<Name> = BTreeSet::new();
        let mut unreadable: BTreeSet<OperatorDocument> = BTreeSet::new();
        for value in changes.values {
            let value = match value {
                PublishedValue::Target(entry) if restored.contains(&entry.id) => {
                    PublishedValue::RestoredTarget(entry)
                }
                value => value,
            };
            match &value {
                PublishedValue::Target(entry) | PublishedValue::RestoredTarget(entry) => {
                    listed.push(entry.id.clone());
                }
                PublishedValue::DataCentreDisabled(name) => {
                    disabled.insert(name.clone());
                }
                PublishedValue::Unreadable(document) => {
                    unreadable.insert(document.clone());
                }
                _ => {}
            }
            self.report_value(value, grace);
        }
        if is_full_read {
            self.unreadable = unreadable;
            (self.on_event)(FeedEvent::FullTargetList {
                names: listed,
                grace,
            });
            // A restored source may only lack that a data centre is out of service.
            if self.settles_at.is_none() {
                let enabled = self.disabled_data_centres.difference(&disabled);
                let enabled: Vec<Name> = enabled.cloned().collect();
                for name in enabled {
                    self.report_value(PublishedValue::DataCentreEnabled(name), grace);
                }
            }
        }
        self.revision = Some(changes.revision.max(self.revision.unwrap_or_default()));
    }

    /// The targets whose entries may be those of the copy that the source was restored from. What changes
    /// after the first full read was written since.
    fn restored_entries(&mut self, entries: &[EntryState], is_full_read: bool) -> BTreeSet<Name> {
        let Some(copy) = self.copy.as_mut().filter(|_| is_full_read) else {
            return BTreeSet::new();
        };
        let restored = entries.iter().filter(|entry| copy.holds(entry));
        let restored = restored.map(|entry| entry.target.clone()).collect();
        if copy.contents.is_none() {
            let contents = entries.iter();
            let contents = contents.map(|entry| (entry.target.clone(), entry.content));
            copy.contents = Some(contents.collect());
        }
        restored
    }

    /// Whether a document that is in use cannot be read. Nothing is confirmed until it can. The version
    /// of a model that no service has may come from another writer.
    fn lacks_document(&self) -> bool {
        self.unreadable.iter().any(|document| match document {
            OperatorDocument::Config => true,
            OperatorDocument::ModelVersion(model) => {
                self.configured_models.contains(model) || self.model_versions.contains_key(model)
            }
        })
    }

    /// How long to wait for targets to be listed again that are missing from a response after this
    /// gap.
    fn grace_after(&mut self, gap: Gap) -> Grace {
        let now = self.elapsed();
        let options = &self.options;
        if let Some(failed_call_sent_at) = self.failed_call_sent_at {
            // The source returned after the last failed call was sent at the earliest.
            let each = failed_call_sent_at + options.outage_grace;
            let grace = Grace {
                each: each.saturating_sub(now),
                majority: options.outage_grace,
            };
            self.recovery = Some(GracePeriod {
                began_at: now,
                grace,
            });
            return if gap.was_store_available(options.heartbeat_interval) {
                Grace::NONE
            } else {
                grace
            };
        }
        let mut grace = self.grace_in_recovery(now);
        if self.is_history_dropped {
            grace.majority = grace.majority.max(options.recovery_grace);
        }
        grace
    }

    /// How long to wait for targets that are removed after the source recovered. It may remove entries
    /// that expired in an outage only then.
    fn grace_in_recovery(&self, now: Duration) -> Grace {
        let options = &self.options;
        let left = self.recovery.map_or(Grace::NONE, |period| period.left(now));
        if left.majority.is_zero() {
            return Grace::NONE;
        }
        Grace {
            each: left
                .each
                .min(options.recovery_grace)
                .max(REMOVAL_BATCH_TIME),
            majority: left.majority,
        }
    }

    fn report_value(&mut self, value: PublishedValue, grace: Grace) {
        if let Some(document) = OperatorDocument::of(&value) {
            self.unreadable.remove(&document);
        }
        match &value {
            PublishedValue::Config(config) => {
                let services = config.services.values();
                let profiles = services.filter_map(|service| service.engine_profile.as_ref());
                self.configured_models = profiles.map(|engine| engine.model.clone()).collect();
            }
            // Reading it again does not show when it was published.
            PublishedValue::ModelVersion(model, version) => {
                let known = self.model_versions.entry(model.clone()).or_default();
                if *known >= *version {
                    return;
                }
                *known = *version;
            }
            PublishedValue::Unreadable(document) => {
                metrics::counter!("medlarproxy_platform_unreadable_total").increment(1);
                self.unreadable.insert(document.clone());
                return;
            }
            PublishedValue::Withdrawn(document) => {
                self.unreadable.remove(document);
                return;
            }
            PublishedValue::DataCentreDisabled(name) => {
                self.disabled_data_centres.insert(name.clone());
            }
            PublishedValue::DataCentreEnabled(name) => {
                self.disabled_data_centres.remove(name);
            }
            PublishedValue::Target(_)
            | PublishedValue::RestoredTarget(_)
            | PublishedValue::TargetRemoved(_) => {}
        }
        (self.on_event)(FeedEvent::Published {
            value,
            grace,
            published_after: self.complete_since,
        });
    }

    fn report_up(&mut self, gap: Gap, changes: u64) {
        let (status, detail) = if self.lacks_document() {
            let detail = "published a document that cannot be read";
            (SourceStatus::Failing, detail.into())
        } else if self.settles_at.is_some() {
            let detail = "settles after it was restored";
            (SourceStatus::Failing, detail.into())
        } else {
            let gap_ms = millis(gap.duration);
            let detail = format!("answers again after {gap_ms} ms and {changes} changes");
            (SourceStatus::Answering, detail.into())
        };
        self.report_status(status, detail);
    }

    fn report_down(&mut self, e: &SourceError) {
        metrics::counter!("medlarproxy_platform_failures_total").increment(1);
        self.report_status(e.status(), e.to_string().into());
    }

    fn report_status(&mut self, status: SourceStatus, detail: Name) {
        (self.on_event)(FeedEvent::Status(status));
        if std::mem::replace(&mut self.status, status) != status {
            (self.on_event)(FeedEvent::SourceState {
                is_up: status == SourceStatus::Answering,
                detail,
            });
        }
    }
}
