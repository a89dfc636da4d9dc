//! What entries and agents share: following the configuration sheet, heartbeats, and replies to
//! peers.

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
    follower,
    Follower,
    InstanceList, //
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

use crate::control_thread::ControlHandle;
use crate::error::ProxyError;
use crate::platform_client::{
    HttpClient,
    PlatformClient, //
};

/// How long a peer may take to reply to a heartbeat or a request for configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Receives the lines of the decision record.
pub type LineSink = Arc<dyn Fn(&RecordLine) + Send + Sync>;

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
pub struct ProcessOptions {
    /// Identifies the process.
    pub identity: Identity,
    /// The address of the configuration service.
    pub config_service: SocketAddr,
    /// The address of the list of instances.
    pub instance_list: SocketAddr,
    /// How often the reducer gets a tick event.
    pub tick_interval: Duration,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Options of the connections to other processes.
    pub pool_options: PoolOptions,
    /// Receives the lines of the decision record.
    pub line_sink: LineSink,
}

/// Versions and addresses that I/O tasks read without asking the control thread.
#[derive(Debug, Default)]
pub(crate) struct SharedConfig {
    sheet_version: AtomicU64,
    list_revision: AtomicU64,
    instances: RwLock<Arc<InstanceList>>,
}

impl SharedConfig {
    /// The version of the active sheet.
    pub fn sheet_version(&self) -> u64 {
        self.sheet_version.load(Ordering::Relaxed)
    }

    /// The list of instances.
    pub fn instances(&self) -> Arc<InstanceList> {
        let instances = self
            .instances
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        instances.clone()
    }

    fn publish(&self, follower: &Follower, list_changed: bool) {
        let version = follower.sheet_collector().version();
        self.sheet_version.store(version, Ordering::Relaxed);
        if list_changed {
            let instances = Arc::new(follower.instances().clone());
            let revision = instances.revision();
            self.list_revision.store(revision, Ordering::Relaxed);
            *self
                .instances
                .write()
                .unwrap_or_else(PoisonError::into_inner) = instances;
        }
    }
}

/// Gives `Node` access to the state `S` of a role (entry or agent), and makes its events `E`.
pub(crate) struct RoleAdapter<S, E> {
    pub follower: fn(&S) -> &Follower,
    pub heartbeat: fn(&S, Duration) -> Heartbeat,
    pub follower_event: fn(follower::Event) -> E,
    pub heartbeat_event: fn(Name, Heartbeat) -> E,
    pub heartbeat_failed_event: fn(Name) -> E,
}

impl<S, E> Clone for RoleAdapter<S, E> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<S, E> Copy for RoleAdapter<S, E> {}

/// The part of a process that entries and agents share.
pub(crate) struct Node<S, E> {
    pub identity: Identity,
    pub clock: Arc<dyn Clock>,
    pub runtime: Handle,
    pub pool: Pool,
    pub platform: PlatformClient,
    pub shared: Arc<SharedConfig>,
    pub control: ControlHandle<S, E>,
    pub role_adapter: RoleAdapter<S, E>,
    decision_log: Arc<Mutex<DecisionLog>>,
    pub line_sink: LineSink,
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
            role_adapter: self.role_adapter,
            decision_log: self.decision_log.clone(),
            line_sink: self.line_sink.clone(),
        }
    }
}

impl<S: Send + 'static, E: Send + 'static> Node<S, E> {
    /// Creates the shared part of a process. Its tasks run on the current runtime.
    pub fn new(
        options: ProcessOptions,
        http: HttpClient,
        control: ControlHandle<S, E>,
        role_adapter: RoleAdapter<S, E>,
    ) -> Self {
        Self {
            clock: options.clock,
            runtime: Handle::current(),
            pool: Pool::new(options.pool_options),
            platform: PlatformClient {
                http,
                config_service: options.config_service,
                instance_list: options.instance_list,
            },
            shared: Arc::new(SharedConfig::default()),
            control,
            role_adapter,
            decision_log: Arc::new(Mutex::new(DecisionLog::new(&options.identity))),
            line_sink: options.line_sink,
            identity: options.identity,
        }
    }

