//! The process beside a target.

mod effects;
mod pieces;
mod serving;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use control::agent::{
    Ended,
    Event,
    Options,
    State, //
};
use protocol::{
    Envelope,
    Outcome,
    Reply,
    Request,
    Ticket, //
};
use record::Line;
use tokio::net::TcpListener;
use tokio::sync::{
    oneshot,
    Notify, //
};
use utils::Name;
use weights::{
    Denial,
    Piece, //
};
use wire::Responder;

use crate::error::ProxyError;
use crate::links::Links;
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
use crate::store::Store;
use crate::target::Target;

/// What an agent is started with.
#[derive(Clone)]
pub struct Setup {
    /// What every process is started with.
    pub base: Base,
    /// The options of its reducer.
    pub options: Options,
    /// The address of the target.
    pub target: SocketAddr,
    /// The address of the weight store.
    pub origin: Option<SocketAddr>,
    /// The links of the instance.
    pub links: Links,
}

/// What a waiting request is told by the control thread.
#[derive(Debug)]
enum Verdict {
    Run { version: Option<Name>, start: u64 },
    Refuse(Outcome),
    Upload,
    Deny(Denial),
    Ticket(Ticket),
}

/// The parts of an agent that its tasks share.
struct Inner {
    node: Node<State, Event>,
    target: Target,
    origin: Option<SocketAddr>,
    http: HttpClient,
    store: Store,
    links: Links,
    tokens: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
    cancels: Mutex<HashMap<u64, Arc<Notify>>>,
    draws: Mutex<HashMap<Piece, tokio::task::AbortHandle>>,
    exited: Notify,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    inner: Arc<Inner>,
    listener: Arc<tokio::task::JoinHandle<()>>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent")
            .field("identity", &self.inner.node.identity)
            .finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent that answers other processes on `listener`.
    pub fn start(
        setup: Setup,
        listener: TcpListener,
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
            clock.now(),
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
            target: Target {
                http: http.clone(),
                address: setup.target,
            },
            origin: setup.origin,
            http,
            store: Store::default(),
            links: setup.links,
            tokens: AtomicU64::new(0),
            waiting: Mutex::default(),
            cancels: Mutex::default(),
            draws: Mutex::default(),
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
        let serve = wire::serve(listener, move |request, responder| {
            answers.clone().answer(request, responder)
        });
        Ok(Self {
            inner,
            listener: Arc::new(tokio::spawn(serve)),
        })
    }

    /// The control thread.
    pub fn control(&self) -> &Control<State, Event> {
        &self.inner.node.control
    }

    /// The pieces that are held.
    pub fn store(&self) -> &Store {
        &self.inner.store
    }

    /// Who the agent is.
    pub fn identity(&self) -> &Identity {
        &self.inner.node.identity
    }

    /// The last lines of the record, the newest last.
    pub fn recent(&self) -> Vec<Line> {
        self.inner.node.recent()
    }

    /// Takes no more work, and waits until what runs has ended.
    pub async fn drain(&self) {
        let exited = self.inner.exited.notified();
        self.control().send(Event::Drain);
        exited.await;
    }

    /// Ends the process at once, as a crash would.
    pub fn kill(&self) {
        self.listener.abort();
        self.control().stop();
        let draws = std::mem::take(&mut *lock(&self.inner.draws));
        for draw in draws.into_values() {
            draw.abort();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that waits for the control thread. Dropping it tells the control thread so, with the
/// event that is due then.
struct Pending {
    inner: Arc<Inner>,
    token: u64,
    rx: oneshot::Receiver<Verdict>,
    on_drop: Option<fn(u64) -> Event>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        lock(&self.inner.waiting).remove(&self.token);
        if let Some(event) = self.on_drop {
            self.inner.node.control.send(event(self.token));
        }
    }
}

impl Inner {
    fn pend(self: &Arc<Self>, on_drop: Option<fn(u64) -> Event>) -> Pending {
        let token = self.tokens.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(token, tx);
        Pending {
            inner: self.clone(),
            token,
            rx,
            on_drop,
        }
    }

    /// Passes the control thread's word to the request that waits for it.
    fn decide(&self, token: u64, verdict: Verdict) {
        let waiting = lock(&self.waiting).remove(&token);
        let left = match waiting {
            Some(tx) => tx.send(verdict).err(),
            None => Some(verdict),
        };
        if let Some(Verdict::Run { .. }) = left {
            // It left just before it was let in, so nothing went to the target.
            self.node
                .control
                .send(Event::Ended(token, Ended::NotStarted));
        }
    }

    async fn answer(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        let Some((request, responder)) = self.node.answer(request, responder).await else {
            return;
        };
        match request.body {
            Request::Piece {
                manifest,
                piece,
                wait,
            } => {
                let from = request.from;
                self.answer_piece(from, manifest, piece, wait, responder)
                    .await;
            }
            Request::Status => {
                let status = |state: &State, now: utils::clock::Now| state.status(now.elapsed);
                if let Some(status) = self.node.control.query(status).await {
                    self.node.finish(responder, Reply::Status(status)).await;
                }
            }
            Request::Ticket => {
                let pending = self.pend(None);
                self.node.control.send(Event::TicketAsked(pending.token));
                self.answer_ticket(pending, responder).await;
            }
            Request::Serve(serve) => self.serve(serve, responder).await,
            _ => self.node.finish(responder, Reply::Unsupported).await,
        }
    }

    async fn answer_ticket(&self, mut pending: Pending, responder: Responder) {
        if let Ok(Verdict::Ticket(ticket)) = (&mut pending.rx).await {
            self.node.finish(responder, Reply::Ticket(ticket)).await;
        }
    }
}
