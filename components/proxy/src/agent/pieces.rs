//! Fetches pieces of weights from peers and the origin, and uploads pieces to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use control::agent::{
    Event,
    State, //
};
use http::{
    Method,
    StatusCode, //
};
use http_body_util::BodyExt;
use protocol::{
    Reply,
    Request, //
};
use sheet::Sheet;
use utils::clock::ClockReading;
use utils::digest::Digest;
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
use wire::Responder;

use super::{
    lock,
    ControlReply,
    Inner, //
};
use crate::links::TRANSFER_SLICE_BYTES;
use crate::platform_client;

/// The minimum interval between progress events of a fetch.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout for the reply of a peer, including the time that the peer holds a request for a
/// piece that it does not have yet.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// The fetch of one piece.
struct PieceFetch {
    manifest: Digest,
    model: Name,
    version: Name,
    piece: Piece,
    source: Source,
    /// Whether the peer holds the request until it has the piece.
    wait: bool,
    source_region: Name,
    /// The region of this instance.
    own_region: Name,
}

impl Inner {
    pub(super) fn execute_transfer(
        self: &Arc<Self>,
        state: &State,
        now: ClockReading,
        effect: Effect,
    ) {
        match effect {
            Effect::Fetch {
                piece,
                source,
                wait,
            } => self.start_fetch(state, piece, source, wait),
            Effect::Cancel(piece) => {
                if let Some(task) = lock(&self.fetches).remove(&piece) {
                    task.abort();
                }
            }
            Effect::Exchange(name) => {
                let heartbeat = state.heartbeat(now.elapsed);
                let node = self.node.clone();
                self.node
                    .runtime
                    .spawn(node.send_heartbeat(name, heartbeat));
            }
            Effect::Upload(token, _) => self.send_reply(token, ControlReply::Upload),
            Effect::Deny(token, denial) => self.send_reply(token, ControlReply::Deny(denial)),
            Effect::Complete => log::info!(
                "{}: all pieces are held and verified",
                self.node.identity.instance
            ),
            Effect::TooLarge(bytes) => log::error!(
                "{}: the weights have {bytes} bytes, more than the memory limit of this instance",
                self.node.identity.instance
            ),
        }
    }

    fn start_fetch(self: &Arc<Self>, state: &State, piece: Piece, source: Source, wait: bool) {
        let Some(fetch) = plan_fetch(state, piece, source, wait) else {
            return;
        };
        let inner = self.clone();
        let task = self.node.runtime.spawn(async move {
            let result = inner.fetch_piece(&fetch).await;
            lock(&inner.fetches).remove(&fetch.piece);
            inner.finish_fetch(&fetch, result);
        });
        lock(&self.fetches).insert(piece, task.abort_handle());
    }

    fn finish_fetch(&self, fetch: &PieceFetch, result: Result<Bytes, FailureCause>) {
        if let Ok(data) = &result {
            let from = match fetch.source {
                Source::Origin => "origin",
                Source::Peer(_) => "peer",
            };
            let count = data.len() as u64;
            metrics::counter!("medlarproxy_weights_bytes_total", "from" => from).increment(count);
        }
        let event = match result.and_then(|data| self.verify_and_store(fetch, data)) {
            Ok(event) => event,
            Err(cause) => {
                log::debug!(
                    "cannot fetch piece {} from {:?}: {cause:?}",
                    fetch.piece,
                    fetch.source
                );
                weights::Event::FetchFailed(fetch.piece, fetch.source.clone(), cause)
            }
        };
        self.node
            .control
            .send(Event::Fetched(fetch.manifest, event));
    }

