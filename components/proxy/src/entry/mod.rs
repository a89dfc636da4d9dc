//! The process that serves callers.

mod answer;
mod callers;
mod effects;
mod pump;
mod request;

use std::collections::HashMap;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use control::entry::{
    Event,
    Options,
    Rejection,
    State, //
};
use protocol::{
    Envelope,
    Reply,
    Request, //
};
use rand::Rng;
use record::Line;
use tokio::net::TcpListener;
use tokio::sync::{
    mpsc,
    Notify, //
};
use utils::Name;
use wire::Responder;

use crate::error::ProxyError;
use crate::node::{
    Base,
    Hooks,
    Identity,
    Node, //
};
use crate::platform::HttpClient;
use crate::reactor::{
    control_channel,
    Control,
    Reactor, //
};

pub use request::CallerOptions;

/// What an entry is started with.
#[derive(Clone)]
pub struct Setup {
    /// What every process is started with.
    pub base: Base,
    /// The options of its reducer.
    pub options: Options,
    /// Bounds on callers' requests.
    pub callers: CallerOptions,
}

/// What a request under way is told by the control thread.
#[derive(Debug)]
enum Command {
    Send {
        target: Name,
        suspect: bool,
        timeout: Duration,
    },
    Reject(Rejection),
    Done,
    Abandon,
}

/// The parts of an entry that its tasks share.
struct Inner {
    node: Node<State, Event>,
    callers: CallerOptions,
    tokens: AtomicU64,
    calls: Mutex<HashMap<u64, mpsc::UnboundedSender<Command>>>,
    exited: Notify,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
    tasks: Arc<Vec<tokio::task::JoinHandle<()>>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("identity", &self.inner.node.identity)
            .finish_non_exhaustive()
    }
}

/// How long an entry that has ended every request leaves its connections open to send the rest.
const FLUSH_TIME: Duration = Duration::from_millis(300);

impl Entry {
    /// Starts an entry that answers other processes on `peers` and callers on `callers`.
    pub fn start(
        setup: Setup,
        peers: TcpListener,
        callers: TcpListener,
        http: HttpClient,
    ) -> Result<Self, ProxyError> {
        let (control, inbox) = control_channel();
        let base = setup.base;
        let (clock, tick) = (base.clock.clone(), base.tick);
        let identity = base.identity.clone();
        let state = State::new(
            identity.instance.clone(),
            identity.data_centre.clone(),
            identity.incarnation,
            setup.options,
        );
        let hooks = Hooks {
            follow: State::follower,
            news: State::news,
            follow_event: Event::Follow,
            heartbeat_event: Event::Heartbeat,
            silent_event: Event::Silent,
        };
        let node = Node::new(base, http.clone(), control, hooks);
        let inner = Arc::new(Inner {
            callers: setup.callers,
            tokens: AtomicU64::new(0),
            calls: Mutex::default(),
            exited: Notify::new(),
            node,
        });
        let reactor = Reactor {
            name: format!("control-{}", inner.node.identity.instance),
            clock,
            tick,
            state,
            step: State::step,
            tick_event: || Event::Tick,
        };
        let effects = inner.clone();
        reactor.start(inbox, move |state, now, effect| {
            effects.apply(state, now, effect);
        })?;
        let answers = inner.clone();
        let peers = tokio::spawn(wire::serve(peers, move |request, responder| {
            answers.clone().answer(request, responder)
        }));
        let callers = tokio::spawn(callers::serve(callers, inner.clone()));
        Ok(Self {
            inner,
            tasks: Arc::new(vec![peers, callers]),
        })
    }

    /// The control thread.
    pub fn control(&self) -> &Control<State, Event> {
        &self.inner.node.control
    }

    /// The key under which a prompt finds its target.
    pub fn prefix_key(&self, prompt: &str) -> u64 {
        request::prefix_key(prompt, self.inner.callers.prefix_bytes)
    }

    /// Who the entry is.
    pub fn identity(&self) -> &Identity {
        &self.inner.node.identity
    }

    /// The last lines of the record, the newest last.
    pub fn recent(&self) -> Vec<Line> {
        self.inner.node.recent()
    }

    /// Takes no more requests, and waits until those under way have ended.
    pub async fn drain(&self) {
        let exited = self.inner.exited.notified();
        self.control().send(Event::Drain);
        exited.await;
        tokio::time::sleep(FLUSH_TIME).await;
    }

    /// Ends the process at once, as a crash would.
    pub fn kill(&self) {
        for task in self.tasks.iter() {
            task.abort();
        }
        self.control().stop();
        // Requests under way see their channel close.
        lock(&self.inner.calls).clear();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request under way; dropping it tells the control thread that the caller is gone.
struct Ongoing {
    inner: Arc<Inner>,
    token: u64,
    rx: mpsc::UnboundedReceiver<Command>,
}

impl Drop for Ongoing {
    fn drop(&mut self) {
        lock(&self.inner.calls).remove(&self.token);
        self.inner.node.control.send(Event::Gone(self.token));
    }
}

impl Inner {
    fn begin(self: &Arc<Self>) -> Ongoing {
        let token = self.tokens.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.calls).insert(token, tx);
        Ongoing {
            inner: self.clone(),
            token,
            rx,
        }
    }

    fn command(&self, token: u64, command: Command) {
        if let Some(tx) = lock(&self.calls).get(&token) {
            // A request that left tells the control thread so itself.
            let _left = tx.send(command);
        }
    }

    /// A number for a request that other processes do not use at the same time.
    fn request_id(&self) -> u64 {
        rand::rng().random()
    }

    async fn answer(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        if let Some((_, responder)) = self.node.answer(request, responder).await {
            self.node.finish(responder, Reply::Unsupported).await;
        }
    }
}
