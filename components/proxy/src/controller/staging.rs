//! Sends pieces to the engine, reads them back, and orders the engine to load them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control::controller::{
    Event,
    Load,
    ModelVersion, //
};
use control::PieceCheck;
use record::{
    LoadCheck,
    OrderAnswer, //
};
use utils::digest::Digest;
use utils::millis::millis;
use weights::{
    Manifest,
    Piece, //
};

use super::{
    lock,
    Agent,
    BackendError, //
};

/// The `source` of the log lines: the former path of this module, which stays because operators'
/// tools match it.
const LOG_TARGET: &str = "proxy::keeper::staging";

/// The number of differing or missing pieces before the first match at which the engine is assumed
/// to hold another version.
const MAX_INITIAL_MISMATCHES: usize = 4;

/// The maximum number of rounds that check all pieces and send the differing ones.
const MAX_STAGING_ROUNDS: usize = 3;

impl Agent {
    /// Copies the pieces of a version that the engine already holds into the store.
    pub(super) async fn check_engine(self: Arc<Self>, model_version: ModelVersion) {
        let Some(manifest) = self.store.manifest(&model_version.key) else {
            return;
        };
        let mut found = Vec::new();
        let mut mismatches = 0;
        for (piece, digest) in chunks(&manifest) {
            if self.store.get(&model_version.key, piece).is_some() {
                continue;
            }
            match self.read_back(&model_version, piece, digest).await {
                Ok(Some(data)) => {
                    self.store.insert(model_version.key, piece, data);
                    found.push(piece);
                }
                Ok(None) | Err(_) => mismatches += 1,
            }
            if found.is_empty() && mismatches >= MAX_INITIAL_MISMATCHES {
                break;
            }
        }
        self.handle_event(Event::EngineChecked(model_version.key, found));
    }

    /// Makes the engine hold all pieces of a load, and reports whether that succeeded.
    pub(super) async fn stage(self: Arc<Self>, load: Load) {
        let _guard = self.staging.lock().await;
        let mut written = 0;
        let check = self.stage_all(&load, &mut written).await;
        // Reported before a check of loaded weights can begin, which must know of written pieces.
        self.handle_event(Event::Staged {
            load,
            check,
            written,
        });
    }

    /// Compares the pieces that the engine holds with the manifest, and reports the result.
    pub(super) async fn check_loaded(self: Arc<Self>, load: Load) {
        let _guard = self.staging.lock().await;
        let started_at = self.clock.now().elapsed;
        let result = self.compare_pieces(&load).await;
        self.handle_event(Event::LoadChecked {
            load,
            started_at,
            result,
        });
    }

    async fn compare_pieces(&self, load: &Load) -> LoadCheck {
        let model_version = &load.model_version;
        let Some(manifest) = self.store.manifest(&model_version.key) else {
            return LoadCheck::Unreadable;
        };
        for (piece, digest) in pieces_of(&manifest, load) {
            match self.read_back(model_version, piece, digest).await {
                Ok(Some(_)) => {}
                Ok(None) | Err(BackendError::Refused(404)) => {
                    self.log_changed_piece(model_version, piece);
                    return LoadCheck::Changed;
                }
                Err(_) => return LoadCheck::Unreadable,
            }
        }
        LoadCheck::Intact
    }

