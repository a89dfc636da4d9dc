//! The I/O of a process that forwards callers' requests directly to targets.
//!
//! The reducer and all I/O run on one thread: an instance of this role has a fifth of a core, and
//! each message to another thread costs a wake-up.

pub(crate) mod activity;
mod answers;
pub(crate) mod connection;
mod crashes;
mod engines;
mod events;
mod exchange;
mod header_codec;
mod pool;
mod requests;
mod reservations;
mod server;
mod streams;

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::{
    HashMap,
    HashSet, //
};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use control::grace::Grace;
use control::router::config::CallerLimits;
use control::router::{
    Effect,
    Event,
    ForwardRequest,
    Rejection,
    ReservationRequest,
    State,
    Summary, //
};
use tokio::sync::{
    mpsc,
    watch, //
};
use utils::clock::Clock;
use utils::run_time::Ticker;
use utils::Name;

use crate::buffers::Buffers;
use crate::capacity_metrics;
use crate::feed::{
    FeedEvent,
    PublishedValue, //
};
use crate::record_writer::RecordWriter;
use crate::watch_value::send_if_changed;

use self::pool::ConnectionPool;
use self::reservations::Reservation;

pub use crashes::exchange_crashes_with_entries;
pub use engines::{
    run_engine_watches,
    AgentClient, //
};
pub use events::{
    EventBatch,
    EventSplitter, //
};
pub use header_codec::{
    ExecutionStatus,
    ForwardParameters,
    HeaderCodec,
    RequestHead,
    ResponseHead, //
};
pub use server::{
    serve_callers,
    serve_readiness,
    shut_down,
    ShutdownSignal, //
};

/// A shorter delay of a tick is usual on an instance that is short of processor time.
const MIN_STANDSTILL: Duration = Duration::from_millis(100);

/// From this time on, timers of some processes would run out.
const MIN_LOGGED_STANDSTILL: Duration = Duration::from_millis(500);

/// How often the reducer gets a tick event.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What the reducer tells the task of a request to do.
#[derive(Debug)]
enum Command {
    /// Reserve capacity at a model engine.
    Reserve(ReservationRequest),
    /// Forward the request to a target.
    Forward(ForwardRequest),
    /// Report a timeout to the reducer unless another command is received before this time.
    WaitUntil(Duration),
    /// Answer the caller with a rejection.
    Reject(Rejection),
    /// Go on waiting for the silent target.
    KeepTarget,
}

/// A router, which forwards requests. Clones share its state.
#[derive(Clone)]
pub struct Router {
    inner: Rc<Inner>,
}

struct Inner {
    state: RefCell<State>,
    /// The tasks of pending requests, by token.
    requests: RefCell<HashMap<u64, mpsc::UnboundedSender<Command>>>,
    next_token: Cell<u64>,
    clock: Arc<dyn Clock>,
    /// The time of the start of this process, in milliseconds since the Unix epoch.
    incarnation: u64,
    record_writer: Arc<RecordWriter>,
    header_codec: HeaderCodec,
    pool: ConnectionPool,
    buffers: Buffers,
    agent_client: AgentClient,
    /// The revision of the crashes that the reducer knows of.
    crash_revision: watch::Sender<u64>,
    /// The limits of callers in force.
    caller_limits: watch::Sender<CallerLimits>,
    /// Whether the time is over in which requests may end before a planned stop.
    has_ended: watch::Sender<bool>,
    /// The targets whose learned limits the gauges show.
    reported_limits: RefCell<HashSet<Name>>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").finish_non_exhaustive()
    }
}

