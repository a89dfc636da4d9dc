//! The traffic of a process that forwards callers' requests straight to targets.
//!
//! One thread runs the reducer and carries the bytes: an instance of this role has a fifth of a
//! core, and every hand-over to another thread costs a wake-up.

mod answers;
mod calls;
mod dialect;
mod engines;
mod events;
mod exchange;
mod places;
mod pool;
mod serving;
mod streams;

use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use control::router::config::CallerLimits;
use control::router::{
    Effect,
    Event,
    Rejection,
    Reserve,
    Send,
    State,
    Summary, //
};
use tokio::sync::mpsc;
use utils::clock::Clock;

use crate::feed::{
    Fact,
    Told, //
};
use crate::journal::Journal;

use self::places::Place;
use self::pool::Pool;

pub use dialect::{
    AnswerHead,
    Attempt,
    CallerHead,
    Dialect,
    Verdict, //
};
pub use engines::{
    watch_engines,
    Agents, //
};
pub use events::{
    Cut,
    Events, //
};
pub use serving::{
    drain,
    serve,
    serve_ready,
    Stop, //
};

/// How often the reducer looks at the time by itself.
pub const TICK: Duration = Duration::from_millis(100);

/// What the reducer says to a request under way.
#[derive(Debug)]
enum Command {
    Reserve(Reserve),
    Send(Send),
    Wait(Duration),
    Reject(Rejection),
}

/// A running router. Clones share it.
#[derive(Clone)]
pub struct Router {
    inner: Rc<Inner>,
}

struct Inner {
    state: RefCell<State>,
    calls: RefCell<HashMap<u64, mpsc::UnboundedSender<Command>>>,
    next_token: Cell<u64>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    dialect: Dialect,
    pool: Pool,
    agents: Agents,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").finish_non_exhaustive()
    }
}

impl Router {
    /// Makes a router that serves nobody yet.
    pub fn new(
        state: State,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        dialect: Dialect,
        agents: Agents,
    ) -> Self {
        let inner = Inner {
            state: RefCell::new(state),
            calls: RefCell::default(),
            next_token: Cell::new(0),
            pool: Pool::new(clock.clone()),
            clock,
            journal,
            dialect,
            agents,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Tells the reducer of an event and carries out what it asks for.
    pub fn tell(&self, event: Event) {
        let now = self.inner.clock.now();
        let (effects, sheet) = {
            let mut state = self.inner.state.borrow_mut();
            let effects = state.step(now, event);
            (effects, state.config_version())
        };
        for effect in effects {
            self.apply(sheet, effect);
        }
    }

    /// What gauges and the readiness check show.
    pub fn summary(&self) -> Summary {
        let now = self.inner.clock.now().elapsed;
        self.inner.state.borrow().summary(now)
    }

    /// What operators allow callers.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.inner.state.borrow().caller_limits()
    }

    /// Tells the reducer that time passes, for as long as the future is polled.
    pub async fn keep_time(&self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.tell(Event::Tick);
            self.inner.pool.expire();
            self.show_gauges();
        }
    }

    /// Takes what the feed says.
    pub fn hear(&self, told: Told) {
        let event = match told {
            Told::Fact {
                fact,
                grace,
                at_start,
            } => fact_event(fact, grace, at_start),
            Told::AllTargets { names, grace } => Event::ListedAll { names, grace },
            Told::Current(sent) => Event::Current(sent),
            Told::Source { up, detail } => {
                let name = "platform".into();
                self.record(record::Decision::Dependency { name, up, detail });
                return;
            }
        };
        self.tell(event);
    }

    /// Writes a line of the record.
    pub fn record(&self, decision: record::Decision) {
        let sheet = self.inner.state.borrow().config_version();
        self.inner.journal.record(sheet, decision);
    }

    fn show_gauges(&self) {
        let summary = self.summary();
        metrics::gauge!("medlarproxy_requests_under_way").set(summary.pending as f64);
        metrics::gauge!("medlarproxy_requests_waiting").set(summary.waiting as f64);
        metrics::gauge!("medlarproxy_targets").set(summary.targets as f64);
        let version = summary.config.unwrap_or_default();
        metrics::gauge!("medlarproxy_configuration_version").set(version as f64);
        let age = summary.lease_age.unwrap_or(Duration::MAX);
        metrics::gauge!("medlarproxy_configuration_age_seconds").set(age.as_secs_f64());
    }

    fn apply(&self, sheet: u64, effect: Effect) {
        match effect {
            Effect::Reserve(token, reserve) => self.command(token, Command::Reserve(reserve)),
            Effect::Send(token, send) => self.command(token, Command::Send(send)),
            Effect::Wait(token, until) => self.command(token, Command::Wait(until)),
            Effect::Reject(token, rejection) => self.command(token, Command::Reject(rejection)),
            Effect::Record(decision) => self.inner.journal.record(sheet, decision),
        }
    }

    fn command(&self, token: u64, command: Command) {
        if let Some(tx) = self.inner.calls.borrow().get(&token) {
            // A request that left tells the reducer so itself.
            let _left = tx.send(command);
        }
    }
}

fn fact_event(fact: Fact, grace: Duration, at_start: bool) -> Event {
    match fact {
        Fact::Config(config) => Event::Config(config),
        Fact::Target(entry) => Event::Listed(entry),
        Fact::NoTarget(id) => Event::Unlisted { id, grace },
        Fact::Out(name) => Event::DataCentre { name, out: true },
        Fact::In(name) => Event::DataCentre { name, out: false },
        Fact::Version(model, version) => Event::Version {
            model,
            version,
            // What was there at the start may have been named at any time before.
            age: (!at_start).then_some(Duration::ZERO),
        },
    }
}
