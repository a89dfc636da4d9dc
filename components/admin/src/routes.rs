//! Routes and handlers of the administration API.

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use futures_util::future;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{
    single_middleware,
    single_pipeline, //
};
use gotham::prelude::*;
use gotham::router::{
    build_router,
    Router, //
};
use gotham::state::{
    State,
    StateData, //
};
use http::{
    HeaderMap,
    Method,
    Response,
    Uri, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::net::TcpListener;
use utils::digest::Digest;

use crate::queries::{
    AdminError,
    AdminOptions,
    Process, //
};
use crate::response::{
    json_response,
    response_with_body, //
};

/// State shared by all handlers.
#[derive(Clone)]
struct AdminState(Arc<(Process, AdminOptions)>);

// Safe across a panic: handlers only read and send messages, so no state is left half updated.
impl RefUnwindSafe for AdminState {}

impl StateData for AdminState {}

/// Serves the administration API while the future is polled.
pub async fn serve(listener: TcpListener, process: Process, options: AdminOptions) {
    let state = AdminState(Arc::new((process, options)));
    gotham::bind_server(listener, router(state), future::ok).await
}

fn router(state: AdminState) -> Router {
    let middleware = StateMiddleware::new(state);
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        for path in [
            "/health",
            "/ready",
            "/metrics",
            "/v1/status",
            "/v1/sheet",
            "/v1/targets",
            "/v1/transfers",
            "/v1/teams",
            "/v1/quarantine",
            "/v1/decisions",
            "/v1/explain",
        ] {
            route.get(path).to_async(handle_request);
        }
        route.post("/v1/drain").to_async(handle_request);
        route.put("/v1/log-level").to_async(handle_request);
    })
}

async fn handle_request(state: State) -> HandlerResult {
    let admin = AdminState::borrow_from(&state).clone();
    let uri = Uri::borrow_from(&state).clone();
    let method = Method::borrow_from(&state).clone();
    let token = bearer_token(HeaderMap::borrow_from(&state));
    let response = respond(&admin, &method, &uri, token.as_deref()).await;
    Ok((state, response))
}

async fn respond(
    admin: &AdminState,
    method: &Method,
    uri: &Uri,
    token: Option<&str>,
) -> Response<Body> {
    let (process, options) = &*admin.0;
    // The platform's load balancer requests these two paths without a token.
    match uri.path() {
        "/health" => return response_with_body(200, "text/plain", "ok\n".to_owned()),
        "/ready" => {
            return match process.is_ready().await {
                Ok(true) => response_with_body(200, "text/plain", "ready\n".to_owned()),
                _ => response_with_body(503, "text/plain", "not ready\n".to_owned()),
            };
        }
        _ => {}
    }
    if let Err(e) = authorize(options, token) {
        return json_response(Err(e));
    }
    if uri.path() == "/metrics" {
        let text = options.metrics.render();
        return response_with_body(200, "text/plain; version=0.0.4", text);
    }
    let query = uri.query().unwrap_or_default();
    let result = match (method, uri.path()) {
        (_, "/v1/status") => process.status().await,
        (_, "/v1/sheet") => process.sheet().await,
        (_, "/v1/targets") => process.targets().await,
        (_, "/v1/transfers") => process.transfers().await,
        (_, "/v1/teams") => process.teams().await,
        (_, "/v1/quarantine") => process.quarantine().await,
        (_, "/v1/decisions") => Ok(json!(process.decisions())),
        (_, "/v1/explain") => explain(process, query).await,
        (&Method::POST, "/v1/drain") => {
            process.drain();
            Ok(json!({ "draining": true }))
        }
        _ => set_log_level(options, query),
    };
    json_response(result)
}

fn bearer_token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    Some(value.strip_prefix("Bearer ")?.to_owned())
}

fn authorize(options: &AdminOptions, token: Option<&str>) -> Result<(), AdminError> {
    let Some(file) = &options.token_file else {
        return Ok(());
    };
    let expected_token = std::fs::read_to_string(file).map_err(|_| AdminError::TokenUnavailable)?;
    let expected_token = expected_token.trim();
    if expected_token.is_empty() {
        return Err(AdminError::TokenUnavailable);
    }
    // Comparing digests keeps the duration of the comparison independent of the token.
    let given_digest = token.map(|token| Digest::of(token.as_bytes()));
    if given_digest == Some(Digest::of(expected_token.as_bytes())) {
        Ok(())
    } else {
        Err(AdminError::Unauthorized)
    }
}

async fn explain(process: &Process, query: &str) -> Result<Value, AdminError> {
    let work = query_parameter(query, "work").ok_or(AdminError::InvalidValue {
        name: "work",
        value: String::new(),
        allowed: "the name of a model or service",
    })?;
    let prompt = query_parameter(query, "prompt").unwrap_or_default();
    process.explain(work, &prompt).await
}

fn set_log_level(options: &AdminOptions, query: &str) -> Result<Value, AdminError> {
    let level = query_parameter(query, "level").unwrap_or_default();
    (options.set_level)(&level).map_err(|allowed| AdminError::InvalidValue {
        name: "level",
        value: level.clone(),
        allowed,
    })?;
    Ok(json!({ "level": level }))
}

/// Returns the value of a query parameter.
fn query_parameter(query: &str, name: &str) -> Option<String> {
    let mut parameters = form_urlencoded::parse(query.as_bytes());
    let (_, value) = parameters.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}
