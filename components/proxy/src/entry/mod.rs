//! The entry: the process that accepts callers' HTTP requests and forwards them to agents.

mod caller_connection;
mod caller_server;
mod effects;
mod error_response;
mod forwarder;
mod request;

use std::collections::HashMap;
use std::sync::atomic::{
    AtomicU64,
    AtomicUsize,
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
use record::RecordLine;
use tokio::net::TcpListener;
use tokio::sync::{
    mpsc,
    watch, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use utils::Name;
use wire::Responder;

use crate::buffers::Buffers;
use crate::control_thread::{
    control_channel,
    ControlHandle,
    ControlThread, //
};
use crate::error::ProxyError;
use crate::node::{
    Identity,
    Node,
    ProcessOptions,
    RoleAdapter, //
};
use crate::platform_client::HttpClient;

pub use request::CallerOptions;

/// The parameters of [`Entry::start`].
#[derive(Clone)]
pub struct Setup {
    /// The parameters that entries and agents share.
    pub process_options: ProcessOptions,
    /// The options of the reducer.
    pub options: Options,
    /// The limits on callers' requests.
    pub callers: CallerOptions,
}

/// A command of the control thread to the task of an active request.
#[derive(Debug)]
enum Command {
    Send {
        target: Name,
        suspect: bool,
        timeout: Duration,
    },
    Reject(Rejection),
    /// End the response, which is complete.
    Complete,
    /// Continue with the silent agent, which no other target replaces.
    KeepTarget,
    /// Stop waiting for the agent.
    StopWaiting,
}

/// The state that the tasks of an entry share.
struct Inner {
    node: Node<State, Event>,
    callers: CallerOptions,
    /// The bodies of all requests.
    buffers: Buffers,
    next_token: AtomicU64,
    command_senders: Mutex<HashMap<u64, mpsc::UnboundedSender<Command>>>,
    /// Whether the connections of callers are to end.
    closing: watch::Sender<bool>,
    /// The connections of callers that were accepted before.
    open_connections: AtomicUsize,
    /// Whether all requests have ended after a drain.
    drained: watch::Sender<bool>,
}

/// Counts as a connection until it is dropped.
struct OpenConnection(Arc<Inner>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    inner: Arc<Inner>,
    listener_tasks: Arc<Vec<tokio::task::JoinHandle<()>>>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry")
            .field("identity", &self.inner.node.identity)
            .finish_non_exhaustive()
    }
}

/// How long a drained entry runs at least, to answer callers that have just connected.
const MIN_DRAINED_TIME: Duration = Duration::from_millis(300);

/// How long a drained entry runs at most to send the rest of the last responses.
const MAX_DRAINED_TIME: Duration = Duration::from_secs(5);

/// How often a drained entry checks whether its connections have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Entry {
    /// Starts an entry that serves other processes on `peer_listener` and callers on
    /// `caller_listener`.
    pub fn start(
        setup: Setup,
        peer_listener: TcpListener,
        caller_listener: TcpListener,
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
            buffers: Buffers::new(setup.callers.max_buffer_bytes),
            callers: setup.callers,
            next_token: AtomicU64::new(0),
            command_senders: Mutex::default(),
            closing: watch::Sender::new(false),
            open_connections: AtomicUsize::new(0),
            drained: watch::Sender::new(false),
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
        let peer_task = tokio::spawn(wire::serve(peer_listener, move |request, responder| {
            request_handler.clone().handle_request(request, responder)
        }));
        let caller_task = tokio::spawn(caller_server::serve(caller_listener, inner.clone()));
        Ok(Self {
            inner,
            listener_tasks: Arc::new(vec![peer_task, caller_task]),
        })
    }

    /// The handle to the control thread.
    pub fn control(&self) -> &ControlHandle<State, Event> {
        &self.inner.node.control
    }

    /// The routing key of `prompt`: a hash of its first bytes.
    pub fn prefix_key(&self, prompt: &str) -> u64 {
        request::prefix_key(prompt, self.inner.callers.prefix_bytes)
    }

    /// The instance, data centre and incarnation of the entry.
    pub fn identity(&self) -> &Identity {
        &self.inner.node.identity
    }

    /// The most recent lines of the decision record, oldest first.
    pub fn recent_lines(&self) -> Vec<RecordLine> {
        self.inner.node.recent_lines()
    }

    /// Stops accepting requests and waits until the active ones have ended and their callers have the responses.
    pub async fn drain(&self) {
        self.control().send(Event::DrainRequested);
        self.wait_until_drained().await;
    }

    /// Waits until a drain, whoever asked for it, has ended.
    pub async fn wait_until_drained(&self) {
        let mut drained = self.inner.drained.subscribe();
        // Cannot fail: `inner` holds the sender.
        drop(drained.wait_for(|is_drained| *is_drained).await);
        let delivered = async {
            sleep(MIN_DRAINED_TIME).await;
            while self.inner.open_connections.load(Ordering::Relaxed) > 0 {
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        if timeout(MAX_DRAINED_TIME, delivered).await.is_err() {
            log::warn!("the process ends while callers still receive responses");
        }
    }

    /// Stops the entry immediately without draining, as a crash would.
    pub fn kill(&self) {
        for task in self.listener_tasks.iter() {
            task.abort();
        }
        self.control().stop();
        // Closes the command channels, which ends the tasks of the active requests.
        lock(&self.inner.command_senders).clear();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An active request. On drop it reports to the control thread that the caller is gone.
struct ActiveRequest {
    inner: Arc<Inner>,
    token: u64,
    commands: mpsc::UnboundedReceiver<Command>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        lock(&self.inner.command_senders).remove(&self.token);
        self.inner
            .node
            .control
            .send(Event::CallerDisconnected(self.token));
    }
}

impl Inner {
    /// Allocates a token and a command channel for a request.
    fn register_request(self: &Arc<Self>) -> ActiveRequest {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let (sender, commands) = mpsc::unbounded_channel();
        lock(&self.command_senders).insert(token, sender);
        ActiveRequest {
            inner: self.clone(),
            token,
            commands,
        }
    }

    fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    fn count_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.clone())
    }

    fn send_command(&self, token: u64, command: Command) {
        if let Some(sender) = lock(&self.command_senders).get(&token) {
            // A request that has ended reports so itself when it is dropped.
            let _ended = sender.send(command);
        }
    }

    /// Returns a random request id, so that the ids of different processes do not collide.
    fn new_request_id(&self) -> u64 {
        rand::rng().random()
    }

    async fn handle_request(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        if let Some((_, responder)) = self.node.handle_shared_request(request, responder).await {
            self.node.send_reply(responder, Reply::Unsupported).await;
        }
    }
}
