//! A stand-in platform: the configuration service and the list of instances.

use std::collections::BTreeMap;
use std::io;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use protocol::{
    Instance,
    InstanceListUpdate,
    InstanceState, //
};
use sheet::Sheet;
use tokio::sync::Notify;
use utils::digest::Digest;
use utils::Name;

use crate::server::{
    query_parameter,
    response,
    start_server,
    Body,
    Server, //
};

/// Faults that the platform injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Both services close connections instead of answering.
    pub is_down: bool,
    /// The configuration service returns the index before the latest one.
    pub serves_previous_index: bool,
    /// The list of instances reports no changes.
    pub list_frozen: bool,
}

#[derive(Debug, Default)]
struct State {
    index: Bytes,
    previous_index: Bytes,
    /// Texts of all sections that were ever published, by digest.
    sections: BTreeMap<String, Bytes>,
    instances: BTreeMap<Name, Instance>,
    revision: u64,
    faults: PlatformFaults,
    request_count: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Wakes long polls when the index or the faults change.
    changed: Notify,
}

/// A running stand-in platform with both services on one address.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts a platform without a sheet and without instances.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = start_server(move |request| handler.clone().handle(request)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the HTTP server of both services.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Publishes a sheet.
    pub fn publish(&self, sheet: &Sheet) {
        let packed = sheet::pack(sheet);
        let mut state = self.shared.lock();
        for (digest, text) in packed.sections {
            state.sections.insert(digest.to_string(), text.into());
        }
        state.previous_index = std::mem::replace(&mut state.index, packed.index.into());
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Adds an instance to the list or replaces its entry, with a new revision of the list.
    pub fn put_instance(&self, instance: Instance) {
        let mut state = self.shared.lock();
        state.revision += 1;
        let revision = state.revision;
        let name = instance.name.clone();
        state.instances.insert(
            name,
            Instance {
                revision,
                ..instance
            },
        );
    }

    /// Changes the state of an instance that is on the list.
    pub fn set_instance_state(&self, name: &str, state: InstanceState) {
        let found = self.shared.lock().instances.get(name).cloned();
        if let Some(instance) = found {
            self.put_instance(Instance { state, ..instance });
        }
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the number of requests received so far; a long poll counts once.
    pub fn request_count(&self) -> u64 {
        self.shared.lock().request_count
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn index(&self) -> Bytes {
        let state = self.lock();
        if state.faults.serves_previous_index {
            state.previous_index.clone()
        } else {
            state.index.clone()
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        self.lock().request_count += 1;
        if self.lock().faults.is_down {
            return Err(io::Error::other("injected fault: the platform is down"));
        }
        let path = request.uri().path().to_owned();
        if path == "/v1/index" {
            return Ok(self.watch_index(&request).await);
        }
        if path == "/v1/instances" {
            let after = query_parameter(&request, "after").and_then(|text| text.parse().ok());
            return Ok(self.instance_changes(after.unwrap_or(0)));
        }
        let section = path.strip_prefix("/v1/sections/").unwrap_or_default();
        let found = self.lock().sections.get(section).cloned();
        Ok(match found {
            Some(text) => response(StatusCode::OK, text),
            None => response(StatusCode::NOT_FOUND, "no such value"),
        })
    }

    /// Answers a long poll: returns the index once its digest differs from `known`, or reports no
    /// change after `wait_ms`.
    async fn watch_index(&self, request: &Request<Incoming>) -> Response<Body> {
        let known = query_parameter(request, "known").unwrap_or_default();
        let wait = query_parameter(request, "wait_ms").and_then(|text| text.parse().ok());
        let wait = Duration::from_millis(wait.unwrap_or(0));
        let timeout = tokio::time::sleep(wait);
        tokio::pin!(timeout);
        loop {
            let changed = self.changed.notified();
            let index = self.index();
            if !index.is_empty() && Digest::of(&index).to_string() != known {
                return response(StatusCode::OK, index);
            }
            tokio::select! {
                () = changed => {}
                () = &mut timeout => return response(StatusCode::NOT_MODIFIED, ""),
            }
        }
    }

    /// Returns the instances that changed after a revision of the list.
    fn instance_changes(&self, after: u64) -> Response<Body> {
        let state = self.lock();
        let is_frozen = state.faults.list_frozen;
        let changed = state.instances.values().filter(|i| i.revision > after);
        let update = InstanceListUpdate {
            revision: if is_frozen { after } else { state.revision },
            instances: if is_frozen {
                Vec::new()
            } else {
                changed.cloned().collect()
            },
        };
        let json = serde_json::to_vec(&update).unwrap_or_default();
        response(StatusCode::OK, json)
    }
}
