//! Metrics in the text format of Prometheus, on a separate listener.

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

use crate::response::response_with_body;

#[derive(Clone)]
struct MetricsHandle(PrometheusHandle);

// Safe across a panic: rendering only reads counters.
impl RefUnwindSafe for MetricsHandle {}

impl StateData for MetricsHandle {}

/// Serves `/metrics` while the future is polled.
pub async fn serve_metrics(listener: TcpListener, handle: PrometheusHandle) {
    let middleware = StateMiddleware::new(MetricsHandle(handle));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    let router = build_router(chain, pipelines, |route| {
        route.get("/metrics").to_async(render_metrics);
    });
    gotham::bind_server(listener, router, future::ok).await
}

async fn render_metrics(state: State) -> HandlerResult {
    let text = MetricsHandle::borrow_from(&state).0.render();
    Ok((
        state,
        response_with_body(200, "text/plain; version=0.0.4", text),
    ))
}
