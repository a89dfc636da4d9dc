//! Drawing pieces from the origin and from other agents, and handing them to others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use control::keeper::{
    Event,
    Wanted, //
};
use protocol::{
    EngineStatus,
    Envelope,
    Heartbeat,
    Reply,
    Request, //
};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use utils::digest::Digest;
use utils::Name;
use weights::{
    Denial,
    Effect,
    FailCause,
    Manifest,
    Piece,
    Source,
    MANIFEST_PIECE, //
};
use wire::{
    Call,
    Responder,
    WireError, //
};

use super::{
    lock,
    Agent,
    PortError, //
};

/// How long a peer may take to answer.
const PEER_PATIENCE: Duration = Duration::from_millis(1500);

/// How long a peer may take to hand over a piece that it may be waiting for itself. The reducer ends
/// the wait sooner where the peer lets it wait in vain.
const WAITING_PATIENCE: Duration = Duration::from_secs(5);

/// Bytes of a piece that are sent or received together. On an instance's link, 4 KB take 4 ms of
/// the time in which an event of a stream should pass.
const SLICE_BYTES: usize = 4 << 10;

/// How long a question about the engine waits for a change.
const STATUS_WAIT: Duration = Duration::from_secs(5);

/// Draws of a manifest from the origin; two that agree are believed, since no digest of it is
/// published and the origin may hand out spoilt bytes.
const MANIFEST_DRAWS: usize = 4;

impl Agent {
    pub(super) fn apply_transfer(self: &Arc<Self>, wanted: Wanted, effect: Effect) {
        match effect {
            Effect::Fetch {
                piece,
                source,
                wait,
            } => self.fetch(wanted, piece, source, wait),
            Effect::Cancel(piece) => {
                if let Some(task) = lock(&self.draws).remove(&(wanted.key, piece)) {
                    task.abort();
                }
            }
            Effect::Exchange(name) => self.spawn(|agent| agent.exchange(wanted, name)),
            Effect::Upload(token, _) => self.decide(token, Ok(())),
            Effect::Deny(token, denial) => self.decide(token, Err(denial)),
            Effect::Complete => log::info!("every piece of {} is here", wanted.version),
            Effect::TooLarge(bytes) => {
                log::error!("version {} takes {bytes} bytes, too many", wanted.version);
            }
        }
    }

    fn decide(&self, token: u64, verdict: Result<(), Denial>) {
        if let Some(tx) = lock(&self.waiting).remove(&token) {
            // Whoever asked may be gone.
            let _gone = tx.send(verdict);
        }
    }

    fn fetch(self: &Arc<Self>, wanted: Wanted, piece: Piece, source: Source, wait: bool) {
        let agent = self.clone();
        let key = wanted.key;
        let task = tokio::spawn(async move {
            let began = agent.clock.now().elapsed;
            let result = agent.draw(&wanted, piece, &source, wait).await;
            let took = agent.clock.now().elapsed.saturating_sub(began);
            log::debug!("piece {piece} from {source:?} took {took:?}");
            lock(&agent.draws).remove(&(wanted.key, piece));
            let event = match result.and_then(|data| agent.verify(&wanted, piece, &source, data)) {
                Ok(event) => event,
                Err(cause) => weights::Event::Failed(piece, source, cause),
            };
            agent.tell(Event::Transfer(wanted.key, event));
        });
        lock(&self.draws).insert((key, piece), task.abort_handle());
    }

    /// Checks the digest, keeps the piece, and makes the event that tells of it.
    fn verify(
        &self,
        wanted: &Wanted,
        piece: Piece,
        source: &Source,
        data: Bytes,
    ) -> Result<weights::Event, FailCause> {
        let from = match source {
            Source::Origin => "origin",
            Source::Peer(_) => "peer",
        };
        let count = data.len() as u64;
        metrics::counter!("medlarproxy_weights_bytes_total", "from" => from).increment(count);
        let source = source.clone();
        if piece == MANIFEST_PIECE {
            let manifest = Manifest::read(&data).map_err(|e| {
                log::warn!("the manifest of {} from {source:?}: {e}", wanted.version);
                FailCause::Corrupt
            })?;
            let held = Arc::new(manifest.clone());
            self.store.insert_manifest(wanted.key, data, held);
            return Ok(weights::Event::Manifest(source, manifest));
        }
        let manifest = self.store.manifest(&wanted.key);
        let digest = manifest.as_ref().and_then(|m| m.chunk_digest(piece));
        if digest != Some(&Digest::of(&data)) {
            log::warn!("piece {piece} from {source:?} is corrupt");
            return Err(FailCause::Corrupt);
        }
        self.store.insert(wanted.key, piece, data);
        Ok(weights::Event::Chunk(piece, source))
    }

