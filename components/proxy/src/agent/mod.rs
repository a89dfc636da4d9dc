//! The agent: the process beside a target. Forwards requests to the target and distributes the
//! weights of its model.

mod effects;
mod pieces;
mod serving;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use control::agent::{
    Event,
    Options,
    RunResult,
    State, //
};
use protocol::{
    Envelope,
    Outcome,
    Reply,
    Request,
    Ticket, //
};
use record::RecordLine;
use tokio::net::TcpListener;
use tokio::sync::{
    oneshot,
    watch,
    Notify, //
};
use utils::Name;
use weights::{
    Denial,
    Piece, //
};
use wire::Responder;

use crate::control_thread::{
    control_channel,
    ControlHandle,
    ControlThread, //
};
use crate::error::ProxyError;
use crate::links::Links;
use crate::node::{
    Identity,
    Node,
    ProcessOptions,
    RoleAdapter, //
};
use crate::platform_client::HttpClient;
use crate::store::PieceStore;
use crate::target::TargetClient;

/// The parameters of [`Agent::start`].
#[derive(Clone)]
pub struct Setup {
    /// The parameters that entries and agents share.
    pub process_options: ProcessOptions,
    /// The options of the reducer.
    pub options: Options,
    /// The address of the target.
    pub target_address: SocketAddr,
    /// The address of the weight store, which is the origin of all pieces.
    pub origin_address: Option<SocketAddr>,
    /// The rate limiters of the network links of the instance.
    pub links: Links,
}

/// The reply of the control thread to a pending request.
#[derive(Debug)]
enum ControlReply {
    Run {
        version: Option<Name>,
        start_count: u64,
    },
    Refuse(Outcome),
    Upload,
    Deny(Denial),
    Ticket(Ticket),
}

/// The state that the tasks of an agent share.
struct Inner {
    node: Node<State, Event>,
    target: TargetClient,
    origin: Option<SocketAddr>,
    http: HttpClient,
    store: PieceStore,
    links: Links,
    next_token: AtomicU64,
    reply_senders: Mutex<HashMap<u64, oneshot::Sender<ControlReply>>>,
    cancel_signals: Mutex<HashMap<u64, Arc<Notify>>>,
    fetches: Mutex<HashMap<Piece, tokio::task::AbortHandle>>,
    /// Whether all requests have ended after a drain.
    drained: watch::Sender<bool>,
    /// Whether the target has returned the id of a request in a response.
    target_returns_ids: AtomicBool,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    inner: Arc<Inner>,
    listener_task: Arc<tokio::task::JoinHandle<()>>,
}

impl std::fmt::Debug for Agent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agent")
            .field("identity", &self.inner.node.identity)
            .finish_non_exhaustive()
    }
}

impl Agent {
    /// Starts an agent that serves the requests of other processes on `listener`.
    pub fn start(
        setup: Setup,
        listener: TcpListener,
        http: HttpClient,
    ) -> Result<Self, ProxyError> {
        let (control, inbox) = control_channel();
        let process_options = setup.process_options;
        let (clock, tick_interval) = (process_options.clock.clone(), process_options.tick_interval);
        let identity = process_options.identity.clone();
        let state = State::new(
            identity.instance.clone(),
            identity.data_centre.clone(),
            identity.incarnation,
            setup.options,
            clock.now(),
        );
        let role_adapter = RoleAdapter {
            follower: State::follower,
            heartbeat: State::heartbeat,
            follower_event: Event::Follow,
            heartbeat_event: Event::Heartbeat,
            heartbeat_failed_event: Event::HeartbeatFailed,
        };
        let node = Node::new(process_options, http.clone(), control, role_adapter);
        let inner = Arc::new(Inner {
            target: TargetClient {
                http: http.clone(),
                address: setup.target_address,
            },
            origin: setup.origin_address,
            http,
            store: PieceStore::default(),
            links: setup.links,
            next_token: AtomicU64::new(0),
            reply_senders: Mutex::default(),
            cancel_signals: Mutex::default(),
            fetches: Mutex::default(),
            drained: watch::Sender::new(false),
            target_returns_ids: AtomicBool::new(false),
            node,
        });
        let control_thread = ControlThread {
            name: format!("control-{}", inner.node.identity.instance),
            clock,
            tick_interval,
            state,
            reducer: State::step,
            tick_event: || Event::Tick,
        };
        let effect_handler = inner.clone();
        control_thread.start(inbox, move |state, now, effect| {
            effect_handler.execute(state, now, effect);
        })?;
        let request_handler = inner.clone();
        let server = wire::serve(listener, move |request, responder| {
            request_handler.clone().handle_request(request, responder)
        });
        Ok(Self {
            inner,
            listener_task: Arc::new(tokio::spawn(server)),
        })
    }

