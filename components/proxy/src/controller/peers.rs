//! Downloads pieces from the origin and from other agents, and uploads them to other agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use control::controller::{
    Event,
    ModelVersion, //
};
use protocol::{
    EngineStatus,
    Envelope,
    Heartbeat,
    NamedVersion,
    Reply,
    Request, //
};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use utils::digest::Digest;
use utils::millis::millis;
use utils::Name;
use weights::{
    Denial,
    Effect,
    FailureCause,
    Manifest,
    Piece,
    Source,
    MANIFEST_PIECE, //
};
use wire::{
    CallReply,
    Responder,
    WireError, //
};

use crate::region_bytes::{
    self,
    Kind, //
};

use super::{
    lock,
    Agent,
    BackendError,
    OnProgress, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::keeper::peers";

/// How long a peer may take to reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a peer may take to send a piece that it may still be downloading itself. The reducer
/// cancels the request earlier if waiting for the peer is of no use.
const WAITING_PIECE_TIMEOUT: Duration = Duration::from_secs(5);

/// The size of the slices in which pieces are sent and received. On an instance's link, a slice of
/// 4 KB delays an event of a stream by at most 4 ms.
const SLICE_BYTES: usize = 4 << 10;

/// How long a request for the state of the engine waits for a change.
pub(super) const MAX_STATUS_WAIT: Duration = Duration::from_secs(5);

/// The maximum number of downloads of a manifest from the origin. A manifest is accepted when two
/// downloads are equal, because no digest of it is published and the origin may return corrupt
/// bytes.
const MAX_MANIFEST_DOWNLOADS: usize = 4;

impl Agent {
    pub(super) fn execute_transfer(self: &Arc<Self>, model_version: ModelVersion, effect: Effect) {
        match effect {
            Effect::Fetch {
                piece,
                source,
                wait,
            } => self.fetch(model_version, piece, source, wait),
            Effect::Cancel(piece) => {
                if let Some(task) = lock(&self.downloads).remove(&(model_version.key, piece)) {
                    task.abort();
                }
            }
            Effect::Exchange(name) => {
                self.spawn(|agent| agent.exchange_reports(model_version, name))
            }
            Effect::Upload(token, _) => self.decide_upload(token, Ok(())),
            Effect::Deny(token, denial) => self.decide_upload(token, Err(denial)),
            Effect::Complete => {
                log::info!(
                    target: LOG_TARGET,
                    "version {} is fully downloaded",
                    model_version.version
                )
            }
            Effect::TooLarge(bytes) => {
                log::error!(
                    target: LOG_TARGET,
                    "version {} exceeds the memory limit: {bytes} bytes",
                    model_version.version
                );
            }
        }
    }

    fn decide_upload(&self, token: u64, decision: Result<(), Denial>) {
        if let Some(tx) = lock(&self.upload_requests).remove(&token) {
            // Fails if the peer has closed its request.
            let _closed = tx.send(decision);
        }
    }

    fn fetch(
        self: &Arc<Self>,
        model_version: ModelVersion,
        piece: Piece,
        source: Source,
        wait: bool,
    ) {
        let agent = self.clone();
        let key = model_version.key;
        let task = tokio::spawn(async move {
            let started_at = agent.clock.now().elapsed;
            let result = agent.download(&model_version, piece, &source, wait).await;
            let took = agent.clock.now().elapsed.saturating_sub(started_at);
            log::debug!(target: LOG_TARGET, "piece {piece} from {source:?} took {took:?}");
            lock(&agent.downloads).remove(&(model_version.key, piece));
            let stored = result
                .and_then(|data| agent.verify_and_store(&model_version, piece, &source, data));
            let event = match stored {
                Ok(event) => event,
                Err(cause) => weights::Event::FetchFailed(piece, source, cause),
            };
            agent.handle_event(Event::Transfer(model_version.key, event));
        });
        lock(&self.downloads).insert((key, piece), task.abort_handle());
    }

    /// Verifies the digest, stores the piece, and returns the event that reports it.
    fn verify_and_store(
        &self,
        model_version: &ModelVersion,
        piece: Piece,
        source: &Source,
        data: Bytes,
    ) -> Result<weights::Event, FailureCause> {
        let from = match source {
            Source::Origin => "origin",
            Source::Peer(_) => "peer",
        };
        let count = data.len() as u64;
        metrics::counter!("medlarproxy_weights_bytes_total", "from" => from).increment(count);
        if let Some(region) = self.remote_region_of(source) {
            region_bytes::count(Kind::Pieces, &region, self.region(), count);
        }
        let source = source.clone();
        if piece == MANIFEST_PIECE {
            let manifest = Manifest::parse_unverified(&data).map_err(|e| {
                log::warn!(
                    target: LOG_TARGET,
                    "the manifest of version {} from {source:?} is corrupt: {e}",
                    model_version.version
                );
                FailureCause::Corrupt
            })?;
            let stored = Arc::new(manifest.clone());
            self.store.insert_manifest(model_version.key, data, stored);
            return Ok(weights::Event::ManifestReceived(source, manifest));
        }
        let manifest = self.store.manifest(&model_version.key);
        let digest = manifest.as_ref().and_then(|m| m.chunk_digest(piece));
        if digest != Some(&Digest::of(&data)) {
            log::warn!(target: LOG_TARGET, "piece {piece} from {source:?} is corrupt");
            return Err(FailureCause::Corrupt);
        }
        self.store.insert(model_version.key, piece, data);
        Ok(weights::Event::ChunkReceived(piece, source))
    }

    async fn download(
        self: &Arc<Self>,
        model_version: &ModelVersion,
        piece: Piece,
        source: &Source,
        wait: bool,
    ) -> Result<Bytes, FailureCause> {
        match source {
            Source::Origin if piece == MANIFEST_PIECE => {
                self.download_manifest(model_version).await
            }
            Source::Origin => {
                let origin = self.origin_address()?;
                let model = model_version.model.clone();
                let data = (self.backends.download_piece)(
                    origin,
                    model,
                    model_version.version,
                    piece,
                    self.clone().progress_reporter(model_version.key, piece),
                )
                .await;
                data.map_err(|e| failure_cause(&e))
            }
            Source::Peer(name) => {
                self.download_from_peer(model_version, piece, name, wait)
                    .await
            }
        }
    }

    /// Reports the progress of a download to the reducer. Without it, a download over a link that
    /// many share would count as stalled, and its bytes would be sent again.
    fn progress_reporter(self: Arc<Self>, key: Digest, piece: Piece) -> OnProgress {
        Box::new(move || {
            let progress = weights::Event::Progress(piece);
            self.handle_event(Event::Transfer(key, progress));
        })
    }

    fn origin_address(&self) -> Result<SocketAddr, FailureCause> {
        let origin = lock(&self.origin).as_ref().map(|(address, _)| *address);
        origin.ok_or(FailureCause::Unreachable)
    }

    async fn download_manifest(
        self: &Arc<Self>,
        model_version: &ModelVersion,
    ) -> Result<Bytes, FailureCause> {
        let origin = self.origin_address()?;
        let report_progress = self
            .clone()
            .progress_reporter(model_version.key, MANIFEST_PIECE);
        let mut received: Vec<Manifest> = Vec::new();
        for _ in 0..MAX_MANIFEST_DOWNLOADS {
            let result = (self.backends.download_manifest)(
                origin,
                model_version.model.clone(),
                model_version.version,
            )
            .await;
            report_progress();
            match result {
                Ok(manifest) if received.contains(&manifest) => {
                    return Ok(manifest.to_text().into())
                }
                Ok(manifest) => received.push(manifest),
                Err(BackendError::Unreadable(e)) => {
                    log::warn!(target: LOG_TARGET, "corrupt manifest from the origin: {e}")
                }
                Err(e) => return Err(failure_cause(&e)),
            }
        }
        Err(FailureCause::Corrupt)
    }

    async fn download_from_peer(
        self: &Arc<Self>,
        model_version: &ModelVersion,
        piece: Piece,
        name: &Name,
        wait: bool,
    ) -> Result<Bytes, FailureCause> {
        let request = Request::Piece {
            manifest: model_version.key,
            piece,
            wait,
        };
        let call = self.call(name, request).await;
        let mut call = call.map_err(|e| {
            log::debug!(target: LOG_TARGET, "cannot get piece {piece} from {name}: {e}");
            FailureCause::Unreachable
        })?;
        let length = match call.reply.body {
            Reply::Piece(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Reply::Denied(denial) => return Err(FailureCause::Denied(denial)),
            _ => return Err(FailureCause::Unreachable),
        };
        let mut data = BytesMut::new();
        while data.len() < length {
            let part = call.reader.receive_raw(SLICE_BYTES).await;
            let part = part.ok().flatten().ok_or(FailureCause::Unreachable)?;
            self.download_pacer.acquire(part.len()).await;
            data.extend_from_slice(&part);
            let progress = weights::Event::Progress(piece);
            self.handle_event(Event::Transfer(model_version.key, progress));
        }
        Ok(data.freeze())
    }

    async fn call(&self, name: &Name, body: Request) -> Result<CallReply, WireError> {
        let address: SocketAddr = name
            .parse()
            .map_err(|_| WireError::NotSent(format!("{name} is not an address")))?;
        let may_wait = matches!(body, Request::Piece { wait: true, .. });
        let message = self.envelope(body);
        let timeout = if may_wait {
            WAITING_PIECE_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        self.pool.call(address, &message, timeout).await
    }

    pub(super) fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope {
            sender: self.options.address.to_string().into(),
            sheet_version: *lock(&self.config_version),
            list_revision: 0,
            body,
        }
    }

    fn heartbeat(&self, key: &Digest) -> Heartbeat {
        Heartbeat {
            report: lock(&self.state).report(key),
            crashes: Vec::new(),
        }
    }

    /// Exchanges reports of the available pieces with a peer.
    async fn exchange_reports(self: Arc<Self>, model_version: ModelVersion, name: Name) {
        let request = Request::Heartbeat(self.heartbeat(&model_version.key));
        let event = match self.call(&name, request).await.map(|call| call.reply.body) {
            Ok(Reply::Heartbeat(heartbeat)) => match heartbeat.report {
                Some(report) => weights::Event::ReportReceived(name, report),
                None => weights::Event::AnsweredWithoutReport(name),
            },
            Ok(_) => weights::Event::AnsweredWithoutReport(name),
            Err(e) => {
                log::debug!(target: LOG_TARGET, "heartbeat to {name} failed: {e}");
                weights::Event::PeerUnreachable(name)
            }
        };
        self.handle_event(Event::Transfer(model_version.key, event));
    }

    /// Serves requests of other agents and of routers while the future is polled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let agent = self.clone();
        wire::serve(listener, move |request, responder| {
            agent.clone().handle_request(request, responder)
        })
        .await;
    }

    async fn handle_request(self: Arc<Self>, request: Envelope<Request>, responder: Responder) {
        match request.body {
            Request::Heartbeat(heartbeat) => {
                let mut reply = Heartbeat::default();
                if let Some(report) = heartbeat.report {
                    let key = report.manifest;
                    let event = weights::Event::ReportReceived(request.sender, report);
                    self.handle_event(Event::Transfer(key, event));
                    reply = self.heartbeat(&key);
                }
                let reply = Reply::Heartbeat(reply);
                self.send_reply(responder, reply).await;
            }
            Request::Piece {
                manifest,
                piece,
                wait,
            } => {
                let sender = request.sender;
                self.answer_piece(sender, manifest, piece, wait, responder)
                    .await;
            }
            Request::Engine {
                data_centre,
                known,
                named,
                weight_source,
            } => {
                if let Some(weight_source) = weight_source {
                    self.handle_weight_source(request.sheet_version, weight_source);
                }
                self.handle_named_versions(&data_centre, named);
                self.record_watcher(request.sender);
                self.answer_status(known, responder).await;
            }
            Request::Reserve {
                prompt_tokens,
                terms,
            } => self.answer_reserve(prompt_tokens, &terms, responder).await,
            Request::Crashes {
                known_revision,
                reported,
            } => {
                self.answer_crashes(known_revision, reported, responder)
                    .await
            }
            Request::PromptPrefilled { number } => {
                self.answer_prompt_prefilled(number, responder).await
            }
            _ => self.send_reply(responder, Reply::Unsupported).await,
        }
    }

    pub(super) async fn send_reply(&self, responder: Responder, reply: Reply) {
        if let Err(e) = responder.send_last(&self.envelope(reply)).await {
            log::debug!(target: LOG_TARGET, "cannot send a reply: {e}");
        }
    }

    /// Applies what an entry reports about versions. The bound on the publication counts only from
    /// entries of the own data centre, and not after a standstill: otherwise the message may have
    /// taken any time.
    fn handle_named_versions(self: &Arc<Self>, data_centre: &str, named: Vec<NamedVersion>) {
        let now = self.clock.now().elapsed;
        let is_prompt = data_centre == &*self.options.data_centre
            && !lock(&self.standstill).may_have_delayed(now);
        for named in named {
            self.handle_event(Event::VersionNamed {
                age: named.age(),
                published_after: named.published_after(now).filter(|_| is_prompt),
                model: named.model,
                version: named.version,
            });
        }
    }

    fn record_watcher(&self, name: Name) {
        let now = self.clock.now().elapsed;
        lock(&self.watchers).insert(name, now);
    }

    /// The number of processes that asked for the state of the engine recently.
    fn watcher_count(&self) -> u32 {
        let now = self.clock.now().elapsed;
        let mut watchers = lock(&self.watchers);
        watchers.retain(|_, asked_at| now.saturating_sub(*asked_at) < MAX_STATUS_WAIT * 2);
        u32::try_from(watchers.len()).unwrap_or(u32::MAX)
    }

    /// Replies with the state of the engine as soon as it differs from `known`, or after
    /// `MAX_STATUS_WAIT`.
    async fn answer_status(&self, known: Option<EngineStatus>, mut responder: Responder) {
        let received_at = self.clock.now().elapsed;
        let mut status = self.engine_status.subscribe();
        let changed = status.wait_for(|status| Some(*status) != known);
        let waited = tokio::select! {
            waited = tokio::time::timeout(MAX_STATUS_WAIT, changed) => waited,
            () = responder.wait_closed() => return,
        };
        // Releases the read lock on the status, which must not be held while the reply is sent.
        drop(waited);
        let current = *self.engine_status.borrow();
        let watchers = self.watcher_count();
        let elapsed = self.clock.now().elapsed;
        let held = elapsed.saturating_sub(received_at);
        let named = lock(&self.state).named_versions(elapsed);
        let reply = Reply::Engine {
            status: current,
            watchers,
            named,
            held_ms: millis(held),
        };
        self.send_reply(responder, reply).await;
    }

    async fn answer_piece(
        self: &Arc<Self>,
        from: Name,
        manifest: Digest,
        piece: Piece,
        wait: bool,
        mut responder: Responder,
    ) {
        let (token, rx) = self.register_upload_request();
        let request = weights::Event::PieceRequested {
            token,
            from,
            manifest,
            piece,
            wait,
        };
        let is_downloading = lock(&self.state).is_downloading(&manifest);
        if !is_downloading {
            self.decide_upload(token, Err(Denial::ManifestMismatch));
        }
        self.handle_event(Event::Transfer(manifest, request));
        let decision = tokio::select! {
            decision = rx => decision.ok(),
            () = responder.wait_closed() => None,
        };
        match decision {
            Some(Ok(())) => self.upload(&manifest, piece, responder).await,
            Some(Err(denial)) => self.send_reply(responder, Reply::Denied(denial)).await,
            None => {}
        }
        lock(&self.upload_requests).remove(&token);
        let ended = weights::Event::PieceRequestEnded(token);
        self.handle_event(Event::Transfer(manifest, ended));
    }

    fn register_upload_request(&self) -> (u64, oneshot::Receiver<Result<(), Denial>>) {
        let mut next = lock(&self.next_token);
        *next += 1;
        let (tx, rx) = oneshot::channel();
        lock(&self.upload_requests).insert(*next, tx);
        (*next, rx)
    }

    async fn upload(&self, manifest: &Digest, piece: Piece, mut responder: Responder) {
        let Some(mut remaining) = self.store.get(manifest, piece) else {
            let reply = Reply::Denied(Denial::ManifestMismatch);
            self.send_reply(responder, reply).await;
            return;
        };
        let reply = self.envelope(Reply::Piece(remaining.len() as u64));
        let mut sent = responder.send(&reply).await;
        while sent.is_ok() && !remaining.is_empty() {
            let slice = remaining.split_to(remaining.len().min(SLICE_BYTES));
            self.upload_pacer.acquire(slice.len()).await;
            sent = responder.send_raw(slice).await;
        }
        if let Err(e) = sent.and_then(|()| responder.end()) {
            log::debug!(target: LOG_TARGET, "cannot send piece {piece}: {e}");
        }
    }
}

fn failure_cause(e: &BackendError) -> FailureCause {
    log::debug!(target: LOG_TARGET, "download from the origin failed: {e}");
    match e {
        BackendError::Refused(429) => FailureCause::Denied(Denial::Busy),
        BackendError::Unreadable(_) => FailureCause::Corrupt,
        BackendError::Refused(_) | BackendError::Unreachable(_) => FailureCause::Unreachable,
    }
}
