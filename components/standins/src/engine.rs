//! A stand-in model engine: it serves completions, loads staged weights and can be made to fail.

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
use weights::{
    Manifest,
    Piece,
    MANIFEST_PIECE, //
};

use crate::server::{
    read_body,
    response,
    start_server,
    with_id,
    Body,
    Server,
    REQUEST_ID, //
};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Maximum number of concurrent requests during cold start; more of them crash the engine.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests when warm; more than twice as many crash the engine.
    pub full_limit: u32,
    /// Duration of a load.
    pub load_time: Duration,
    /// Duration of the cold start after a load or a crash.
    pub cold_time: Duration,
    /// Time to the first token.
    pub time_to_first_token: Duration,
    /// Time between tokens.
    pub time_between_tokens: Duration,
    /// Whether the engine rejects a load order whose fencing number is lower than an earlier one.
    pub checks_fence: bool,
    /// Whether the engine rejects a load order after the time until which it may be accepted.
    pub checks_acceptance_time: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            full_limit: 16,
            load_time: Duration::from_millis(200),
            cold_time: Duration::from_millis(500),
            time_to_first_token: Duration::from_millis(10),
            time_between_tokens: Duration::from_millis(5),
            checks_fence: true,
            checks_acceptance_time: true,
        }
    }
}

/// The size of the parts in which an engine sends bytes without end.
const ENDLESS_PART_BYTES: usize = 16 << 10;

/// How long a piece may have been wrong when an engine takes it, according to the operators' rule.
const MAX_WRONG_TIME: Duration = Duration::from_secs(3);

/// The number of the first chunk.
const FIRST_CHUNK: Piece = MANIFEST_PIECE + 1;

/// Faults that an engine injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFaults {
    /// The engine sends each response with the id of an earlier request.
    pub swap_response_ids: bool,
    /// The engine closes the connection instead of answering requests for its state.
    pub fail_state_requests: bool,
    /// The engine ends each response after half of its tokens, without a connection error.
    pub truncate_responses: bool,
    /// The engine writes bytes without end after half of the tokens of a stream, which are no event.
    pub sends_endless_event: bool,
    /// The engine runs requests, and writes an earlier refusal, which has no id, as their responses.
    pub repeat_refusals: bool,
    /// How long the engine is silent after half of the tokens of a stream that it does not resume.
    pub pause_in_stream: Duration,
    /// What the engine answers to requests that resume a stream.
    pub resume_response: Option<ResumeResponse>,
    /// How long the engine takes to return a piece.
    pub piece_read_delay: Duration,
    /// How often the first chunk of a version becomes corrupt right after the engine returned it.
    pub corruptions_after_read: u32,
    /// What happens to the next load orders.
    pub order_delay: Option<OrderDelay>,
}

/// A delay between the receipt of a load order and its acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderDelay {
    /// Number of orders that are delayed.
    pub orders: u32,
    /// How long after its receipt the engine decides on the order. It does so even if the sender has given up.
    pub before_acceptance: Duration,
    /// How long after its decision the engine answers.
    pub before_answer: Duration,
    /// Whether the engine answers no other request until it decides.
    pub is_silent: bool,
    /// Whether the connection is closed at once, so that the sender gets no answer.
    pub closes_connection: bool,
}

/// A response that does not continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeResponse {
    /// An error page, with blank lines as between events.
    ErrorPage,
    /// A success that is no stream.
    Document,
    /// A stream without any event, not even the last one.
    EmptyStream,
    /// A refusal: no model is loaded.
    Refusal,
    /// A stream that breaks off in its first event.
    BrokenStream,
    /// No answer until the sender gives up.
    Silence,
    /// The head of a stream, and nothing after it until the sender gives up.
    HeadOnly,
}

