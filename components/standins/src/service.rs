//! A stand-in plain service with repeatable calls and with orders, which must not run twice. It
//! counts the runs of each order.

use std::collections::BTreeMap;
use std::io;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;

use crate::server::{
    read_body,
    response,
    start_server,
    with_id,
    Body,
    Server,
    REQUEST_ID, //
};

/// Faults that a service injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// The service runs each order and then closes the connection instead of answering.
    pub drop_response_after_run: bool,
    /// Time that each call takes.
    pub call_duration: Duration,
    /// Bytes that are added to each answer.
    pub padding_bytes: usize,
}

#[derive(Debug, Default)]
struct State {
    run_counts: BTreeMap<String, u32>,
    faults: ServiceFaults,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
}

/// A running stand-in service.
#[derive(Clone, Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl PlainService {
    /// Starts a service.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = start_server(move |request| handler.clone().handle(request)).await?;
        let server = Arc::new(server);
        Ok(Self { shared, server })
    }

    /// Returns the HTTP server of the service.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns how often each order ran, by the body of the order.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        self.shared.lock().run_counts.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return Ok(response(StatusCode::OK, "ok"));
        }
        let is_order = request.method() == Method::POST;
        let id = request.headers().get(REQUEST_ID).cloned();
        let body = read_body(request).await?;
        let faults = self.lock().faults;
        if is_order {
            let order = String::from_utf8_lossy(&body).into_owned();
            *self.lock().run_counts.entry(order).or_default() += 1;
        }
        tokio::time::sleep(faults.call_duration).await;
        if is_order && faults.drop_response_after_run {
            return Err(io::Error::other(
                "injected fault: connection closed after the run",
            ));
        }
        let padding = "x".repeat(faults.padding_bytes);
        let text = format!("{{\"path\":\"{path}\",\"done\":true}}{padding}");
        Ok(with_id(response(StatusCode::OK, text), id))
    }
}
