//! The paths of the interface.

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

use crate::answer::{
    json_or_error,
    respond, //
};
use crate::source::{
    AdminError,
    Options,
    Process, //
};

/// The process and the options, for handlers.
#[derive(Clone)]
struct Shared(Arc<(Process, Options)>);

// Handlers only send messages and read; a panic leaves nothing half made.
impl RefUnwindSafe for Shared {}

impl StateData for Shared {}

/// Serves operators for as long as the future is polled.
pub async fn serve(listener: TcpListener, process: Process, options: Options) {
    let shared = Shared(Arc::new((process, options)));
    gotham::bind_server(listener, router(shared), future::ok).await
}

fn router(shared: Shared) -> Router {
    let middleware = StateMiddleware::new(shared);
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
            route.get(path).to_async(handle);
        }
        route.post("/v1/drain").to_async(handle);
        route.put("/v1/log-level").to_async(handle);
    })
}

async fn handle(state: State) -> HandlerResult {
    let shared = Shared::borrow_from(&state).clone();
    let uri = Uri::borrow_from(&state).clone();
    let method = Method::borrow_from(&state).clone();
    let token = bearer(HeaderMap::borrow_from(&state));
    let response = answer(&shared, &method, &uri, token.as_deref()).await;
    Ok((state, response))
}

async fn answer(
    shared: &Shared,
    method: &Method,
    uri: &Uri,
    token: Option<&str>,
) -> Response<Body> {
    let (process, options) = &*shared.0;
    // The platform's balancer asks these two without a token.
    match uri.path() {
        "/health" => return respond(200, "text/plain", "ok\n".to_owned()),
        "/ready" => {
            return match process.is_ready().await {
                Ok(true) => respond(200, "text/plain", "ready\n".to_owned()),
                _ => respond(503, "text/plain", "not ready\n".to_owned()),
            };
        }
        _ => {}
    }
    if let Err(e) = authorize(options, token) {
        return json_or_error(Err(e));
    }
    if uri.path() == "/metrics" {
        let text = options.metrics.render();
        return respond(200, "text/plain; version=0.0.4", text);
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
        _ => set_level(options, query),
    };
    json_or_error(result)
}

fn bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    Some(value.strip_prefix("Bearer ")?.to_owned())
}

fn authorize(options: &Options, token: Option<&str>) -> Result<(), AdminError> {
    let Some(file) = &options.token_file else {
        return Ok(());
    };
    let wanted = std::fs::read_to_string(file).map_err(|_| AdminError::NoToken)?;
    let wanted = wanted.trim();
    if wanted.is_empty() {
        return Err(AdminError::NoToken);
    }
    // Digests are compared, so that the time it takes tells nothing of the token.
    let given = token.map(|token| Digest::of(token.as_bytes()));
    if given == Some(Digest::of(wanted.as_bytes())) {
        Ok(())
    } else {
        Err(AdminError::Unauthorized)
    }
}

async fn explain(process: &Process, query: &str) -> Result<Value, AdminError> {
    let work = field(query, "work").ok_or(AdminError::Value {
        name: "work",
        value: String::new(),
        allowed: "the name of a model or service",
    })?;
    let prompt = field(query, "prompt").unwrap_or_default();
    process.explain(work, &prompt).await
}

fn set_level(options: &Options, query: &str) -> Result<Value, AdminError> {
    let level = field(query, "level").unwrap_or_default();
    (options.set_level)(&level).map_err(|allowed| AdminError::Value {
        name: "level",
        value: level.clone(),
        allowed,
    })?;
    Ok(json!({ "level": level }))
}

/// The value of a field of a query.
fn field(query: &str, name: &str) -> Option<String> {
    let mut fields = form_urlencoded::parse(query.as_bytes());
    let (_, value) = fields.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}