/// How long an engine is silent that does not resume a stream.
const RESUME_SILENCE: Duration = Duration::from_secs(60);

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Requests that started to run.
    pub started_requests: u64,
    /// Requests that exceeded the limit of concurrent requests during cold start.
    pub over_cold_limit: u64,
    /// Highest number of concurrent requests.
    pub peak_running: u32,
    /// Crashes.
    pub crashes: u64,
    /// Load orders that were accepted.
    pub load_orders: u64,
    /// Load orders that were rejected because of an old fencing number.
    pub stale_load_orders: u64,
    /// Load orders that were rejected because the time until which they could be accepted had passed.
    pub late_load_orders: u64,
    /// Loads of weights with chunks that were missing or corrupt when the order was accepted.
    pub incomplete_loads: u64,
    /// Loads of weights with a chunk that had been wrong for more than 3 s when the order was accepted.
    pub spoilt_loads: u64,
    /// Requests that started to run on such weights.
    pub spoilt_requests: u64,
}

#[derive(Debug, Default)]
struct State {
    version: Option<Name>,
    /// Whether the loaded weights are complete; each token shows it.
    is_complete: bool,
    /// Whether a chunk of the loaded weights had been wrong for too long when it was taken.
    is_spoilt: bool,
    is_loading: bool,
    /// Number of the load that the engine carries out. An order that is accepted replaces an earlier load.
    load_number: u64,
    /// Until when the engine answers nothing.
    silent_until: Duration,
    /// Since when staged pieces have been corrupt.
    corrupt_since: BTreeMap<(Digest, u32), Duration>,
    /// Staged pieces by the digest of their manifest and their number. Piece 0 is the manifest.
    staged_pieces: BTreeMap<(Digest, u32), Bytes>,
    running: u32,
    start_count: u64,
    cold_until: Duration,
    /// The highest fencing number of all accepted load orders.
    highest_fence: u64,
    faults: EngineFaults,
    counters: EngineCounters,
    /// Request ids that wait to be swapped with those of later responses.
    ids_to_swap: VecDeque<HeaderValue>,
}

struct Shared {
    options: EngineOptions,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Sends the number of crashes, so that running requests notice one.
    crash_count: tokio::sync::watch::Sender<u64>,
}

/// A running stand-in engine.
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

/// A prompt that contains this text crashes the engine.
const CRASH_PROMPT: &str = "crash the engine";

#[derive(Serialize)]
struct StateResponse<'a> {
    version: &'a Option<Name>,
    loading: bool,
    starts: u64,
}

#[derive(Deserialize)]
struct LoadOrder {
    version: Name,
    manifest: Digest,
    fence: u64,
    /// The time until which the order may be accepted, in milliseconds since the Unix epoch.
    #[serde(default)]
    accept_until_ms: Option<u64>,
}

/// The weights of an order, as they were when it was accepted.
#[derive(Clone, Copy)]
struct TakenWeights {
    is_complete: bool,
    is_spoilt: bool,
}

#[derive(Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    /// Number of tokens that the caller already has and that are left out of the response.
    #[serde(skip)]
    resume_after: u32,
}

fn default_max_tokens() -> u32 {
    8
}

impl Engine {
    /// Starts an engine with `version` loaded, or with no model.
    pub async fn start(
        options: EngineOptions,
        clock: Arc<dyn Clock>,
        version: Option<Name>,
    ) -> io::Result<Self> {
        let state = State {
            is_complete: version.is_some(),
            version,
            start_count: 1,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            options,
            clock,
            state: Mutex::new(state),
            crash_count: tokio::sync::watch::Sender::new(0),
        });
        let handler = shared.clone();
        let server = start_server(move |request| handler.clone().handle(request)).await?;
        let server = Arc::new(server);
        Ok(Self { shared, server })
    }

    /// Returns the HTTP server of the engine.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the current counters.
    pub fn counters(&self) -> EngineCounters {
        self.shared.lock().counters
    }

    /// Returns the loaded version, or nothing if no model is loaded.
    pub fn version(&self) -> Option<Name> {
        self.shared.lock().version.clone()
    }

    /// Whether the engine has no model, is loading one or is in cold start.
    pub fn is_unavailable_or_cold(&self) -> bool {
        let state = self.shared.lock();
        state.is_loading || state.version.is_none() || self.shared.is_cold(&state)
    }

    /// Whether the engine is loading a version.
    pub fn is_loading(&self) -> bool {
        self.shared.lock().is_loading
    }

    /// Simulates a crash: all running requests fail, and the engine restarts cold with the same
    /// version.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Replaces the first staged piece of every version by other bytes.
    pub fn corrupt_staged_pieces(&self) {
        let now = self.shared.clock.now().elapsed;
        let mut state = self.shared.lock();
        let keys: Vec<_> = state.staged_pieces.keys().copied().collect();
        for key in keys.into_iter().filter(|(_, piece)| *piece == FIRST_CHUNK) {
            state.corrupt(key, now);
        }
    }

    /// Makes the engine cold without a restart, so that its reported state does not show it.
    pub fn make_cold(&self) {
        let until = self.shared.clock.now().elapsed + self.shared.options.cold_time;
        self.shared.lock().cold_until = until;
    }

    /// Crashes the engine and stops its server for good.
    pub fn kill(&self) {
        self.shared.crash();
        self.server.stop();
    }
}

