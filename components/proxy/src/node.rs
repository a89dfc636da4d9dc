//! What entries and agents share: following the configuration sheet, heartbeats, and replies to
//! neighbours.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    RwLock, //
};
use std::time::Duration;

use bytes::Bytes;
use control::{
    follow,
    Follow,
    Members, //
};
use protocol::{
    Envelope,
    Heartbeat,
    Reply,
    Request, //
};
use record::{
    Decision,
    RecordChain,
    RecordLine, //
};
use tokio::runtime::Handle;
use utils::clock::{
    Clock,
    ClockReading, //
};
use utils::Name;
use wire::{
    CallReply,
    Pool,
    PoolOptions,
    Responder,
    WireError, //
};

use crate::error::ProxyError;
use crate::platform::{
    HttpClient,
    PlatformClient, //
};
use crate::reactor::Control;

/// How long a neighbour may take to reply to a heartbeat or a request for configuration.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_secs(1);

/// Receives the lines of the decision record.
pub type Sink = Arc<dyn Fn(&RecordLine) + Send + Sync>;

/// Identifies a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of its instance.
    pub instance: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// A number that differs from those of earlier processes on the instance.
    pub incarnation: u64,
}

/// The options of every process.
#[derive(Clone)]
pub struct Base {
    /// Identifies the process.
    pub identity: Identity,
    /// The address of the configuration service.
    pub service: SocketAddr,
    /// The address of the list of instances.
    pub list: SocketAddr,
    /// How often the reducer gets a tick event.
    pub tick: Duration,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Options of the connections to other processes.
    pub pool: PoolOptions,
    /// Receives the lines of the decision record.
    pub sink: Sink,
}

/// Versions and addresses that I/O tasks read without asking the control thread.
#[derive(Debug, Default)]
pub(crate) struct SharedConfig {
    sheet_version: AtomicU64,
    list_revision: AtomicU64,
    members: RwLock<Arc<Members>>,
}

impl SharedConfig {
    /// The version of the sheet in force.
    pub fn sheet(&self) -> u64 {
        self.sheet_version.load(Ordering::Relaxed)
    }

    /// The list of instances.
    pub fn members(&self) -> Arc<Members> {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        members.clone()
    }

    fn publish(&self, follow: &Follow, list_changed: bool) {
        let version = follow.acceptance().version();
        self.sheet_version.store(version, Ordering::Relaxed);
        if list_changed {
            let members = Arc::new(follow.members().clone());
            let revision = members.revision();
            self.list_revision.store(revision, Ordering::Relaxed);
            *self.members.write().unwrap_or_else(PoisonError::into_inner) = members;
        }
    }
}

/// Gives `Node` access to the state and events of a role (entry or agent).
pub(crate) struct Hooks<S, E> {
    pub follow: fn(&S) -> &Follow,
    pub news: fn(&S, Duration) -> Heartbeat,
    pub follow_event: fn(follow::Event) -> E,
    pub heartbeat_event: fn(Name, Heartbeat) -> E,
    pub silent_event: fn(Name) -> E,
}

impl<S, E> Clone for Hooks<S, E> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S, E> Copy for Hooks<S, E> {}

/// The part of a process that entries and agents share.
pub(crate) struct Node<S, E> {
    pub identity: Identity,
    pub clock: Arc<dyn Clock>,
    pub runtime: Handle,
    pub pool: Pool,
    pub platform: PlatformClient,
    pub shared: Arc<SharedConfig>,
    pub control: Control<S, E>,
    pub hooks: Hooks<S, E>,
    decision_log: Arc<Mutex<DecisionLog>>,
    pub sink: Sink,
}

/// How many lines of the record are kept in memory for operators.
const MAX_RECENT_LINES: usize = 256;

/// The hash chain of the decision record, and its latest lines.
#[derive(Debug)]
struct DecisionLog {
    chain: RecordChain,
    recent_lines: VecDeque<RecordLine>,
}

impl DecisionLog {
    fn new(identity: &Identity) -> Self {
        Self {
            chain: RecordChain::new(identity.instance.clone(), identity.incarnation),
            recent_lines: VecDeque::new(),
        }
    }
}

