//! The weight store.

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
    answer,
    start,
    Body,
    Server, //
};

/// Waits until some bytes may leave the store.
pub type Pace = Arc<dyn Fn(usize) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// Bytes sent between two waits.
const SLICE_BYTES: usize = 16 << 10;

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct OriginSwitches {
    /// Every n-th chunk is sent with a wrong byte.
    pub corrupt_every: Option<u64>,
    /// Every n-th chunk stops half way.
    pub stall_every: Option<u64>,
    /// The content under every name has changed.
    pub changed: bool,
    /// It does not answer.
    pub down: bool,
}

#[derive(Debug, Default)]
struct Held {
    versions: BTreeMap<String, (Bytes, Bytes, u32)>,
    switches: OriginSwitches,
    chunks_sent: u64,
    bytes_sent: u64,
}

struct Shared {
    held: Mutex<Held>,
    pace: Pace,
}

/// The store with its versions.
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
    /// Starts empty. `pace` stands for its link.
    pub async fn start(pace: Pace) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            held: Mutex::default(),
            pace,
        });
        let handler = shared.clone();
        let server = start(move |request| handler.clone().handle(request)).await?;
        Ok(Self { shared, server })
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Stores a version. Returns the digest of its manifest.
    pub fn add(&self, model: &str, version: &str, content: Vec<u8>, chunk_bytes: u32) -> Digest {
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

    /// Sets faults.
    pub fn set(&self, switches: OriginSwitches) {
        self.shared.lock().switches = switches;
    }

    /// Bytes of chunks sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.shared.lock().bytes_sent
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        if self.lock().switches.down {
            return Err(io::Error::other("the store is down"));
        }
        let path = request.uri().path();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        Ok(match parts.as_slice() {
            ["v1", "weights", model, version, "manifest"] => {
                let key = format!("{model}/{version}");
                let found = self.lock().versions.get(&key).map(|v| v.0.clone());
                found.map_or_else(not_found, |text| answer(StatusCode::OK, text))
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
        let held = self.lock();
        let (_, content, size) = held.versions.get(key)?;
        let size = *size as usize;
        let start = chunk.checked_mul(size).filter(|at| *at < content.len())?;
        Some(content.slice(start..content.len().min(start + size)))
    }

    fn send(self: Arc<Self>, mut data: Bytes) -> Response<Body> {
        let stalls = {
            let mut held = self.lock();
            held.chunks_sent += 1;
            let number = held.chunks_sent;
            let hits = |every: Option<u64>| every.is_some_and(|n| number.is_multiple_of(n.max(1)));
            if hits(held.switches.corrupt_every) || held.switches.changed {
                let mut wrong = data.to_vec();
                wrong[0] ^= 1;
                data = wrong.into();
            }
            hits(held.switches.stall_every)
        };
        let (mut tx, channel) = Channel::<Bytes, io::Error>::new(1);
        let length = data.len();
        tokio::spawn(async move {
            let half = data.len() / 2;
            while !data.is_empty() {
                if stalls && data.len() <= half {
                    tokio::time::sleep(Duration::from_secs(3600)).await;
                }
                let slice = data.split_to(data.len().min(SLICE_BYTES));
                (self.pace)(slice.len()).await;
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
    answer(StatusCode::NOT_FOUND, "no such weights")
}
