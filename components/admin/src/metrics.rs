//! Metrics as text, on a listener of their own.

use std::panic::RefUnwindSafe;

use futures_util::future;
use gotham::handler::HandlerResult;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{
    single_middleware,
    single_pipeline, //
};
use gotham::prelude::*;
use gotham::router::build_router;
use gotham::state::{
    State,
    StateData, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::answer::respond;

#[derive(Clone)]
struct Handle(PrometheusHandle);

// Rendering only reads counters.
impl RefUnwindSafe for Handle {}

impl StateData for Handle {}

/// Serves `/metrics` for as long as the future is polled.
pub async fn serve_metrics(listener: TcpListener, handle: PrometheusHandle) {
    let middleware = StateMiddleware::new(Handle(handle));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    let router = build_router(chain, pipelines, |route| {
        route.get("/metrics").to_async(render);
    });
    gotham::bind_server(listener, router, future::ok).await
}

async fn render(state: State) -> HandlerResult {
    let text = Handle::borrow_from(&state).0.render();
    Ok((state, respond(200, "text/plain; version=0.0.4", text)))
}
