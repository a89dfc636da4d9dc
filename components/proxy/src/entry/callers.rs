//! The HTTP interface for callers.

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use control::entry::Event;
use futures_util::future;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{
    single_middleware,
    single_pipeline, //
};
use gotham::prelude::*;
use gotham::router::build_router;
use gotham::router::Router;
use gotham::state::State as GothamState;
use http::{
    HeaderMap,
    Method,
    Response,
    StatusCode,
    Uri, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use protocol::{
    Reply,
    Request, //
};
use sheet::Sheet;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::oneshot;
use utils::clock::Now;
use utils::{
    rank,
    Name, //
};

use super::answer::{
    bad_request,
    full, //
};
use super::pump::Pump;
use super::request::{
    self,
    BadRequest,
    Raw,
    RawTarget, //
};
use super::Inner;

/// The path under which plain services are called.
const SERVICES: &str = "/services/";

/// The path under which tickets are issued.
const TICKETS: &str = "/v1/tickets/";

/// Agents asked for a ticket before the entry gives up.
const TICKET_TRIES: usize = 3;

/// The entry, for handlers.
#[derive(Clone)]
struct Shared(Arc<Inner>);

// A handler that panics leaves no half-made state: whatever it shares is behind a channel or a
// lock that is held for single steps only.
impl RefUnwindSafe for Shared {}

impl gotham::state::StateData for Shared {}

/// Serves callers for as long as the future is polled.
pub(super) async fn serve(listener: TcpListener, inner: Arc<Inner>) {
    let ready = |tcp: TcpStream| {
        // Tokens are small and must not wait for the caller's acknowledgement of the last one.
        let _slower = tcp.set_nodelay(true);
        future::ok(tcp)
    };
    gotham::bind_server(listener, router(inner), ready).await
}

fn router(inner: Arc<Inner>) -> Router {
    let middleware = StateMiddleware::new(Shared(inner));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/v1/completions").to_async(handle);
        route.post("/v1/chat/completions").to_async(handle);
        route.post("/v1/tickets/:service").to_async(handle_ticket);
        route.get("/health").to_async(health);
        route.get("/ready").to_async(ready);
        let any = vec![
            Method::GET,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::HEAD,
        ];
        route.request(any, "/services/*").to_async(handle);
    })
}

async fn handle(mut state: GothamState) -> HandlerResult {
    let shared = Shared::borrow_from(&state).clone();
    let response = match read_raw(&shared.0, &mut state).await {
        Ok(raw) => shared.0.answer_caller(raw).await,
        Err(e) => bad_request(&e),
    };
    Ok((state, response))
}

async fn read_raw(inner: &Inner, state: &mut GothamState) -> Result<Raw, BadRequest> {
    let options = &inner.callers;
    let target = raw_target(Uri::borrow_from(state))?;
    let body = Limited::new(state.take::<Body>(), options.body_limit);
    let received = tokio::time::timeout(options.receive_timeout, body.collect()).await;
    let collected = received
        .map_err(|_| BadRequest::TooSlow(options.receive_timeout))?
        .map_err(|e| {
            if e.downcast_ref::<LengthLimitError>().is_some() {
                BadRequest::TooLarge(options.body_limit)
            } else {
                BadRequest::Cut
            }
        })?;
    Ok(Raw {
        method: Method::borrow_from(state).clone(),
        headers: HeaderMap::borrow_from(state).clone(),
        body: collected.to_bytes(),
        target,
    })
}

fn raw_target(uri: &Uri) -> Result<RawTarget, BadRequest> {
    let Some(rest) = uri.path().strip_prefix(SERVICES) else {
        return Ok(RawTarget::Completion(uri.path().to_owned()));
    };
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}"));
    Ok(RawTarget::Service {
        name: name.to_owned(),
        path: format!("/{path}{}", query.unwrap_or_default()),
    })
}

async fn handle_ticket(state: GothamState) -> HandlerResult {
    let shared = Shared::borrow_from(&state).clone();
    let uri = Uri::borrow_from(&state);
    let service = uri.path().strip_prefix(TICKETS).unwrap_or_default();
    let response = shared.0.issue_ticket(service.to_owned()).await;
    Ok((state, response))
}

async fn health(state: GothamState) -> HandlerResult {
    Ok((state, text(StatusCode::OK, "ok")))
}

async fn ready(state: GothamState) -> HandlerResult {
    let shared = Shared::borrow_from(&state).clone();
    let is_ready = shared.0.node.control.query(|s, _| s.is_ready()).await;
    let response = if is_ready == Some(true) {
        text(StatusCode::OK, "ready")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    Ok((state, response))
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(text.into()));
    *response.status_mut() = status;
    response
}

impl Inner {
    async fn answer_caller(self: &Arc<Self>, raw: Raw) -> Response<Body> {
        let Some(sheet) = self.sheet().await else {
            return bad_request(&BadRequest::NoSheet);
        };
        let ongoing = self.begin();
        let id = self.request_id();
        let ready = match request::read(raw, &sheet, &self.callers, ongoing.token, id) {
            Ok(ready) => ready,
            Err(e) => return bad_request(&e),
        };
        let (tx, rx) = oneshot::channel();
        let pump = Pump::new(ongoing, ready.serve, tx);
        self.node.control.send(Event::Arrive(ready.arrived));
        tokio::spawn(pump.run());
        // The pump ends without an answer only when the process is killed.
        rx.await
            .unwrap_or_else(|_| text(StatusCode::BAD_GATEWAY, "the process is ending"))
    }

    async fn sheet(&self) -> Option<Arc<Sheet>> {
        let sheet = |state: &control::entry::State, _: Now| state.follower().sheet().cloned();
        self.node.control.query(sheet).await.flatten()
    }

    /// Gets a ticket from an agent of the service. Asking twice does no harm.
    async fn issue_ticket(self: &Arc<Self>, service: String) -> Response<Body> {
        let id = self.request_id();
        for target in self.ticket_targets(service.clone(), id).await {
            let patience = self.callers.receive_timeout;
            let call = self.node.ask(&target, Request::Ticket, patience).await;
            if let Ok(Reply::Ticket(ticket)) = call.map(|call| call.reply.body) {
                let json = serde_json::json!({ "ticket": ticket.to_string() });
                let mut response = Response::new(full(json.to_string().into()));
                let json = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, json);
                return response;
            }
        }
        bad_request(&BadRequest::UnknownWork(service))
    }

    async fn ticket_targets(&self, service: String, id: u64) -> Vec<Name> {
        let targets = move |state: &control::entry::State, now: Now| {
            let Some(ring) = state.ring(&service) else {
                return Vec::new();
            };
            let members = state.follower().members();
            let found = ring.walk(rank::key(&id.to_be_bytes()), TICKET_TRIES, |target| {
                members.is_live(&target.name) && !state.hints().rests(now.elapsed, &target.name)
            });
            found.into_iter().map(|t| t.name.clone()).collect()
        };
        self.node.control.query(targets).await.unwrap_or_default()
    }
}
