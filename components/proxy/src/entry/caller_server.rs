//! The HTTP server for callers.

use std::panic::{
    AssertUnwindSafe,
    RefUnwindSafe, //
};
use std::sync::Arc;
use std::time::Duration;

use control::entry::Event;
use futures_util::FutureExt;
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
use protocol::{
    Reply,
    Request, //
};
use sheet::Sheet;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use utils::clock::ClockReading;
use utils::{
    rank,
    Name, //
};

use super::caller_connection;
use super::error_response::{
    bad_request_response,
    failure_response,
    full_body, //
};
use super::forwarder::Forwarder;
use super::request::{
    self,
    BadRequest,
    Endpoint,
    RawRequest, //
};
use super::Inner;
use crate::buffers::{
    BodyBuffer,
    ReceiveError, //
};

/// The path prefix of calls to plain services.
const SERVICES_PREFIX: &str = "/services/";

/// The path prefix under which tickets are issued.
const TICKETS_PREFIX: &str = "/v1/tickets/";

/// The maximum number of agents that are asked for a ticket.
const MAX_TICKET_ATTEMPTS: usize = 3;

/// The delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The state of this process, which Gotham adds to the state of each request.
#[derive(Clone)]
struct SharedEntry(Arc<Inner>);

// A panicking handler leaves no inconsistent state: shared data is accessed through a channel or a
// lock that is held for one operation only.
impl RefUnwindSafe for SharedEntry {}

impl gotham::state::StateData for SharedEntry {}

/// Serves callers while the future is polled.
pub(super) async fn serve(listener: TcpListener, inner: Arc<Inner>) {
    let router = Arc::new(router(inner.clone()));
    loop {
        let (tcp, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Streamed tokens are small and must not wait for the acknowledgement of the previous one.
        // Without this option the connection is only slower.
        let _ignored = tcp.set_nodelay(true);
        let open = (!inner.is_closing()).then(|| inner.count_connection());
        let connection = caller_connection::serve(inner.clone(), router.clone(), tcp, address);
        tokio::spawn(async move {
            let _open = open;
            connection.await;
        });
    }
}

fn router(inner: Arc<Inner>) -> Router {
    let middleware = StateMiddleware::new(SharedEntry(inner));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/v1/completions").to_async(handle_request);
        route.post("/v1/chat/completions").to_async(handle_request);
        route.post("/v1/tickets/:service").to_async(handle_ticket);
        route.get("/health").to_async(handle_health);
        route.get("/ready").to_async(handle_ready);
        let methods = vec![
            Method::GET,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::HEAD,
        ];
        route
            .request(methods, "/services/*")
            .to_async(handle_request);
    })
}

async fn handle_request(mut state: GothamState) -> HandlerResult {
    let shared = SharedEntry::borrow_from(&state).clone();
    let handling = async {
        match receive_request(&shared.0, &mut state).await {
            Ok(request) => shared.0.handle_caller_request(request).await,
            Err(e) => unread_request_response(&e),
        }
    };
    let response = AssertUnwindSafe(handling).catch_unwind().await;
    let response = response.unwrap_or_else(|_| {
        // The panic hook has written the message.
        metrics::counter!("medlarproxy_handler_panics_total").increment(1);
        failure_response()
    });
    Ok((state, response))
}