impl<S, E> Clone for Node<S, E> {
    fn clone(&self) -> Self {
        Self {
            identity: self.identity.clone(),
            clock: self.clock.clone(),
            runtime: self.runtime.clone(),
            pool: self.pool.clone(),
            platform: self.platform.clone(),
            shared: self.shared.clone(),
            control: self.control.clone(),
            hooks: self.hooks,
            decision_log: self.decision_log.clone(),
            sink: self.sink.clone(),
        }
    }
}

impl<S: Send + 'static, E: Send + 'static> Node<S, E> {
    /// Creates the shared part of a process. Its tasks run on the current runtime.
    pub fn new(base: Base, http: HttpClient, control: Control<S, E>, hooks: Hooks<S, E>) -> Self {
        Self {
            clock: base.clock,
            runtime: Handle::current(),
            pool: Pool::new(base.pool),
            platform: PlatformClient {
                http,
                config_service: base.service,
                instance_list: base.list,
            },
            shared: Arc::new(SharedConfig::default()),
            control,
            hooks,
            decision_log: Arc::new(Mutex::new(DecisionLog::new(&base.identity))),
            sink: base.sink,
            identity: base.identity,
        }
    }

    /// Adds this process's name and the versions it knows to a message.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            sender: self.identity.instance.clone(),
            sheet_version: self.shared.sheet(),
            list_revision: self.shared.list_revision.load(Ordering::Relaxed),
            body,
        }
    }

    /// Writes a decision to the record.
    pub fn record(&self, now: ClockReading, decision: Decision) {
        metrics::counter!("medlarproxy_decisions_total", "decision" => decision.kind())
            .increment(1);
        let mut log = self.lock_decision_log();
        let sheet_version = self.shared.sheet();
        let line = log.chain.append(now.unix_ms(), sheet_version, decision);
        (self.sink)(&line);
        if log.recent_lines.len() == MAX_RECENT_LINES {
            log.recent_lines.pop_front();
        }
        log.recent_lines.push_back(line);
    }

    /// The latest lines of the record, oldest first.
    pub fn recent(&self) -> Vec<RecordLine> {
        let log = self.lock_decision_log();
        log.recent_lines.iter().cloned().collect()
    }

    fn lock_decision_log(&self) -> MutexGuard<'_, DecisionLog> {
        let log = self.decision_log.lock();
        log.unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the process on another instance.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.members().address(name)
    }

    /// Calls another process, and reports the versions in its reply to the follower.
    pub async fn ask(
        &self,
        name: &Name,
        request: Request,
        timeout: Duration,
    ) -> Result<CallReply, WireError> {
        let address = self
            .address(name)
            .ok_or_else(|| WireError::NotSent(format!("{name} is not in the list of instances")))?;
        let call = self
            .pool
            .call(address, &self.envelope(request), timeout)
            .await?;
        self.heard(&call.reply);
        Ok(call)
    }

    /// Reports the versions in a message to the follower.
    pub fn heard<T>(&self, message: &Envelope<T>) {
        let event = follow::Event::Heard {
            from: message.sender.clone(),
            sheet: message.sheet_version,
            list: message.list_revision,
        };
        self.send_event(event);
    }

    fn send_event(&self, event: follow::Event) {
        self.control.send((self.hooks.follow_event)(event));
    }

    /// Executes an effect of the follower.
    pub fn apply(&self, state: &S, now: ClockReading, effect: follow::Effect) {
        let follow = (self.hooks.follow)(state);
        self.shared
            .publish(follow, effect == follow::Effect::ListChanged);
        let node = self.clone();
        match effect {
            follow::Effect::Heartbeat(name) => {
                let heartbeat = (self.hooks.news)(state, now.elapsed);
                self.runtime.spawn(node.beat(name, heartbeat));
            }
            follow::Effect::Watch(known) => {
                self.runtime.spawn(async move {
                    let answer = match node.platform.watch(known).await {
                        Ok(Some(text)) => follow::Answer::Index(text),
                        Ok(None) => follow::Answer::Unchanged,
                        Err(e) => failed_answer(&e),
                    };
                    node.send_event(follow::Event::Index(answer));
                });
            }
            follow::Effect::ReadIndex => {
                self.runtime.spawn(async move {
                    let answer = match node.platform.index().await {
                        Ok(text) => follow::Answer::Index(text),
                        Err(e) => failed_answer(&e),
                    };
                    node.send_event(follow::Event::Index(answer));
                });
            }
            follow::Effect::ReadSection(digest) => {
                self.runtime.spawn(async move {
                    let text = node.platform.section(&digest).await.ok();
                    node.send_event(follow::Event::Section(digest, text));
                });
            }
            follow::Effect::ReadList(after) => {
                self.runtime.spawn(async move {
                    let update = node.platform.instances(after).await.ok();
                    node.send_event(follow::Event::List(update));
                });
            }
            follow::Effect::AskIndex(name) => {
                self.runtime
                    .spawn(node.request_from_neighbour(name, Request::Index));
            }
            follow::Effect::AskSection(name, digest) => {
                self.runtime
                    .spawn(node.request_from_neighbour(name, Request::Section(digest)));
            }
            follow::Effect::AskList(name, after) => {
                self.runtime
                    .spawn(node.request_from_neighbour(name, Request::List(after)));
            }
            follow::Effect::ListChanged => {}
            follow::Effect::Adopted(..)
            | follow::Effect::Refused(_)
            | follow::Effect::Resumed(_) => {
                log::debug!("{effect:?} needs no I/O");
            }
        }
    }

    /// Publishes the versions in force to I/O tasks.
    pub fn publish(&self, state: &S) {
        self.shared.publish((self.hooks.follow)(state), false);
    }

    /// Sends a heartbeat to a neighbour and reports its reply to the reducer.
    pub async fn beat(self, name: Name, heartbeat: Heartbeat) {
        let request = Request::Heartbeat(heartbeat);
        match self.ask(&name, request, NEIGHBOUR_TIMEOUT).await {
            Ok(call) => {
                if let Reply::Heartbeat(reply) = call.reply.body {
                    self.control.send((self.hooks.heartbeat_event)(name, reply));
                }
            }
            Err(e) => {
                log::debug!("heartbeat to {name} failed: {e}");
                self.control.send((self.hooks.silent_event)(name));
            }
        }
    }

    /// Requests an index, a section or the list of instances from a neighbour.
    async fn request_from_neighbour(self, name: Name, request: Request) {
        let section = match &request {
            Request::Section(digest) => Some(*digest),
            _ => None,
        };
        let event = match self.ask(&name, request, NEIGHBOUR_TIMEOUT).await {
            Ok(call) => match (call.reply.body, section) {
                (Reply::Index(text), _) => follow::Event::PeerIndex(name, text),
                (Reply::Section(text), Some(digest)) => follow::Event::PeerSection(digest, text),
                (Reply::List(update), _) => follow::Event::PeerList(update),
                _ => return,
            },
            Err(e) => {
                log::debug!("request for configuration to {name} failed: {e}");
                follow::Event::Silent(name)
            }
        };
        self.send_event(event);
    }

    /// Replies to the requests that entries and agents serve alike. Returns all other requests.
    pub async fn answer(
        &self,
        request: Envelope<Request>,
        responder: Responder,
    ) -> Option<(Envelope<Request>, Responder)> {
        self.heard(&request);
        let hooks = self.hooks;
        let reply = match request.body {
            Request::Heartbeat(heartbeat) => {
                let event = (hooks.heartbeat_event)(request.sender, heartbeat);
                self.control.send(event);
                let own = move |state: &S, now: ClockReading| (hooks.news)(state, now.elapsed);
                self.control.query(own).await.map(Reply::Heartbeat)
            }
            Request::Index => {
                let index = move |state: &S, _: ClockReading| {
                    let text = (hooks.follow)(state).acceptance().index().cloned();
                    text.map(|text| Bytes::copy_from_slice(&text))
                };
                self.control.query(index).await.map(Reply::Index)
            }
            Request::Section(digest) => {
                let section = move |state: &S, _: ClockReading| {
                    let text = (hooks.follow)(state).acceptance().section(&digest).cloned();
                    text.map(|text| Bytes::copy_from_slice(&text))
                };
                self.control.query(section).await.map(Reply::Section)
            }
            Request::List(after) => Some(Reply::List(self.shared.members().since(after))),
            _ => return Some((request, responder)),
        };
        if let Some(reply) = reply {
            self.finish(responder, reply).await;
        }
        None
    }

    /// Sends a reply that consists of one message.
    pub async fn finish(&self, responder: Responder, reply: Reply) {
        if let Err(e) = responder.send_last(&self.envelope(reply)).await {
            log::debug!("cannot send a reply: {e}");
        }
    }
}

fn failed_answer(e: &ProxyError) -> follow::Answer {
    log::debug!("call to the configuration service failed: {e}");
    follow::Answer::Failed
}
