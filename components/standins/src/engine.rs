//! A model engine.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::io;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::channel::Sender;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::Channel;
use hyper::body::Incoming;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::clock::Clock;
use utils::digest::Digest;
use utils::Name;
use weights::Manifest;

use crate::server::{
    answer,
    collect,
    start,
    Body,
    Server, //
};

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Requests that it bears in cold start.
    pub cold_limit: u32,
    /// Requests that it bears.
    pub full_limit: u32,
    /// How long a load takes.
    pub load_time: Duration,
    /// How long it stays cold.
    pub cold_time: Duration,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            full_limit: 16,
            load_time: Duration::from_millis(200),
            cold_time: Duration::from_millis(500),
            first_token: Duration::from_millis(10),
            token_time: Duration::from_millis(5),
            checks_fence: true,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSwitches {
    /// It exchanges the ids of two answers.
    pub cross_answers: bool,
    /// It does not tell its state.
    pub mute: bool,
    /// It stops half way through each answer and closes the connection in order.
    pub cut_answers: bool,
}

/// What an engine counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that began.
    pub began: u64,
    /// Requests that came while it had as many as it bears cold.
    pub beyond_cold: u64,
    /// Requests at once, at the most.
    pub most_running: u32,
    /// Times that it crashed.
    pub crashes: u64,
    /// Orders that it took.
    pub loads: u64,
    /// Orders that it refused for their fencing number.
    pub fenced: u64,
    /// Loads of weights that were not whole.
    pub partial_loads: u64,
}

#[derive(Debug, Default)]
struct Held {
    version: Option<Name>,
    /// Whether the weights in use are whole; told in each token.
    whole: bool,
    loading: bool,
    staged: BTreeMap<(Digest, u32), Bytes>,
    running: u32,
    starts: u64,
    cold_until: Duration,
    fence: u64,
    switches: EngineSwitches,
    counts: EngineCounts,
    crossed: VecDeque<HeaderValue>,
}

struct Shared {
    options: EngineOptions,
    clock: Arc<dyn Clock>,
    held: Mutex<Held>,
    crashed: tokio::sync::watch::Sender<u64>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

/// A prompt that holds these words crashes the engine.
const POISON: &str = "crash the engine";

#[derive(Serialize)]
struct StateText<'a> {
    version: &'a Option<Name>,
    loading: bool,
    starts: u64,
}

#[derive(Deserialize)]
struct LoadText {
    version: Name,
    manifest: Digest,
    fence: u64,
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    /// Tokens that the caller has already.
    #[serde(skip)]
    first: u32,
}

fn default_tokens() -> u32 {
    8
}

impl Engine {
    /// Starts an engine that runs `version`, or nothing.
    pub async fn start(
        options: EngineOptions,
        clock: Arc<dyn Clock>,
        version: Option<Name>,
    ) -> io::Result<Self> {
        let held = Held {
            whole: version.is_some(),
            version,
            starts: 1,
            ..Held::default()
        };
        let shared = Arc::new(Shared {
            options,
            clock,
            held: Mutex::new(held),
            crashed: tokio::sync::watch::Sender::new(0),
        });
        let handler = shared.clone();
        let server = start(move |request| handler.clone().handle(request)).await?;
        let server = Arc::new(server);
        Ok(Self { shared, server })
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets faults.
    pub fn set(&self, switches: EngineSwitches) {
        self.shared.lock().switches = switches;
    }

    /// What was counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts
    }

    /// The version that it runs.
    pub fn version(&self) -> Option<Name> {
        self.shared.lock().version.clone()
    }

    /// Whether it loads or is in cold start.
    pub fn is_out_or_cold(&self) -> bool {
        let held = self.shared.lock();
        held.loading || held.version.is_none() || self.shared.is_cold(&held)
    }

    /// Whether it loads a version now.
    pub fn is_loading(&self) -> bool {
        self.shared.lock().loading
    }