    async fn draw(
        self: &Arc<Self>,
        wanted: &Wanted,
        piece: Piece,
        source: &Source,
        wait: bool,
    ) -> Result<Bytes, FailCause> {
        match source {
            Source::Origin if piece == MANIFEST_PIECE => self.draw_manifest(wanted).await,
            Source::Origin => {
                let origin = self.origin_address()?;
                let model = wanted.model.clone();
                let data = (self.port.piece)(origin, model, wanted.version, piece).await;
                data.map_err(|e| fail_cause(&e))
            }
            Source::Peer(name) => self.draw_from_peer(wanted, piece, name, wait).await,
        }
    }

    fn origin_address(&self) -> Result<SocketAddr, FailCause> {
        let origin = lock(&self.origin).as_ref().map(|(address, _)| *address);
        origin.ok_or(FailCause::Unreachable)
    }

    async fn draw_manifest(&self, wanted: &Wanted) -> Result<Bytes, FailCause> {
        let origin = self.origin_address()?;
        let mut seen: Vec<Manifest> = Vec::new();
        for _ in 0..MANIFEST_DRAWS {
            let draw = (self.port.manifest)(origin, wanted.model.clone(), wanted.version).await;
            match draw {
                Ok(manifest) if seen.contains(&manifest) => return Ok(manifest.to_text().into()),
                Ok(manifest) => seen.push(manifest),
                Err(PortError::Unreadable(e)) => log::warn!("a manifest was spoilt: {e}"),
                Err(e) => return Err(fail_cause(&e)),
            }
        }
        Err(FailCause::Corrupt)
    }

