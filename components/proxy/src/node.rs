//! What entry and agent share: following the sheet, heartbeats and answers to neighbours.

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
    Chain,
    Decision,
    Line, //
};
use tokio::runtime::Handle;
use utils::clock::{
    Clock,
    Now, //
};
use utils::Name;
use wire::{
    Call,
    Pool,
    PoolOptions,
    Responder,
    WireError, //
};

use crate::error::ProxyError;
use crate::platform::{
    HttpClient,
    Platform, //
};
use crate::reactor::Control;

/// How long a neighbour may take to answer a short question.
const PATIENCE: Duration = Duration::from_secs(1);

/// Takes the lines of the record.
pub type Sink = Arc<dyn Fn(&Line) + Send + Sync>;

/// Who a process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance.
    pub instance: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// A number that no earlier process on the instance had.
    pub incarnation: u64,
}

/// What every process is started with.
#[derive(Clone)]
pub struct Base {
    /// Who it is.
    pub identity: Identity,
    /// The address of the configuration service.
    pub service: SocketAddr,
    /// The address of the list of instances.
    pub list: SocketAddr,
    /// How often the control thread looks at the time.
    pub tick: Duration,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Connections to other processes.
    pub pool: PoolOptions,
    /// Takes the lines of the record.
    pub sink: Sink,
}

/// Versions and addresses that traffic threads read.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    sheet: AtomicU64,
    list: AtomicU64,
    members: RwLock<Arc<Members>>,
}

impl Shared {
    /// The version of the sheet in force.
    pub fn sheet(&self) -> u64 {
        self.sheet.load(Ordering::Relaxed)
    }

    /// The list of instances.
    pub fn members(&self) -> Arc<Members> {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        members.clone()
    }

    fn publish(&self, follow: &Follow, list_changed: bool) {
        let version = follow.acceptance().version();
        self.sheet.store(version, Ordering::Relaxed);
        if list_changed {
            let members = Arc::new(follow.members().clone());
            self.list.store(members.revision(), Ordering::Relaxed);
            *self.members.write().unwrap_or_else(PoisonError::into_inner) = members;
        }
    }
}

/// How the shared part reaches into the state and events of a role.
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

/// The shared part of one process.
pub(crate) struct Node<S, E> {
    pub identity: Identity,
    pub clock: Arc<dyn Clock>,
    pub runtime: Handle,
    pub pool: Pool,
    pub platform: Platform,
    pub shared: Arc<Shared>,
    pub control: Control<S, E>,
    pub hooks: Hooks<S, E>,
    journal: Arc<Mutex<Journal>>,
    pub sink: Sink,
}

/// Lines of the record that are kept for operators.
const RECENT_LINES: usize = 256;

/// The record of one process.
#[derive(Debug)]
struct Journal {
    chain: Chain,
    recent: VecDeque<Line>,
}

impl Journal {
    fn new(identity: &Identity) -> Self {
        Self {
            chain: Chain::new(identity.instance.clone(), identity.incarnation),
            recent: VecDeque::new(),
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
            journal: self.journal.clone(),
            sink: self.sink.clone(),
        }
    }
}

impl<S: Send + 'static, E: Send + 'static> Node<S, E> {
    /// Makes the shared part of a process on the runtime that this is called on.
    pub fn new(base: Base, http: HttpClient, control: Control<S, E>, hooks: Hooks<S, E>) -> Self {
        Self {
            clock: base.clock,
            runtime: Handle::current(),
            pool: Pool::new(base.pool),
            platform: Platform {
                http,
                service: base.service,
                list: base.list,
            },
            shared: Arc::new(Shared::default()),
            control,
            hooks,
            journal: Arc::new(Mutex::new(Journal::new(&base.identity))),
            sink: base.sink,
            identity: base.identity,
        }
    }