    /// Checks the digest of a piece and stores it. Returns the event for the control thread.
    fn verify_and_store(
        &self,
        fetch: &PieceFetch,
        data: Bytes,
    ) -> Result<weights::Event, FailureCause> {
        let source = fetch.source.clone();
        if fetch.piece == MANIFEST_PIECE {
            let manifest = Manifest::parse(&data, &fetch.manifest).map_err(|e| {
                log::warn!("invalid manifest of {} from {source:?}: {e}", fetch.version);
                FailureCause::Corrupt
            })?;
            let stored = Arc::new(manifest.clone());
            self.store.insert_manifest(fetch.manifest, data, stored);
            return Ok(weights::Event::ManifestReceived(source, manifest));
        }
        let manifest = self.store.manifest(&fetch.manifest);
        let expected = manifest
            .as_ref()
            .and_then(|manifest| manifest.chunk_digest(fetch.piece));
        if expected != Some(&Digest::of(&data)) {
            log::warn!("piece {} from {source:?} has a wrong digest", fetch.piece);
            return Err(FailureCause::Corrupt);
        }
        self.store.insert(fetch.manifest, fetch.piece, data);
        Ok(weights::Event::ChunkReceived(fetch.piece, source))
    }

    async fn fetch_piece(&self, fetch: &PieceFetch) -> Result<Bytes, FailureCause> {
        match &fetch.source {
            Source::Origin => {
                let origin = self.origin.ok_or(FailureCause::Unreachable)?;
                self.fetch_from_origin(fetch, origin).await
            }
            Source::Peer(name) => self.fetch_from_peer(fetch, name).await,
        }
    }