    /// Crashes: every running request is cut, and it starts again, cold, with the same version.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Turns cold without any sign but its slowness.
    pub fn turn_cold(&self) {
        let until = self.shared.clock.now().elapsed + self.shared.options.cold_time;
        self.shared.lock().cold_until = until;
    }

    /// Goes away for good.
    pub fn die(&self) {
        self.shared.crash();
        self.server.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cold(&self, held: &Held) -> bool {
        self.clock.now().elapsed < held.cold_until
    }

    fn crash(&self) {
        let mut held = self.lock();
        held.starts += 1;
        // The process that starts anew runs nothing, whatever is still being cut.
        held.running = 0;
        held.counts.crashes += 1;
        held.cold_until = self.clock.now().elapsed + self.options.cold_time;
        drop(held);
        self.crashed.send_modify(|count| *count += 1);
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["engine", "state"]) => self.state(),
            (&Method::PUT, ["engine", "weights", manifest, piece]) => {
                let key = manifest.parse().ok().zip(piece.parse().ok());
                let data = collect(request).await?;
                if let Some(key) = key {
                    self.lock().staged.insert(key, data);
                }
                Ok(answer(StatusCode::OK, ""))
            }
            (&Method::POST, ["engine", "load"]) => {
                let text = collect(request).await?;
                Ok(self.load(&text))
            }
            (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.complete(request).await
            }
            _ => Ok(answer(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn state(&self) -> io::Result<Response<Body>> {
        let held = self.lock();
        if held.switches.mute {
            return Err(io::Error::other("mute"));
        }
        let text = StateText {
            version: &held.version,
            loading: held.loading,
            starts: held.starts,
        };
        let json = serde_json::to_vec(&text).unwrap_or_default();
        Ok(answer(StatusCode::OK, json))
    }

    fn load(self: Arc<Self>, text: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<LoadText>(text) else {
            return answer(StatusCode::BAD_REQUEST, "not an order");
        };
        let mut held = self.lock();
        if self.options.checks_fence && order.fence < held.fence {
            held.counts.fenced += 1;
            return answer(StatusCode::CONFLICT, "old fencing number");
        }
        held.fence = held.fence.max(order.fence);
        held.loading = true;
        held.counts.loads += 1;
        drop(held);
        tokio::spawn(self.finish_load(order));
        answer(StatusCode::ACCEPTED, "")
    }

    async fn finish_load(self: Arc<Self>, order: LoadText) {
        tokio::time::sleep(self.options.load_time).await;
        let mut held = self.lock();
        let whole = is_whole(&held.staged, &order.manifest);
        held.whole = whole;
        held.counts.partial_loads += u64::from(!whole);
        held.version = Some(order.version);
        held.loading = false;
        held.staged
            .retain(|(digest, _), _| *digest != order.manifest);
        held.cold_until = self.clock.now().elapsed + self.options.cold_time;
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let id = request.headers().get("x-request-id").cloned();
        let resumed = request.headers().get("x-resume-events");
        let resumed = resumed.and_then(|v| v.to_str().ok()?.parse().ok());
        let body = collect(request).await?;
        let Ok(mut completion) = serde_json::from_slice::<Completion>(&body) else {
            return Ok(answer(StatusCode::BAD_REQUEST, "not a completion request"));
        };
        completion.first = resumed.unwrap_or(0);
        let Some(running) = self.begin()? else {
            return Ok(answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "no model is loaded",
            ));
        };
        if completion.prompt.contains(POISON) {
            tokio::time::sleep(self.options.first_token).await;
            self.crash();
            return Err(io::Error::other("crashed"));
        }
        let mut crashed = self.crashed.subscribe();
        tokio::select! {
            () = tokio::time::sleep(self.options.first_token) => {}
            _ = crashed.changed() => return Err(io::Error::other("crashed")),
        }
        let (tx, channel) = Channel::<Bytes, io::Error>::new(4);
        let mut response = Response::new(UnsyncBoxBody::new(channel));
        let kind = if completion.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Some(id) = self.answer_id(id) {
            headers.insert("x-request-id", id);
        }
        tokio::spawn(self.clone().generate(completion, tx, crashed, running));
        Ok(response)
    }

    /// Counts a request in. Falls over if there are too many.
    fn begin(self: &Arc<Self>) -> io::Result<Option<Running>> {
        let mut held = self.lock();
        if held.loading || held.version.is_none() {
            return Ok(None);
        }
        let is_cold = self.is_cold(&held);
        held.running += 1;
        held.counts.began += 1;
        held.counts.most_running = held.counts.most_running.max(held.running);
        let beyond_cold = is_cold && held.running > self.options.cold_limit;
        held.counts.beyond_cold += u64::from(beyond_cold);
        let falls = beyond_cold || held.running > 2 * self.options.full_limit;
        let running = Running {
            shared: self.clone(),
            start: held.starts,
        };
        drop(held);
        if falls {
            self.crash();
            return Err(io::Error::other("fell over"));
        }
        Ok(Some(running))
    }

    /// The id that goes back, which a fault exchanges with another answer's.
    fn answer_id(&self, id: Option<HeaderValue>) -> Option<HeaderValue> {
        let mut held = self.lock();
        if !held.switches.cross_answers {
            return id;
        }
        held.crossed.push_back(id?);
        if held.crossed.len() < 2 {
            return Some(HeaderValue::from_static("0"));
        }
        held.crossed.pop_front()
    }

    async fn generate(
        self: Arc<Self>,
        completion: Completion,
        mut tx: Sender<Bytes, io::Error>,
        mut crashed: tokio::sync::watch::Receiver<u64>,
        running: Running,
    ) {
        let mut text = String::new();
        let cut_at = completion.max_tokens / 2;
        for number in completion.first..completion.max_tokens {
            let (label, cuts) = {
                let held = self.lock();
                let version = held.version.clone().unwrap_or_default();
                let whole = if held.whole { "" } else { "-partial" };
                (format!("{version}{whole}"), held.switches.cut_answers)
            };
            if cuts && number == cut_at {
                return;
            }
            let part = if completion.stream {
                let token = serde_json::json!({"choices": [{"text": format!("{label} ")}]});
                format!("data: {token}\n\n")
            } else {
                text.push_str(&label);
                text.push(' ');
                String::new()
            };
            if !part.is_empty() && tx.send_data(part.into()).await.is_err() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(self.options.token_time) => {}
                _ = crashed.changed() => {
                    tx.abort(io::Error::other("crashed"));
                    return;
                }
            }
        }
        let last = if completion.stream {
            "data: [DONE]\n\n".to_owned()
        } else {
            serde_json::json!({"choices": [{"text": text}]}).to_string()
        };
        // The slot is free before the caller can know that the answer has ended.
        drop(running);
        // A caller that left has no use for the last part.
        let _left = tx.send_data(last.into()).await;
    }
}

/// Counts a request out when it is dropped.
struct Running {
    shared: Arc<Shared>,
    start: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut held = self.shared.lock();
        if held.starts == self.start {
            held.running -= 1;
        }
    }
}

/// Whether every chunk that the manifest lists is staged and right.
fn is_whole(staged: &BTreeMap<(Digest, u32), Bytes>, digest: &Digest) -> bool {
    let Some(text) = staged.get(&(*digest, 0)) else {
        return false;
    };
    let Ok(manifest) = Manifest::parse(text, digest) else {
        return false;
    };
    let count = u32::try_from(manifest.piece_count()).unwrap_or(u32::MAX);
    (1..count).all(|piece| {
        let data = staged.get(&(*digest, piece));
        data.map(|data| Digest::of(data)).as_ref() == manifest.chunk_digest(piece)
    })
}