    /// Returns the check that found all pieces, or `None` if the engine does not hold all of them or need not
    /// by now. Counts the pieces that are written.
    async fn stage_all(&self, load: &Load, written: &mut u64) -> Option<PieceCheck> {
        let model_version = &load.model_version;
        let manifest = self.store.manifest(&model_version.key)?;
        for _ in 0..MAX_STAGING_ROUNDS {
            let started_at = self.clock.now().elapsed;
            let mut sent = 0;
            for (piece, digest) in pieces_of(&manifest, load) {
                if !lock(&self.state).is_staging(load) {
                    return None;
                }
                if let Ok(Some(_)) = self.read_back(model_version, piece, digest).await {
                    continue;
                }
                sent += 1;
                self.log_changed_piece(model_version, piece);
                let data = self.store.get(&model_version.key, piece)?;
                if !lock(&self.state).is_staging(load) {
                    return None;
                }
                *written += 1;
                if let Err(e) =
                    (self.backends.write_piece)(model_version.model.clone(), piece, data).await
                {
                    log::warn!(target: LOG_TARGET, "the engine did not accept piece {piece}: {e}");
                    return None;
                }
            }
            if sent == 0 {
                let ended_at = self.clock.now().elapsed;
                return Some(PieceCheck {
                    started_at,
                    ended_at,
                });
            }
            log::info!(
                target: LOG_TARGET,
                "{sent} pieces of version {} were missing or corrupt at the engine and were written",
                model_version.version
            );
            metrics::counter!("medlarproxy_staged_pieces_written_total").increment(sent);
        }
        None
    }

    /// Reads a piece from the engine. Returns `None` if its digest differs.
    async fn read_back(
        &self,
        model_version: &ModelVersion,
        piece: Piece,
        digest: &Digest,
    ) -> Result<Option<Bytes>, BackendError> {
        let data = (self.backends.read_piece)(model_version.model.clone(), piece).await?;
        if Digest::of(&data) != *digest {
            return Ok(None);
        }
        let now = self.clock.now().elapsed;
        lock(&self.read_intact_at).insert((model_version.key, piece), now);
        Ok(Some(data))
    }

    /// Logs that a piece is corrupt or missing which the engine held intact before.
    fn log_changed_piece(&self, model_version: &ModelVersion, piece: Piece) {
        let intact_at = lock(&self.read_intact_at).remove(&(model_version.key, piece));
        let Some(intact_at) = intact_at else {
            return;
        };
        let age = self.clock.now().elapsed.saturating_sub(intact_at);
        log::warn!(
            target: LOG_TARGET,
            "piece {piece} of version {} changed at the engine; it was last read intact {} ms ago",
            model_version.version,
            millis(age)
        );
        metrics::counter!("medlarproxy_staged_pieces_changed_total").increment(1);
    }

    /// Orders the engine to load unless it is later than `valid_until`. The process may have stood still
    /// since the order was decided.
    pub(super) async fn order_load(
        self: Arc<Self>,
        number: u64,
        load: Load,
        sequence: Option<u64>,
        valid_until: Duration,
    ) {
        let answer = if self.clock.now().elapsed <= valid_until {
            self.send_load_order(&load, sequence).await
        } else {
            OrderAnswer::NotSent
        };
        self.handle_event(Event::OrderAnswered(number, answer));
        self.read_engine().await;
    }

    async fn send_load_order(&self, load: &Load, sequence: Option<u64>) -> OrderAnswer {
        let version = load.model_version.version;
        let result = (self.backends.order_load)(load.clone(), sequence).await;
        let e = match result {
            Ok(answer) => return answer,
            Err(e) => e,
        };
        log::warn!(
            target: LOG_TARGET,
            "the engine did not accept the order to load version {version}: {e}"
        );
        match e {
            BackendError::Refused(400..=499) => OrderAnswer::Refused,
            BackendError::Refused(_) | BackendError::Unreachable(_) => OrderAnswer::Missing,
            BackendError::Unreadable(_) => OrderAnswer::NotSent,
        }
    }
}

/// The pieces of a load, and their digests.
fn pieces_of<'a>(manifest: &'a Manifest, load: &Load) -> impl Iterator<Item = (Piece, &'a Digest)> {
    let pieces = load.layer.map(|layer| manifest.layer_pieces(layer));
    chunks(manifest).filter(move |(piece, _)| pieces.as_ref().is_none_or(|p| p.contains(piece)))
}

/// The piece numbers of a manifest's chunks, and the digests of these chunks.
fn chunks(manifest: &Manifest) -> impl Iterator<Item = (Piece, &Digest)> {
    (1..).zip(&manifest.chunks)
}