    async fn draw_from_peer(
        self: &Arc<Self>,
        wanted: &Wanted,
        piece: Piece,
        name: &Name,
        wait: bool,
    ) -> Result<Bytes, FailCause> {
        let request = Request::Piece {
            manifest: wanted.key,
            piece,
            wait,
        };
        let call = self.ask(name, request).await;
        let mut call = call.map_err(|e| {
            log::debug!("piece {piece} from {name}: {e}");
            FailCause::Unreachable
        })?;
        let length = match call.reply.body {
            Reply::Piece(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Reply::Denied(denial) => return Err(FailCause::Denied(denial)),
            _ => return Err(FailCause::Unreachable),
        };
        let mut data = BytesMut::new();
        while data.len() < length {
            let part = call.frames.raw(SLICE_BYTES).await;
            let part = part.ok().flatten().ok_or(FailCause::Unreachable)?;
            self.downloads.take(part.len()).await;
            data.extend_from_slice(&part);
            let progress = weights::Event::Progress(piece);
            self.tell(Event::Transfer(wanted.key, progress));
        }
        Ok(data.freeze())
    }

    async fn ask(&self, name: &Name, body: Request) -> Result<Call, WireError> {
        let address: SocketAddr = name
            .parse()
            .map_err(|_| WireError::NotSent(format!("{name} is no address")))?;
        let waits = matches!(body, Request::Piece { wait: true, .. });
        let message = self.envelope(body);
        let patience = if waits {
            WAITING_PATIENCE
        } else {
            PEER_PATIENCE
        };
        self.pool.call(address, &message, patience).await
    }

    pub(super) fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            from: self.setup.address.to_string().into(),
            sheet: *lock(&self.config_version),
            list: 0,
            body,
        }
    }

    fn heartbeat(&self, key: &Digest) -> Heartbeat {
        Heartbeat {
            report: lock(&self.state).report(key),
            crashes: Vec::new(),
        }
    }

    /// Tells a peer what is here, and learns what is there.
    async fn exchange(self: Arc<Self>, wanted: Wanted, name: Name) {
        let request = Request::Heartbeat(self.heartbeat(&wanted.key));
        let event = match self.ask(&name, request).await.map(|call| call.reply.body) {
            Ok(Reply::Heartbeat(news)) => match news.report {
                Some(report) => weights::Event::Report(name, report),
                None => weights::Event::Answered(name),
            },
            Ok(_) => weights::Event::Answered(name),
            Err(e) => {
                log::debug!("{name} tells nothing: {e}");
                weights::Event::Silent(name)
            }
        };
        self.tell(Event::Transfer(wanted.key, event));
    }

    /// Answers other agents and entries for as long as the future is polled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let agent = self.clone();
        wire::serve(listener, move |request, responder| {
            agent.clone().answer(request, responder)
        })
        .await;
    }

    async fn answer(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        match request.body {
            Request::Heartbeat(news) => {
                let mut reply = Heartbeat::default();
                if let Some(report) = news.report {
                    let key = report.manifest;
                    let event = weights::Event::Report(request.from, report);
                    self.tell(Event::Transfer(key, event));
                    reply = self.heartbeat(&key);
                }
                let reply = Reply::Heartbeat(reply);
                self.finish(responder, reply).await;
            }
            Request::Piece {
                manifest,
                piece,
                wait,
            } => {
                let from = request.from;
                self.answer_piece(from, manifest, piece, wait, responder)
                    .await;
            }
            Request::Engine {
                known,
                named,
                supply,
            } => {
                if let Some(supply) = supply {
                    self.hear_supply(request.sheet, supply);
                }
                for named in named {
                    self.tell(Event::Named {
                        model: named.model,
                        version: named.version,
                        age: named.age_ms.map(Duration::from_millis),
                    });
                }
                self.note_watcher(request.from);
                self.answer_status(known, responder).await;
            }
            Request::Reserve { tokens, cold_rate } => {
                self.answer_reserve(tokens, cold_rate, responder).await;
            }
            Request::PromptRead { number } => self.answer_prompt_read(number, responder).await,
            _ => self.finish(responder, Reply::Unsupported).await,
        }
    }

    pub(super) async fn finish(&self, responder: Responder, reply: Reply) {
        if let Err(e) = responder.finish(&self.envelope(reply)).await {
            log::debug!("an answer was not taken: {e}");
        }
    }

    fn note_watcher(&self, name: Name) {
        let now = self.clock.now().elapsed;
        lock(&self.watchers).insert(name, now);
    }

    /// Processes that asked about the engine lately.
    fn watchers(&self) -> u32 {
        let now = self.clock.now().elapsed;
        let mut watchers = lock(&self.watchers);
        watchers.retain(|_, at| now.saturating_sub(*at) < STATUS_WAIT * 2);
        u32::try_from(watchers.len()).unwrap_or(u32::MAX)
    }

    async fn answer_status(&self, known: Option<EngineStatus>, mut responder: Responder) {
        let mut status = self.status.subscribe();
        let differs = status.wait_for(|status| Some(*status) != known);
        let waited = tokio::select! {
            waited = tokio::time::timeout(STATUS_WAIT, differs) => waited,
            () = responder.closed() => return,
        };
        drop(waited);
        let now = *self.status.borrow();
        let watchers = self.watchers();
        let elapsed = self.clock.now().elapsed;
        let named = lock(&self.state).named(elapsed).into_iter().collect();
        let reply = Reply::Engine {
            status: now,
            watchers,
            named,
        };
        self.finish(responder, reply).await;
    }

    async fn answer_piece(
        self: &Arc<Self>,
        from: Name,
        manifest: Digest,
        piece: Piece,
        wait: bool,
        mut responder: Responder,
    ) {
        let (token, rx) = self.expect_verdict();
        let want = weights::Event::Want {
            token,
            from,
            manifest,
            piece,
            wait,
        };
        let known = lock(&self.state).gathers(&manifest);
        if !known {
            self.decide(token, Err(Denial::OtherManifest));
        }
        self.tell(Event::Transfer(manifest, want));
        let verdict = tokio::select! {
            verdict = rx => verdict.ok(),
            () = responder.closed() => None,
        };
        match verdict {
            Some(Ok(())) => self.upload(&manifest, piece, responder).await,
            Some(Err(denial)) => self.finish(responder, Reply::Denied(denial)).await,
            None => {}
        }
        lock(&self.waiting).remove(&token);
        let ended = weights::Event::WantEnded(token);
        self.tell(Event::Transfer(manifest, ended));
    }

    fn expect_verdict(&self) -> (u64, oneshot::Receiver<Result<(), Denial>>) {
        let mut next = lock(&self.next_token);
        *next += 1;
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(*next, tx);
        (*next, rx)
    }

    async fn upload(&self, manifest: &Digest, piece: Piece, mut responder: Responder) {
        let Some(mut rest) = self.store.get(manifest, piece) else {
            let reply = Reply::Denied(Denial::OtherManifest);
            self.finish(responder, reply).await;
            return;
        };
        let reply = self.envelope(Reply::Piece(rest.len() as u64));
        let mut sent = responder.send(&reply).await;
        while sent.is_ok() && !rest.is_empty() {
            let slice = rest.split_to(rest.len().min(SLICE_BYTES));
            self.uploads.take(slice.len()).await;
            sent = responder.send_raw(slice).await;
        }
        if let Err(e) = sent.and_then(|()| responder.end()) {
            log::debug!("piece {piece} was not taken: {e}");
        }
    }
}

fn fail_cause(e: &PortError) -> FailCause {
    log::debug!("a draw from the origin failed: {e}");
    match e {
        PortError::Refused(429) => FailCause::Denied(Denial::Busy),
        PortError::Unreadable(_) => FailCause::Corrupt,
        PortError::Refused(_) | PortError::Unreachable(_) => FailCause::Unreachable,
    }
}