impl State {
    fn corrupt(&mut self, key: (Digest, u32), now: Duration) {
        self.staged_pieces
            .insert(key, Bytes::from_static(b"corrupt"));
        self.corrupt_since.entry(key).or_insert(now);
    }

    /// Takes the staged pieces of an order as they are.
    fn take_weights(&mut self, manifest: &Digest, now: Duration) -> TakenWeights {
        let was_corrupt = self.corrupt_since.iter().any(|((digest, _), since)| {
            digest == manifest && now.saturating_sub(*since) > MAX_WRONG_TIME
        });
        // Pieces are never removed one by one, so those that are missing were never there.
        let is_spoilt = was_corrupt || !has_every_piece(&self.staged_pieces, manifest);
        TakenWeights {
            is_complete: has_all_chunks(&self.staged_pieces, manifest),
            is_spoilt,
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cold(&self, state: &State) -> bool {
        self.clock.now().elapsed < state.cold_until
    }

    fn crash(&self) {
        let mut state = self.lock();
        state.start_count += 1;
        // A restarted process runs no requests, even while the old ones are still being ended.
        state.running = 0;
        state.counters.crashes += 1;
        state.cold_until = self.clock.now().elapsed + self.options.cold_time;
        drop(state);
        self.crash_count.send_modify(|count| *count += 1);
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        self.wait_while_silent().await;
        match (request.method(), parts.as_slice()) {
            (&Method::GET, ["engine", "state"]) => self.report_state(),
            (&Method::PUT, ["engine", "weights", manifest, piece]) => {
                let key = manifest.parse().ok().zip(piece.parse().ok());
                let data = read_body(request).await?;
                if let Some(key) = key {
                    let mut state = self.lock();
                    state.staged_pieces.insert(key, data);
                    state.corrupt_since.remove(&key);
                }
                Ok(response(StatusCode::OK, ""))
            }
            (&Method::GET, ["engine", "weights", manifest, piece]) => {
                let key = manifest.parse().ok().zip(piece.parse().ok());
                let data = match key {
                    Some(key) => self.read_piece(key).await,
                    None => None,
                };
                Ok(match data {
                    Some(data) => response(StatusCode::OK, data),
                    None => response(StatusCode::NOT_FOUND, "no such piece"),
                })
            }
            (&Method::POST, ["engine", "load"]) => {
                let text = read_body(request).await?;
                self.receive_order(text).await
            }
            (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.complete(request).await
            }
            _ => Ok(response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn report_state(&self) -> io::Result<Response<Body>> {
        let state = self.lock();
        if state.faults.fail_state_requests {
            return Err(io::Error::other("injected fault: state not reported"));
        }
        let report = StateResponse {
            version: &state.version,
            loading: state.is_loading,
            starts: state.start_count,
        };
        let json = serde_json::to_vec(&report).unwrap_or_default();
        Ok(response(StatusCode::OK, json))
    }

    async fn wait_while_silent(&self) {
        loop {
            let silent_until = self.lock().silent_until;
            let remaining = silent_until.saturating_sub(self.clock.now().elapsed);
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining).await;
        }
    }

    async fn read_piece(&self, key: (Digest, u32)) -> Option<Bytes> {
        let delay = self.lock().faults.piece_read_delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let now = self.clock.now().elapsed;
        let mut state = self.lock();
        let data = state.staged_pieces.get(&key).cloned()?;
        let is_corrupt = state.corrupt_since.contains_key(&key);
        if key.1 == FIRST_CHUNK && !is_corrupt && state.faults.corruptions_after_read > 0 {
            state.faults.corruptions_after_read -= 1;
            state.corrupt(key, now);
        }
        Some(data)
    }

    async fn receive_order(self: Arc<Self>, text: Bytes) -> io::Result<Response<Body>> {
        let Some(delay) = self.next_order_delay() else {
            return Ok(self.load(&text));
        };
        // A task of its own, since the engine has read the order and goes on without its sender.
        let decision = tokio::spawn(async move {
            tokio::time::sleep(delay.before_acceptance).await;
            self.load(&text)
        });
        if delay.closes_connection {
            return Err(io::Error::other("injected fault: no answer to an order"));
        }
        let response = decision.await.map_err(io::Error::other)?;
        tokio::time::sleep(delay.before_answer).await;
        Ok(response)
    }

    /// Returns the delay of an order that was received now.
    fn next_order_delay(&self) -> Option<OrderDelay> {
        let now = self.clock.now().elapsed;
        let mut state = self.lock();
        let delay = state.faults.order_delay.as_mut()?;
        delay.orders = delay.orders.checked_sub(1)?;
        let delay = *delay;
        if delay.is_silent {
            state.silent_until = now + delay.before_acceptance;
        }
        Some(delay)
    }

    fn load(self: &Arc<Self>, text: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<LoadOrder>(text) else {
            return response(StatusCode::BAD_REQUEST, "not an order");
        };
        let now = self.clock.now();
        let mut state = self.lock();
        if self.options.checks_fence && order.fence < state.highest_fence {
            state.counters.stale_load_orders += 1;
            return response(StatusCode::CONFLICT, "old fencing number");
        }
        let is_late = order.accept_until_ms.is_some_and(|t| now.unix_ms() > t);
        if self.options.checks_acceptance_time && is_late {
            state.counters.late_load_orders += 1;
            return response(StatusCode::PRECONDITION_FAILED, "the order is too old");
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        state.is_loading = true;
        state.load_number += 1;
        let load_number = state.load_number;
        let taken = state.take_weights(&order.manifest, now.elapsed);
        state.counters.load_orders += 1;
        state.counters.incomplete_loads += u64::from(!taken.is_complete);
        state.counters.spoilt_loads += u64::from(taken.is_spoilt);
        // Only the pieces of the version that is loaded are kept.
        let manifest = order.manifest;
        state.staged_pieces.retain(|(d, _), _| *d == manifest);
        state.corrupt_since.retain(|(d, _), _| *d == manifest);
        drop(state);
        tokio::spawn(self.clone().finish_load(order, load_number, taken));
        response(StatusCode::ACCEPTED, "")
    }

    async fn finish_load(self: Arc<Self>, order: LoadOrder, load_number: u64, taken: TakenWeights) {
        tokio::time::sleep(self.options.load_time).await;
        let mut state = self.lock();
        if state.load_number != load_number {
            return;
        }
        state.is_complete = taken.is_complete;
        state.is_spoilt = taken.is_spoilt;
        state.version = Some(order.version);
        state.is_loading = false;
        state.cold_until = self.clock.now().elapsed + self.options.cold_time;
    }

    async fn complete(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let id = request.headers().get(REQUEST_ID).cloned();
        let resume_after = request.headers().get("x-resume-events");
        let resume_after = resume_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let body = read_body(request).await?;
        let Ok(mut completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
            return Ok(response(
                StatusCode::BAD_REQUEST,
                "not a completion request",
            ));
        };
        completion.resume_after = resume_after.unwrap_or(0);
        let Some(running_request) = self.start_request()? else {
            return Ok(with_id(refusal(), self.response_id(id)));
        };
        let faults = self.lock().faults;
        if faults.repeat_refusals {
            return Ok(refusal());
        }
        if let Some(resume_response) = faults.resume_response.filter(|_| resume_after.is_some()) {
            if resume_response == ResumeResponse::Silence {
                tokio::time::sleep(RESUME_SILENCE).await;
            }
            return Ok(resume_response.to_response(id));
        }
        if completion.prompt.contains(CRASH_PROMPT) {
            tokio::time::sleep(self.options.time_to_first_token).await;
            self.crash();
            return Err(io::Error::other("the engine crashed"));
        }
        let mut crash_count = self.crash_count.subscribe();
        tokio::select! {
            () = tokio::time::sleep(self.options.time_to_first_token) => {}
            _ = crash_count.changed() => return Err(io::Error::other("the engine crashed")),
        }
        let (tx, channel) = Channel::<Bytes, io::Error>::new(4);
        let mut response = Response::new(UnsyncBoxBody::new(channel));
        let content_type = if completion.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        let id = self.response_id(id);
        tokio::spawn(
            self.clone()
                .generate(completion, tx, crash_count, running_request),
        );
        Ok(with_id(response, id))
    }

    /// Counts a request as running, or returns nothing if no model is loaded. Crashes the engine
    /// if too many requests run.
    fn start_request(self: &Arc<Self>) -> io::Result<Option<RunningRequest>> {
        let mut state = self.lock();
        if state.is_loading || state.version.is_none() {
            return Ok(None);
        }
        let is_cold = self.is_cold(&state);
        state.running += 1;
        state.counters.started_requests += 1;
        state.counters.spoilt_requests += u64::from(state.is_spoilt);
        state.counters.peak_running = state.counters.peak_running.max(state.running);
        let over_cold_limit = is_cold && state.running > self.options.cold_limit;
        state.counters.over_cold_limit += u64::from(over_cold_limit);
        let is_overloaded = over_cold_limit || state.running > 2 * self.options.full_limit;
        let running_request = RunningRequest {
            shared: self.clone(),
            start_count: state.start_count,
        };
        drop(state);
        if is_overloaded {
            self.crash();
            return Err(io::Error::other(
                "the engine crashed because of too many requests",
            ));
        }
        Ok(Some(running_request))
    }

    /// Returns the request id for a response. The fault `swap_response_ids` replaces it by the id
    /// of an earlier request, or by `0` in the first response.
    fn response_id(&self, id: Option<HeaderValue>) -> Option<HeaderValue> {
        let mut state = self.lock();
        if !state.faults.swap_response_ids {
            return id;
        }
        state.ids_to_swap.push_back(id?);
        if state.ids_to_swap.len() < 2 {
            return Some(HeaderValue::from_static("0"));
        }
        state.ids_to_swap.pop_front()
    }

    async fn generate(
        self: Arc<Self>,
        completion: CompletionRequest,
        mut tx: Sender<Bytes, io::Error>,
        mut crash_count: tokio::sync::watch::Receiver<u64>,
        running_request: RunningRequest,
    ) {
        let mut text = String::new();
        let pause_at = Some(completion.max_tokens / 2).filter(|_| completion.resume_after == 0);
        let truncate_at = completion.max_tokens / 2;
        for number in completion.resume_after..completion.max_tokens {
            let (label, truncates, is_endless) = {
                let state = self.lock();
                let version = state.version.clone().unwrap_or_default();
                let suffix = if state.is_complete { "" } else { "-partial" };
                let label = format!("{version}{suffix}");
                let faults = state.faults;
                (label, faults.truncate_responses, faults.sends_endless_event)
            };
            if is_endless && number == truncate_at {
                let part = Bytes::from(vec![b'x'; ENDLESS_PART_BYTES]);
                while tx.send_data(part.clone()).await.is_ok() {}
                return;
            }
            let pause = self.lock().faults.pause_in_stream;
            if pause_at == Some(number) && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if truncates && number == truncate_at {
                return;
            }
            let event = if completion.stream {
                let token = serde_json::json!({"choices": [{"text": format!("{label} ")}]});
                format!("data: {token}\n\n")
            } else {
                text.push_str(&label);
                text.push(' ');
                String::new()
            };
            if !event.is_empty() && tx.send_data(event.into()).await.is_err() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(self.options.time_between_tokens) => {}
                _ = crash_count.changed() => {
                    tx.abort(io::Error::other("the engine crashed"));
                    return;
                }
            }
        }
        let last = if completion.stream {
            "data: [DONE]\n\n".to_owned()
        } else {
            serde_json::json!({"choices": [{"text": text}]}).to_string()
        };
        // The request stops counting before the caller can see the end of the response.
        drop(running_request);
        // Sending fails only if the caller has disconnected.
        let _ignored = tx.send_data(last.into()).await;
    }
}

impl ResumeResponse {
    fn to_response(self, id: Option<HeaderValue>) -> Response<Body> {
        let (status, content_type, text) = match self {
            Self::ErrorPage => (
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/html",
                "HTTP/1.1 500 Internal Server Error\n\n<h1>out of memory</h1>\n\n",
            ),
            Self::Document => (
                StatusCode::OK,
                "application/json",
                "{\"choices\":[]}\n\ndata: [DONE]\n\n",
            ),
            Self::EmptyStream | Self::Silence => (StatusCode::OK, "text/event-stream", ""),
            Self::Refusal => return with_id(refusal(), id),
            Self::BrokenStream | Self::HeadOnly => (StatusCode::OK, "text/event-stream", "data: {"),
        };
        let mut response = response(status, text);
        match self {
            Self::BrokenStream => *response.body_mut() = unfinished_body(text, Duration::ZERO),
            Self::HeadOnly => *response.body_mut() = unfinished_body(text, RESUME_SILENCE),
            _ => {}
        }
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        with_id(response, id)
    }
}

/// A body that breaks off after a while.
fn unfinished_body(start: &'static str, time: Duration) -> Body {
    let (mut tx, channel) = Channel::<Bytes, io::Error>::new(1);
    tokio::spawn(async move {
        let _disconnected = tx.send_data(start.into()).await;
        tokio::time::sleep(time).await;
        tx.abort(io::Error::other("injected fault: the stream breaks off"));
    });
    UnsyncBoxBody::new(channel)
}

/// The response to a request that the engine does not run.
fn refusal() -> Response<Body> {
    response(StatusCode::SERVICE_UNAVAILABLE, "no model is loaded")
}

/// A request that counts as running until this is dropped. The count is then decremented, unless
/// the engine has restarted since, which has reset it.
struct RunningRequest {
    shared: Arc<Shared>,
    start_count: u64,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.start_count == self.start_count {
            state.running -= 1;
        }
    }
}

/// Whether the manifest with `digest` and all its chunks are staged, corrupt or not.
fn has_every_piece(staged_pieces: &BTreeMap<(Digest, Piece), Bytes>, digest: &Digest) -> bool {
    holds_chunks(staged_pieces, digest, |_, _| true)
}

/// Whether the manifest with `digest` and all its chunks are staged and match their digests.
fn has_all_chunks(staged_pieces: &BTreeMap<(Digest, Piece), Bytes>, digest: &Digest) -> bool {
    holds_chunks(staged_pieces, digest, |data, expected| {
        Digest::of(data) == *expected
    })
}

/// Whether the manifest with `digest` and all its chunks are staged, and the chunks are accepted.
fn holds_chunks(
    staged_pieces: &BTreeMap<(Digest, Piece), Bytes>,
    digest: &Digest,
    is_accepted: impl Fn(&Bytes, &Digest) -> bool,
) -> bool {
    let text = staged_pieces.get(&(*digest, MANIFEST_PIECE));
    let Some(manifest) = text.and_then(|text| Manifest::parse(text, digest).ok()) else {
        return false;
    };
    let count = Piece::try_from(manifest.piece_count()).unwrap_or(Piece::MAX);
    (FIRST_CHUNK..count).all(|piece| {
        let staged = staged_pieces.get(&(*digest, piece));
        let staged = staged.zip(manifest.chunk_digest(piece));
        staged.is_some_and(|(data, expected)| is_accepted(data, expected))
    })
}