    /// Adds this process's name and the versions it knows to a message.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            sender: self.identity.instance.clone(),
            sheet_version: self.shared.sheet_version(),
            list_revision: self.shared.list_revision.load(Ordering::Relaxed),
            body,
        }
    }

    /// Writes a decision to the record.
    pub fn record(&self, now: ClockReading, decision: Decision) {
        metrics::counter!("medlarproxy_decisions_total", "decision" => decision.kind())
            .increment(1);
        let mut log = self.lock_decision_log();
        let sheet_version = self.shared.sheet_version();
        let line = log.chain.append(now.unix_ms(), sheet_version, decision);
        (self.line_sink)(&line);
        if log.recent_lines.len() == MAX_RECENT_LINES {
            log.recent_lines.pop_front();
        }
        log.recent_lines.push_back(line);
    }

    /// The latest lines of the record, oldest first.
    pub fn recent_lines(&self) -> Vec<RecordLine> {
        let log = self.lock_decision_log();
        log.recent_lines.iter().cloned().collect()
    }

    fn lock_decision_log(&self) -> MutexGuard<'_, DecisionLog> {
        let log = self.decision_log.lock();
        log.unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the process on another instance.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.instances().address(name)
    }

    /// Calls another process, and reports the versions in its reply to the follower.
    pub async fn call(
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
        self.report_versions(&call.reply);
        Ok(call)
    }

    /// Reports the versions in a message to the follower.
    pub fn report_versions<T>(&self, message: &Envelope<T>) {
        let event = follower::Event::PeerVersions {
            from: message.sender.clone(),
            sheet: message.sheet_version,
            list: message.list_revision,
        };
        self.send_event(event);
    }

    fn send_event(&self, event: follower::Event) {
        self.control.send((self.role_adapter.follower_event)(event));
    }

    /// Executes an effect of the follower.
    pub fn execute(&self, state: &S, now: ClockReading, effect: follower::Effect) {
        let follower = (self.role_adapter.follower)(state);
        self.shared
            .publish(follower, effect == follower::Effect::ListChanged);
        let node = self.clone();
        match effect {
            follower::Effect::SendHeartbeat(name) => {
                let heartbeat = (self.role_adapter.heartbeat)(state, now.elapsed);
                self.runtime.spawn(node.send_heartbeat(name, heartbeat));
            }
            follower::Effect::WatchIndex(known) => {
                self.runtime.spawn(async move {
                    let result = match node.platform.watch(known).await {
                        Ok(Some(text)) => follower::IndexResult::Index(text),
                        Ok(None) => follower::IndexResult::Unchanged,
                        Err(e) => failed_result(&e),
                    };
                    node.send_event(follower::Event::ServiceIndex(result));
                });
            }
            follower::Effect::ReadIndex => {
                self.runtime.spawn(async move {
                    let result = match node.platform.index().await {
                        Ok(text) => follower::IndexResult::Index(text),
                        Err(e) => failed_result(&e),
                    };
                    node.send_event(follower::Event::ServiceIndex(result));
                });
            }
            follower::Effect::ReadSection(digest) => {
                self.runtime.spawn(async move {
                    let text = node.platform.section(&digest).await.ok();
                    node.send_event(follower::Event::ServiceSection(digest, text));
                });
            }
            follower::Effect::ReadList(after) => {
                self.runtime.spawn(async move {
                    let update = node.platform.instances(after).await.ok();
                    node.send_event(follower::Event::PlatformList(update));
                });
            }
            follower::Effect::RequestPeerIndex(name) => {
                self.runtime
                    .spawn(node.request_from_peer(name, Request::Index));
            }
            follower::Effect::RequestPeerSection(name, digest) => {
                self.runtime
                    .spawn(node.request_from_peer(name, Request::Section(digest)));
            }
            follower::Effect::RequestPeerList(name, after) => {
                self.runtime
                    .spawn(node.request_from_peer(name, Request::List(after)));
            }
            follower::Effect::ListChanged => {}
            follower::Effect::SheetAdopted(..)
            | follower::Effect::SheetRefused(_)
            | follower::Effect::ResumedAfterPause(_) => {
                log::debug!("{effect:?} needs no I/O");
            }
        }
    }

    /// Publishes the active versions to I/O tasks.
    pub fn publish(&self, state: &S) {
        self.shared
            .publish((self.role_adapter.follower)(state), false);
    }

    /// Sends a heartbeat to a peer and reports its reply to the reducer.
    pub async fn send_heartbeat(self, name: Name, heartbeat: Heartbeat) {
        let request = Request::Heartbeat(heartbeat);
        match self.call(&name, request, PEER_TIMEOUT).await {
            Ok(call) => {
                if let Reply::Heartbeat(reply) = call.reply.body {
                    self.control
                        .send((self.role_adapter.heartbeat_event)(name, reply));
                }
            }
            Err(e) => {
                log::debug!("heartbeat to {name} failed: {e}");
                self.control
                    .send((self.role_adapter.heartbeat_failed_event)(name));
            }
        }
    }

    /// Requests an index, a section or the list of instances from a peer.
    async fn request_from_peer(self, name: Name, request: Request) {
        let section = match &request {
            Request::Section(digest) => Some(*digest),
            _ => None,
        };
        let event = match self.call(&name, request, PEER_TIMEOUT).await {
            Ok(call) => match (call.reply.body, section) {
                (Reply::Index(text), _) => follower::Event::PeerIndex(name, text),
                (Reply::Section(text), Some(digest)) => follower::Event::PeerSection(digest, text),
                (Reply::List(update), _) => follower::Event::PeerList(update),
                _ => return,
            },
            Err(e) => {
                log::debug!("request for configuration to {name} failed: {e}");
                follower::Event::PeerUnresponsive(name)
            }
        };
        self.send_event(event);
    }

    /// Replies to the requests that entries and agents serve alike. Returns all other requests.
    pub async fn handle_shared_request(
        &self,
        request: Envelope<Request>,
        responder: Responder,
    ) -> Option<(Envelope<Request>, Responder)> {
        self.report_versions(&request);
        let role_adapter = self.role_adapter;
        let reply = match request.body {
            Request::Heartbeat(heartbeat) => {
                let event = (role_adapter.heartbeat_event)(request.sender, heartbeat);
                self.control.send(event);
                let own_heartbeat = move |state: &S, now: ClockReading| {
                    (role_adapter.heartbeat)(state, now.elapsed)
                };
                self.control
                    .query(own_heartbeat)
                    .await
                    .map(Reply::Heartbeat)
            }
            Request::Index => {
                let index = move |state: &S, _: ClockReading| {
                    let text = (role_adapter.follower)(state)
                        .sheet_collector()
                        .index()
                        .cloned();
                    text.map(|text| Bytes::copy_from_slice(&text))
                };
                self.control.query(index).await.map(Reply::Index)
            }
            Request::Section(digest) => {
                let section = move |state: &S, _: ClockReading| {
                    let text = (role_adapter.follower)(state)
                        .sheet_collector()
                        .section(&digest)
                        .cloned();
                    text.map(|text| Bytes::copy_from_slice(&text))
                };
                self.control.query(section).await.map(Reply::Section)
            }
            Request::List(after) => Some(Reply::List(self.shared.instances().changes_after(after))),
            _ => return Some((request, responder)),
        };
        if let Some(reply) = reply {
            self.send_reply(responder, reply).await;
        }
        None
    }

    /// Sends a reply that consists of one message.
    pub async fn send_reply(&self, responder: Responder, reply: Reply) {
        if let Err(e) = responder.send_last(&self.envelope(reply)).await {
            log::debug!("cannot send a reply: {e}");
        }
    }
}

fn failed_result(e: &ProxyError) -> follower::IndexResult {
    log::debug!("call to the configuration service failed: {e}");
    follower::IndexResult::Failed
}