    /// Puts the sender's versions around a message.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            from: self.identity.instance.clone(),
            sheet: self.shared.sheet(),
            list: self.shared.list.load(Ordering::Relaxed),
            body,
        }
    }

    /// Writes a line of the record.
    pub fn record(&self, now: Now, decision: Decision) {
        metrics::counter!("medlarproxy_decisions_total", "decision" => decision.kind())
            .increment(1);
        let mut journal = self.lock_journal();
        let sheet = self.shared.sheet();
        let line = journal.chain.append(now.unix_ms(), sheet, decision);
        (self.sink)(&line);
        if journal.recent.len() == RECENT_LINES {
            journal.recent.pop_front();
        }
        journal.recent.push_back(line);
    }

    /// The last lines of the record, the newest last.
    pub fn recent(&self) -> Vec<Line> {
        self.lock_journal().recent.iter().cloned().collect()
    }

    fn lock_journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the process on another instance.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.members().address(name)
    }

    /// Asks another process and notes the versions in its answer.
    pub async fn ask(
        &self,
        name: &Name,
        request: Request,
        patience: Duration,
    ) -> Result<Call, WireError> {
        let address = self
            .address(name)
            .ok_or_else(|| WireError::NotSent(format!("{name} is not in the list")))?;
        let call = self
            .pool
            .call(address, &self.envelope(request), patience)
            .await?;
        self.heard(&call.reply);
        Ok(call)
    }

    /// Notes the versions that a message tells of its sender.
    pub fn heard<T>(&self, message: &Envelope<T>) {
        let event = follow::Event::Heard {
            from: message.from.clone(),
            sheet: message.sheet,
            list: message.list,
        };
        self.tell(event);
    }

    fn tell(&self, event: follow::Event) {
        self.control.send((self.hooks.follow_event)(event));
    }

    /// Carries out an effect of the follower.
    pub fn apply(&self, state: &S, now: Now, effect: follow::Effect) {
        let follow = (self.hooks.follow)(state);
        self.shared
            .publish(follow, effect == follow::Effect::ListChanged);
        let node = self.clone();
        match effect {
            follow::Effect::Heartbeat(name) => {
                let news = (self.hooks.news)(state, now.elapsed);
                self.runtime.spawn(node.beat(name, news));
            }
            follow::Effect::Watch(known) => {
                self.runtime.spawn(async move {
                    let answer = match node.platform.watch(known).await {
                        Ok(Some(text)) => follow::Answer::Index(text),
                        Ok(None) => follow::Answer::Unchanged,
                        Err(e) => service_failed(&e),
                    };
                    node.tell(follow::Event::Index(answer));
                });
            }
            follow::Effect::ReadIndex => {
                self.runtime.spawn(async move {
                    let answer = match node.platform.index().await {
                        Ok(text) => follow::Answer::Index(text),
                        Err(e) => service_failed(&e),
                    };
                    node.tell(follow::Event::Index(answer));
                });
            }
            follow::Effect::ReadSection(digest) => {
                self.runtime.spawn(async move {
                    let text = node.platform.section(&digest).await.ok();
                    node.tell(follow::Event::Section(digest, text));
                });
            }
            follow::Effect::ReadList(after) => {
                self.runtime.spawn(async move {
                    let news = node.platform.instances(after).await.ok();
                    node.tell(follow::Event::List(news));
                });
            }
            follow::Effect::AskIndex(name) => {
                self.runtime.spawn(node.pull(name, Request::Index));
            }
            follow::Effect::AskSection(name, digest) => {
                self.runtime
                    .spawn(node.pull(name, Request::Section(digest)));
            }
            follow::Effect::AskList(name, after) => {
                self.runtime.spawn(node.pull(name, Request::List(after)));
            }
            follow::Effect::ListChanged => {}
            follow::Effect::Adopted(..)
            | follow::Effect::Refused(_)
            | follow::Effect::Resumed(_) => {
                log::debug!("{effect:?} is handled by the reducer");
            }
        }
    }

    /// Publishes the versions in force to traffic threads.
    pub fn publish(&self, state: &S) {
        self.shared.publish((self.hooks.follow)(state), false);
    }

    /// Exchanges news with a neighbour.
    pub async fn beat(self, name: Name, news: Heartbeat) {
        let request = Request::Heartbeat(news);
        match self.ask(&name, request, PATIENCE).await {
            Ok(call) => {
                if let Reply::Heartbeat(news) = call.reply.body {
                    self.control.send((self.hooks.heartbeat_event)(name, news));
                }
            }
            Err(e) => {
                log::debug!("no heartbeat from {name}: {e}");
                self.control.send((self.hooks.silent_event)(name));
            }
        }
    }

    async fn pull(self, name: Name, request: Request) {
        let section = match &request {
            Request::Section(digest) => Some(*digest),
            _ => None,
        };
        let event = match self.ask(&name, request, PATIENCE).await {
            Ok(call) => match (call.reply.body, section) {
                (Reply::Index(text), _) => follow::Event::PeerIndex(name, text),
                (Reply::Section(text), Some(digest)) => follow::Event::PeerSection(digest, text),
                (Reply::List(news), _) => follow::Event::PeerList(news),
                _ => return,
            },
            Err(e) => {
                log::debug!("nothing pulled from {name}: {e}");
                follow::Event::Silent(name)
            }
        };
        self.tell(event);
    }

    /// Answers the questions that every process answers. Gives back those it does not know.
    pub async fn answer(
        &self,
        request: Envelope<Request>,
        responder: Responder,
    ) -> Option<(Envelope<Request>, Responder)> {
        self.heard(&request);
        let hooks = self.hooks;
        let reply = match request.body {
            Request::Heartbeat(news) => {
                let event = (hooks.heartbeat_event)(request.from, news);
                self.control.send(event);
                let news = move |state: &S, now: Now| (hooks.news)(state, now.elapsed);
                self.control.query(news).await.map(Reply::Heartbeat)
            }
            Request::Index => {
                let index = move |state: &S, _: Now| {
                    let text = (hooks.follow)(state).acceptance().index().cloned();
                    text.map(|text| Bytes::copy_from_slice(&text))
                };
                self.control.query(index).await.map(Reply::Index)
            }
            Request::Section(digest) => {
                let section = move |state: &S, _: Now| {
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

    /// Sends the only message of an answer.
    pub async fn finish(&self, responder: Responder, reply: Reply) {
        if let Err(e) = responder.finish(&self.envelope(reply)).await {
            log::debug!("an answer was not taken: {e}");
        }
    }
}

fn service_failed(e: &ProxyError) -> follow::Answer {
    log::debug!("the configuration service failed: {e}");
    follow::Answer::Failed
}