    async fn fetch_from_origin(
        &self,
        fetch: &PieceFetch,
        origin: SocketAddr,
    ) -> Result<Bytes, FailureCause> {
        let file = match fetch.piece.checked_sub(1) {
            None => "manifest".to_owned(),
            Some(chunk) => format!("chunks/{chunk}"),
        };
        let path = format!("/v1/weights/{}/{}/{file}", fetch.model, fetch.version);
        let request = platform_client::request(Method::GET, origin, &path, Bytes::new())
            .map_err(|_| FailureCause::Unreachable)?;
        let response = platform_client::send(&self.http, request)
            .await
            .map_err(|_| FailureCause::Unreachable)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(FailureCause::Denied(Denial::Busy)),
            _ => return Err(FailureCause::Unreachable),
        }
        let mut body = response.into_body();
        let mut data = BytesMut::new();
        let mut reported_at = self.node.clock.now().elapsed;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| FailureCause::Unreachable)?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if let Some(link) = self
                .links
                .inter_region_link(&fetch.source_region, &fetch.own_region)
            {
                link.acquire(part.len()).await;
            }
            self.links.wait_to_receive(part.len()).await;
            data.extend_from_slice(&part);
            self.report_progress(fetch, &mut reported_at);
        }
        Ok(data.freeze())
    }

    async fn fetch_from_peer(
        &self,
        fetch: &PieceFetch,
        name: &Name,
    ) -> Result<Bytes, FailureCause> {
        let request = Request::Piece {
            manifest: fetch.manifest,
            piece: fetch.piece,
            wait: fetch.wait,
        };
        let call = self.node.call(name, request, PEER_TIMEOUT).await;
        let mut call = call.map_err(|e| {
            log::debug!("request for piece {} to {name} failed: {e}", fetch.piece);
            FailureCause::Unreachable
        })?;
        let length = match call.reply.body {
            Reply::Piece(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Reply::Denied(denial) => return Err(FailureCause::Denied(denial)),
            _ => return Err(FailureCause::Unreachable),
        };
        let mut data = BytesMut::new();
        let mut reported_at = self.node.clock.now().elapsed;
        while data.len() < length {
            let part = call.reader.receive_raw(TRANSFER_SLICE_BYTES).await;
            let part = part.ok().flatten().ok_or(FailureCause::Unreachable)?;
            self.links.wait_to_receive(part.len()).await;
            data.extend_from_slice(&part);
            self.report_progress(fetch, &mut reported_at);
        }
        Ok(data.freeze())
    }

    /// Sends a progress event unless one was sent within [`PROGRESS_INTERVAL`].
    fn report_progress(&self, fetch: &PieceFetch, reported_at: &mut Duration) {
        let now = self.node.clock.now().elapsed;
        if now.saturating_sub(*reported_at) >= PROGRESS_INTERVAL {
            *reported_at = now;
            let event = weights::Event::Progress(fetch.piece);
            self.node
                .control
                .send(Event::Fetched(fetch.manifest, event));
        }
    }

    /// Handles the request of a peer for a piece.
    pub(super) async fn handle_piece_request(
        self: &Arc<Self>,
        from: Name,
        manifest: Digest,
        piece: Piece,
        wait: bool,
        mut responder: Responder,
    ) {
        let request_ended = |token| Event::Transfer(weights::Event::PieceRequestEnded(token));
        let mut pending = self.register_request(Some(request_ended));
        let token = pending.token;
        self.node
            .control
            .send(Event::Transfer(weights::Event::PieceRequested {
                token,
                from: from.clone(),
                manifest,
                piece,
                wait,
            }));
        let reply = tokio::select! {
            reply = &mut pending.reply => reply.ok(),
            () = responder.wait_closed() => None,
        };
        match reply {
            Some(ControlReply::Upload) => {
                self.upload(&from, manifest, piece, responder).await;
            }
            Some(ControlReply::Deny(denial)) => {
                self.node.send_reply(responder, Reply::Denied(denial)).await;
            }
            _ => {}
        }
    }

    async fn upload(&self, to: &Name, manifest: Digest, piece: Piece, mut responder: Responder) {
        let Some(data) = self.store.get(&manifest, piece) else {
            let reply = Reply::Denied(Denial::ManifestMismatch);
            self.node.send_reply(responder, reply).await;
            return;
        };
        let regions = self.regions_of_pair(to).await;
        let reply = self.node.envelope(Reply::Piece(data.len() as u64));
        let mut sent = responder.send(&reply).await;
        let mut remaining = data;
        while sent.is_ok() && !remaining.is_empty() {
            let slice = remaining.split_to(remaining.len().min(TRANSFER_SLICE_BYTES));
            if let Some((own, other)) = &regions {
                self.links.wait_to_send(slice.len(), own, other).await;
            }
            let count = slice.len() as u64;
            metrics::counter!("medlarproxy_weights_bytes_total", "to" => "peer").increment(count);
            sent = responder.send_raw(slice).await;
        }
        if let Err(e) = sent.and_then(|()| responder.end()) {
            log::debug!("cannot upload piece {piece} to {to}: {e}");
        }
    }

    /// Returns the regions of this instance and of `other`. `None` unless the sheet places both.
    async fn regions_of_pair(&self, other: &Name) -> Option<(Name, Name)> {
        let own = self.node.identity.instance.clone();
        let other = other.clone();
        let regions = move |state: &State, _: ClockReading| {
            let sheet = state.follower().sheet()?;
            Some((region_of(sheet, &own)?, region_of(sheet, &other)?))
        };
        self.node.control.query(regions).await.flatten()
    }
}

fn region_of(sheet: &Sheet, instance: &str) -> Option<Name> {
    Some(sheet.placement(instance)?.region.clone())
}

fn plan_fetch(state: &State, piece: Piece, source: Source, wait: bool) -> Option<PieceFetch> {
    let transfer = state.current_transfer()?;
    let sheet = state.follower().sheet()?;
    let manifest = *transfer.plan().manifest();
    let (name, model) = sheet
        .models
        .iter()
        .find(|(_, model)| model.manifest == manifest)?;
    let own_region = transfer.plan().region().clone();
    let source_region = match &source {
        Source::Origin => sheet.origin_region.clone(),
        Source::Peer(name) => transfer
            .plan()
            .region_of(name)
            .unwrap_or(&own_region)
            .clone(),
    };
    Some(PieceFetch {
        manifest,
        model: name.clone(),
        version: model.version.clone(),
        piece,
        source,
        wait,
        source_region,
        own_region,
    })
}