    /// The handle to the control thread.
    pub fn control(&self) -> &ControlHandle<State, Event> {
        &self.inner.node.control
    }

    /// The weight pieces that the agent holds.
    pub fn store(&self) -> &PieceStore {
        &self.inner.store
    }

    /// The instance, data centre and incarnation of the agent.
    pub fn identity(&self) -> &Identity {
        &self.inner.node.identity
    }

    /// The most recent lines of the decision record, oldest first.
    pub fn recent_lines(&self) -> Vec<RecordLine> {
        self.inner.node.recent_lines()
    }

    /// Stops accepting requests and waits until the running ones have ended.
    pub async fn drain(&self) {
        self.control().send(Event::DrainRequested);
        self.wait_until_drained().await;
    }

    /// Waits until a drain, whoever asked for it, has ended.
    pub async fn wait_until_drained(&self) {
        let mut drained = self.inner.drained.subscribe();
        // Cannot fail: `inner` holds the sender.
        drop(drained.wait_for(|is_drained| *is_drained).await);
    }

    /// Stops the agent immediately without draining, as a crash would.
    pub fn kill(&self) {
        self.listener_task.abort();
        self.control().stop();
        let fetches = std::mem::take(&mut *lock(&self.inner.fetches));
        for fetch in fetches.into_values() {
            fetch.abort();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request that waits for a reply of the control thread. On drop it sends the event that
/// `drop_event` makes from its token.
struct PendingRequest {
    inner: Arc<Inner>,
    token: u64,
    reply: oneshot::Receiver<ControlReply>,
    drop_event: Option<fn(u64) -> Event>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        lock(&self.inner.reply_senders).remove(&self.token);
        if let Some(event) = self.drop_event {
            self.inner.node.control.send(event(self.token));
        }
    }
}

impl Inner {
    /// Allocates a token and a reply channel for a request.
    fn register_request(self: &Arc<Self>, drop_event: Option<fn(u64) -> Event>) -> PendingRequest {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = oneshot::channel();
        lock(&self.reply_senders).insert(token, sender);
        PendingRequest {
            inner: self.clone(),
            token,
            reply,
            drop_event,
        }
    }

    /// Sends a reply of the control thread to the pending request.
    fn send_reply(&self, token: u64, reply: ControlReply) {
        let sender = lock(&self.reply_senders).remove(&token);
        let undelivered = match sender {
            Some(sender) => sender.send(reply).err(),
            None => Some(reply),
        };
        if let Some(ControlReply::Run { .. }) = undelivered {
            // The request was dropped just before it was admitted, so nothing was sent to the
            // target.
            self.node
                .control
                .send(Event::RequestEnded(token, RunResult::NotStarted));
        }
    }

    async fn handle_request(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        let Some((request, responder)) = self.node.handle_shared_request(request, responder).await
        else {
            return;
        };
        match request.body {
            Request::Piece {
                manifest,
                piece,
                wait,
            } => {
                let sender = request.sender;
                self.handle_piece_request(sender, manifest, piece, wait, responder)
                    .await;
            }
            Request::Status => {
                let status =
                    |state: &State, now: utils::clock::ClockReading| state.status(now.elapsed);
                if let Some(status) = self.node.control.query(status).await {
                    self.node.send_reply(responder, Reply::Status(status)).await;
                }
            }
            Request::Ticket => {
                let pending = self.register_request(None);
                self.node
                    .control
                    .send(Event::TicketRequested(pending.token));
                self.handle_ticket_request(pending, responder).await;
            }
            Request::Serve(serve_request) => {
                self.handle_serve_request(serve_request, responder).await
            }
            _ => self.node.send_reply(responder, Reply::Unsupported).await,
        }
    }

    async fn handle_ticket_request(&self, mut pending: PendingRequest, responder: Responder) {
        if let Ok(ControlReply::Ticket(ticket)) = (&mut pending.reply).await {
            self.node.send_reply(responder, Reply::Ticket(ticket)).await;
        }
    }
}
