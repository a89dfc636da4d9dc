//! A plain service that takes orders, some of whose calls may not be repeated.

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
    answer,
    collect,
    start,
    Body,
    Server, //
};

/// Faults of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSwitches {
    /// It runs every call and then cuts the connection instead of answering.
    pub cut_after_run: bool,
    /// How long each call takes.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct Held {
    runs: BTreeMap<String, u32>,
    switches: ServiceSwitches,
}

#[derive(Debug, Default)]
struct Shared {
    held: Mutex<Held>,
}

/// A running service.
#[derive(Clone, Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl PlainService {
    /// Starts a service that has run nothing.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
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
    pub fn set(&self, switches: ServiceSwitches) {
        self.shared.lock().switches = switches;
    }

    /// How often each order ran, by the order's text.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock().runs.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return Ok(answer(StatusCode::OK, "ok"));
        }
        let is_order = request.method() == Method::POST;
        let id = request.headers().get("x-request-id").cloned();
        let body = collect(request).await?;
        let switches = self.lock().switches;
        if is_order {
            let order = String::from_utf8_lossy(&body).into_owned();
            *self.lock().runs.entry(order).or_default() += 1;
        }
        tokio::time::sleep(switches.delay).await;
        if is_order && switches.cut_after_run {
            return Err(io::Error::other("cut after the run"));
        }
        let text = format!("{{\"path\":\"{path}\",\"done\":true}}");
        let mut response = answer(StatusCode::OK, text);
        if let Some(id) = id {
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }
}