/// The response to a request that could not be received. It is the last one of its connection if the rest of
/// the body may still come.
fn unread_request_response(e: &BadRequest) -> Response<Body> {
    let mut response = bad_request_response(e);
    let is_unread = matches!(
        e,
        BadRequest::TooLarge(_)
            | BadRequest::TooSlow(_)
            | BadRequest::Incomplete
            | BadRequest::NoMemory
    );
    if is_unread {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn receive_request(inner: &Inner, state: &mut GothamState) -> Result<RawRequest, BadRequest> {
    let options = &inner.callers;
    let endpoint = parse_endpoint(Uri::borrow_from(state))?;
    let body = state.take::<Body>();
    let receiving = BodyBuffer::receive(&inner.buffers, body, || options.max_body_bytes);
    let received = tokio::time::timeout(options.receive_timeout, receiving).await;
    let body = received
        .map_err(|_| BadRequest::TooSlow(options.receive_timeout))?
        .map_err(|e| match e {
            ReceiveError::TooLong => BadRequest::TooLarge(options.max_body_bytes),
            ReceiveError::Incomplete => BadRequest::Incomplete,
            ReceiveError::OutOfMemory => BadRequest::NoMemory,
        })?;
    Ok(RawRequest {
        method: Method::borrow_from(state).clone(),
        headers: HeaderMap::borrow_from(state).clone(),
        body,
        endpoint,
    })
}

fn parse_endpoint(uri: &Uri) -> Result<Endpoint, BadRequest> {
    let Some(rest) = uri.path().strip_prefix(SERVICES_PREFIX) else {
        return Ok(Endpoint::Completion(uri.path().to_owned()));
    };
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}"));
    Ok(Endpoint::Service {
        name: name.to_owned(),
        path: format!("/{path}{}", query.unwrap_or_default()),
    })
}

async fn handle_ticket(state: GothamState) -> HandlerResult {
    let shared = SharedEntry::borrow_from(&state).clone();
    let uri = Uri::borrow_from(&state);
    let service = uri.path().strip_prefix(TICKETS_PREFIX).unwrap_or_default();
    let response = shared.0.issue_ticket(service.to_owned()).await;
    Ok((state, response))
}

async fn handle_health(state: GothamState) -> HandlerResult {
    Ok((state, text_response(StatusCode::OK, "ok")))
}

async fn handle_ready(state: GothamState) -> HandlerResult {
    let shared = SharedEntry::borrow_from(&state).clone();
    let is_ready = shared.0.node.control.query(|s, _| s.is_ready()).await;
    let response = if is_ready == Some(true) {
        text_response(StatusCode::OK, "ready")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    Ok((state, response))
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = status;
    response
}

impl Inner {
    async fn handle_caller_request(self: &Arc<Self>, request: RawRequest) -> Response<Body> {
        let Some(sheet) = self.current_sheet().await else {
            return bad_request_response(&BadRequest::NoSheet);
        };
        let active_request = self.register_request();
        let id = self.new_request_id();
        let parsed = match request::parse(request, &sheet, &self.callers, active_request.token, id)
        {
            Ok(parsed) => parsed,
            Err(e) => return bad_request_response(&e),
        };
        let (sender, response) = oneshot::channel();
        let forwarder = Forwarder::new(active_request, parsed.agent_request, sender);
        self.node
            .control
            .send(Event::RequestReceived(parsed.incoming_request));
        tokio::spawn(async move {
            if AssertUnwindSafe(forwarder.run())
                .catch_unwind()
                .await
                .is_err()
            {
                // The panic hook has written the message.
                metrics::counter!("medlarproxy_handler_panics_total").increment(1);
            }
        });
        // The forwarder ends without a response only if it panics or the process is killed.
        response.await.unwrap_or_else(|_| failure_response())
    }

    async fn current_sheet(&self) -> Option<Arc<Sheet>> {
        let sheet =
            |state: &control::entry::State, _: ClockReading| state.follower().sheet().cloned();
        self.node.control.query(sheet).await.flatten()
    }

    /// Gets a ticket from an agent of the service. Asking several agents is safe: a ticket that is
    /// issued and not used has no effect.
    async fn issue_ticket(self: &Arc<Self>, service: String) -> Response<Body> {
        let id = self.new_request_id();
        for target in self.ticket_targets(service.clone(), id).await {
            let timeout = self.callers.receive_timeout;
            let call = self.node.call(&target, Request::Ticket, timeout).await;
            if let Ok(Reply::Ticket(ticket)) = call.map(|call| call.reply.body) {
                let json = serde_json::json!({ "ticket": ticket.to_string() });
                let mut response = Response::new(full_body(json.to_string().into()));
                let content_type = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, content_type);
                return response;
            }
        }
        bad_request_response(&BadRequest::UnknownWork(service))
    }

    /// The targets to ask for a ticket, in the order of the ring, starting at the hash of `id`.
    async fn ticket_targets(&self, service: String, id: u64) -> Vec<Name> {
        let targets = move |state: &control::entry::State, now: ClockReading| {
            let Some(ring) = state.ring(&service) else {
                return Vec::new();
            };
            let instances = state.follower().instances();
            let targets = ring.first_targets(
                rank::hash_key(&id.to_be_bytes()),
                MAX_TICKET_ATTEMPTS,
                |target| {
                    instances.is_live(&target.name)
                        && !state.hints().is_backing_off(now.elapsed, &target.name)
                },
            );
            targets
                .into_iter()
                .map(|target| target.name.clone())
                .collect()
        };
        self.node.control.query(targets).await.unwrap_or_default()
    }
}
