//! A stand-in weight store (the origin) with a limited sending rate.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::Channel;
use hyper::body::Incoming;
use utils::digest::Digest;
use utils::Name;
use weights::Manifest;

use crate::server::{
    response,
    start_server,
    Body,
    Server, //
};

/// Waits until the given number of bytes may be sent.
pub type Throttle = Arc<dyn Fn(usize) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// Bytes sent after each wait for the throttle.
const SEND_SLICE_BYTES: usize = 16 << 10;

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginFaults {
    /// Every n-th chunk is sent with one corrupt byte.
    pub corrupt_every: Option<u64>,
    /// Every n-th chunk stalls after half of its bytes.
    pub stall_every: Option<u64>,
    /// Every chunk is sent with one changed byte, as if the stored versions had been overwritten.
    pub content_changed: bool,
    /// The store closes connections instead of answering.
    pub is_down: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Manifest text, content and chunk size in bytes, by `model/version`.
    versions: BTreeMap<String, (Bytes, Bytes, u32)>,
    faults: OriginFaults,
    chunks_sent: u64,
    bytes_sent: u64,
}

struct Shared {
    state: Mutex<State>,
    throttle: Throttle,
}

/// A running stand-in weight store.
pub struct Origin {
    shared: Arc<Shared>,
    server: Server,
}

impl fmt::Debug for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Origin")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl Origin {
    /// Starts a store without versions. `throttle` limits its sending rate.
    pub async fn start(throttle: Throttle) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            throttle,
        });
        let handler = shared.clone();
        let server = start_server(move |request| handler.clone().handle(request)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the HTTP server of the store.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Stores a version of a model and returns the digest of its manifest.
    pub fn add_version(
        &self,
        model: &str,
        version: &str,
        content: Vec<u8>,
        chunk_bytes: u32,
    ) -> Digest {
        let manifest = Manifest::from_content(
            Name::from(model),
            Name::from(version),
            &content,
            chunk_bytes,
        );
        let text = Bytes::from(manifest.to_text());
        let digest = Digest::of(&text);
        let version = (text, Bytes::from(content), chunk_bytes);
        let key = format!("{model}/{}", manifest.version);
        self.shared.lock().versions.insert(key, version);
        digest
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: OriginFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of bytes of chunks sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.shared.lock().bytes_sent
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        if self.lock().faults.is_down {
            return Err(io::Error::other("injected fault: the store is down"));
        }
        let path = request.uri().path();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        Ok(match parts.as_slice() {
            ["v1", "weights", model, version, "manifest"] => {
                let key = format!("{model}/{version}");
                let found = self.lock().versions.get(&key).map(|v| v.0.clone());
                found.map_or_else(not_found, |text| response(StatusCode::OK, text))
            }
            ["v1", "weights", model, version, "chunks", chunk] => {
                let key = format!("{model}/{version}");
                let chunk = chunk.parse().ok();
                let found = chunk.and_then(|chunk| self.chunk(&key, chunk));
                found.map_or_else(not_found, |data| self.clone().send(data))
            }
            _ => not_found(),
        })
    }

    fn chunk(&self, key: &str, chunk: usize) -> Option<Bytes> {
        let state = self.lock();
        let (_, content, size) = state.versions.get(key)?;
        let size = *size as usize;
        let start = chunk
            .checked_mul(size)
            .filter(|start| *start < content.len())?;
        Some(content.slice(start..content.len().min(start + size)))
    }

    fn send(self: Arc<Self>, mut data: Bytes) -> Response<Body> {
        let stalls = {
            let mut state = self.lock();
            state.chunks_sent += 1;
            let number = state.chunks_sent;
            let is_due =
                |every: Option<u64>| every.is_some_and(|n| number.is_multiple_of(n.max(1)));
            if is_due(state.faults.corrupt_every) || state.faults.content_changed {
                let mut corrupt = data.to_vec();
                corrupt[0] ^= 1;
                data = corrupt.into();
            }
            is_due(state.faults.stall_every)
        };
        let (mut tx, channel) = Channel::<Bytes, io::Error>::new(1);
        let length = data.len();
        tokio::spawn(async move {
            let half = data.len() / 2;
            while !data.is_empty() {
                if stalls && data.len() <= half {
                    // Longer than any run, so that the receiver has to time out.
                    tokio::time::sleep(Duration::from_secs(3600)).await;
                }
                let slice = data.split_to(data.len().min(SEND_SLICE_BYTES));
                (self.throttle)(slice.len()).await;
                self.lock().bytes_sent += slice.len() as u64;
                if tx.send_data(slice).await.is_err() {
                    return;
                }
            }
        });
        let mut response = Response::new(UnsyncBoxBody::new(channel));
        let headers = response.headers_mut();
        headers.insert(http::header::CONTENT_LENGTH, length.into());
        response
    }
}

fn not_found() -> Response<Body> {
    response(StatusCode::NOT_FOUND, "no such weights")
}