impl Router {
    /// Creates a router that holds at most `max_buffer_bytes` of bodies and events at once.
    pub fn new(
        state: State,
        clock: Arc<dyn Clock>,
        record_writer: Arc<RecordWriter>,
        header_codec: HeaderCodec,
        agent_client: AgentClient,
        max_buffer_bytes: usize,
    ) -> Self {
        let inner = Inner {
            state: RefCell::new(state),
            requests: RefCell::default(),
            next_token: Cell::new(0),
            pool: ConnectionPool::new(clock.clone()),
            incarnation: clock.now().unix_ms(),
            clock,
            record_writer,
            header_codec,
            buffers: Buffers::new(max_buffer_bytes),
            agent_client,
            crash_revision: watch::Sender::new(0),
            caller_limits: watch::Sender::new(CallerLimits::default()),
            has_ended: watch::Sender::new(false),
            reported_limits: RefCell::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Passes an event to the reducer and executes the effects.
    pub fn handle_event(&self, event: Event) {
        let now = self.inner.clock.now();
        let (effects, config_version, crash_revision, caller_limits) = {
            let mut state = self.inner.state.borrow_mut();
            let effects = state.step(now, event);
            let version = state.config_version();
            let limits = state.caller_limits();
            (effects, version, state.crash_revision(), limits)
        };
        send_if_changed(&self.inner.crash_revision, crash_revision);
        send_if_changed(&self.inner.caller_limits, caller_limits);
        for effect in effects {
            self.execute(config_version, effect);
        }
    }

    /// Whether a request may still be sent to the target that was chosen for it.
    fn may_send(&self, now: Duration, token: u64, request: &ForwardRequest) -> bool {
        self.inner.state.borrow().may_send(now, token, request)
    }

    /// Whether another target can go on with a request whose target has fallen silent.
    fn may_leave_silent_target(&self, token: u64) -> bool {
        let now = self.inner.clock.now().elapsed;
        let (may_leave, decision) = self.inner.state.borrow_mut().handle_silence(now, token);
        if let Some(decision) = decision {
            self.record(decision);
        }
        may_leave
    }

    /// The state that gauges and the readiness check report.
    pub fn summary(&self) -> Summary {
        let now = self.inner.clock.now().elapsed;
        self.inner.state.borrow().summary(now)
    }

    /// Waits until what is still in progress must end, as the process does.
    async fn wait_for_end(&self) {
        let mut has_ended = self.inner.has_ended.subscribe();
        // Cannot fail: this value holds the sender.
        let _ended = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Ends everything that is still in progress.
    fn end(&self) {
        self.inner.has_ended.send_replace(true);
    }

    /// Whether the process is about to stop.
    fn is_draining(&self) -> bool {
        self.inner.state.borrow().is_draining()
    }

    /// The limits of requests and connections of callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        *self.inner.caller_limits.borrow()
    }

    /// Sends ticks to the reducer while the future is polled.
    pub async fn run_timer(&self) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let ticker = Ticker::new(TICK_INTERVAL);
        let mut ticked_at = self.elapsed();
        loop {
            interval.tick().await;
            ticker.tick();
            let now = self.elapsed();
            record_standstill(now.saturating_sub(ticked_at + TICK_INTERVAL));
            ticked_at = now;
            self.handle_event(Event::Tick);
            self.inner.pool.close_expired();
            self.update_gauges();
        }
    }

    /// Handles an event of the feed.
    pub fn handle_feed_event(&self, event: FeedEvent) {
        if let Some(decision) = event.to_decision() {
            self.record(decision);
        }
        if let FeedEvent::Answered(answer) = &event {
            answer.count_bytes_to(self.inner.state.borrow().region());
        }
        let event = match event {
            FeedEvent::Published {
                value,
                grace,
                published_after,
            } => match to_event(value, grace, published_after) {
                Some(event) => event,
                None => return,
            },
            FeedEvent::FullTargetList { names, grace } => Event::FullTargetList { names, grace },
            FeedEvent::Confirmed(sent_at) => Event::ConfigConfirmed(sent_at),
            FeedEvent::Status(status) => Event::SourceStatus(status),
            FeedEvent::Answered(_) | FeedEvent::SourceState { .. } => return,
        };
        self.handle_event(event);
    }

    /// Writes a decision to the record.
    pub fn record(&self, decision: record::Decision) {
        let config_version = self.inner.state.borrow().config_version();
        self.inner.record_writer.record(config_version, decision);
    }

    fn update_gauges(&self) {
        let summary = self.summary();
        metrics::gauge!("medlarproxy_requests_under_way").set(summary.pending_requests as f64);
        metrics::gauge!("medlarproxy_requests_waiting").set(summary.queued_requests as f64);
        metrics::gauge!("medlarproxy_buffer_bytes").set(self.inner.buffers.used_bytes() as f64);
        metrics::gauge!("medlarproxy_targets").set(summary.known_targets as f64);
        metrics::gauge!("medlarproxy_quarantines").set(summary.quarantines as f64);
        let version = summary.config_version.unwrap_or_default();
        metrics::gauge!("medlarproxy_configuration_version").set(version as f64);
        metrics::gauge!("medlarproxy_configuration_keys").set(summary.config_keys as f64);
        let asks_for_keys = f64::from(u8::from(summary.asks_for_keys));
        metrics::gauge!("medlarproxy_configuration_asks_for_keys").set(asks_for_keys);
        let age = summary.lease_age.unwrap_or(Duration::MAX);
        metrics::gauge!("medlarproxy_configuration_age_seconds").set(age.as_secs_f64());
        self.update_limit_gauges();
    }

    fn update_limit_gauges(&self) {
        let now = self.inner.clock.now().elapsed;
        let limits = self.inner.state.borrow().learned_limits(now);
        let mut reported = self.inner.reported_limits.borrow_mut();
        let mut old = std::mem::take(&mut *reported);
        for (target, status) in limits {
            capacity_metrics::update_gauges(&target, &status);
            old.remove(&target);
            reported.insert(target);
        }
        for target in old {
            capacity_metrics::clear_gauges(&target);
        }
    }

    fn execute(&self, config_version: u64, effect: Effect) {
        match effect {
            Effect::Reserve(token, request) => self.send_command(token, Command::Reserve(request)),
            Effect::Forward(token, request) => self.send_command(token, Command::Forward(request)),
            Effect::ScheduleQueueTimeout(token, until) => {
                self.send_command(token, Command::WaitUntil(until))
            }
            Effect::Reject(token, rejection) => {
                self.send_command(token, Command::Reject(rejection));
            }
            Effect::KeepTarget(token) => self.send_command(token, Command::KeepTarget),
            Effect::ObservePath(region, time) => {
                let region = region.to_string();
                metrics::histogram!("medlarproxy_path_seconds", "region" => region)
                    .record(time.as_secs_f64());
            }
            Effect::Record(decision) => {
                count_without_key(&decision);
                self.inner.record_writer.record(config_version, decision);
            }
        }
    }

    fn send_command(&self, token: u64, command: Command) {
        if let Some(tx) = self.inner.requests.borrow().get(&token) {
            // If the task has ended, it reports that to the reducer itself.
            let _ended = tx.send(command);
        }
    }
}

/// Counts a request that is sent without the key of a team.
fn count_without_key(decision: &record::Decision) {
    if let record::Decision::Forward {
        without_key: Some(reason),
        ..
    } = decision
    {
        let reason = reason.to_string();
        metrics::counter!("medlarproxy_requests_without_key_total", "reason" => reason)
            .increment(1);
    }
}

/// Counts the time in which this process should have run and did not, or was busy with something else.
fn record_standstill(time: Duration) {
    if time >= MIN_STANDSTILL {
        metrics::counter!("medlarproxy_standstills_total").increment(1);
        metrics::histogram!("medlarproxy_standstill_seconds").record(time.as_secs_f64());
    }
    if time >= MIN_LOGGED_STANDSTILL {
        log::warn!("this process stood still for {} ms", time.as_millis());
    }
}

fn to_event(
    value: PublishedValue,
    grace: Grace,
    published_after: Option<Duration>,
) -> Option<Event> {
    let event = match value {
        PublishedValue::Config(config) => Event::ConfigRead(config),
        PublishedValue::Target(entry) => Event::TargetListed(entry),
        PublishedValue::RestoredTarget(entry) => Event::TargetRestored(entry),
        PublishedValue::TargetRemoved(id) => Event::TargetUnlisted { id, grace },
        PublishedValue::DataCentreDisabled(name) => Event::DataCentreState { name, is_out: true },
        PublishedValue::DataCentreEnabled(name) => Event::DataCentreState {
            name,
            is_out: false,
        },
        PublishedValue::ModelVersion(model, version) => Event::VersionNamed {
            model,
            version,
            // A version found at the start may have been named at any earlier time.
            age: published_after.map(|_| Duration::ZERO),
            published_after,
        },
        PublishedValue::Unreadable(_) | PublishedValue::Withdrawn(_) => return None,
    };
    Some(event)
}
