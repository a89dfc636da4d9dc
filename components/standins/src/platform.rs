//! The configuration service and the list of instances.

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
    InstanceListUpdate, //
    InstanceState,
};
use sheet::Sheet;
use tokio::sync::Notify;
use utils::digest::Digest;
use utils::Name;

use crate::server::{
    answer,
    query,
    start,
    Body,
    Server, //
};

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformSwitches {
    /// Neither service answers.
    pub down: bool,
    /// The configuration service goes on telling the index before the last.
    pub stale: bool,
    /// The list tells nothing new.
    pub list_frozen: bool,
}

#[derive(Debug, Default)]
struct Held {
    index: Bytes,
    index_before: Bytes,
    sections: BTreeMap<String, Bytes>,
    instances: BTreeMap<Name, Instance>,
    revision: u64,
    switches: PlatformSwitches,
    calls: u64,
}

#[derive(Debug, Default)]
struct Shared {
    held: Mutex<Held>,
    changed: Notify,
}

/// Both services on one address.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts with nothing published.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = start(move |request| handler.clone().handle(request)).await?;
        Ok(Self { shared, server })
    }

    /// The server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Publishes a sheet.
    pub fn publish(&self, sheet: &Sheet) {
        let packed = sheet::pack(sheet);
        let mut held = self.shared.lock();
        for (digest, text) in packed.sections {
            held.sections.insert(digest.to_string(), text.into());
        }
        held.index_before = std::mem::replace(&mut held.index, packed.index.into());
        drop(held);
        self.shared.changed.notify_waiters();
    }

    /// Puts an instance on the list, or changes it there.
    pub fn list(&self, instance: Instance) {
        let mut held = self.shared.lock();
        held.revision += 1;
        let revision = held.revision;
        let name = instance.name.clone();
        held.instances.insert(
            name,
            Instance {
                revision,
                ..instance
            },
        );
    }

    /// Changes what the list says of an instance.
    pub fn set_state(&self, name: &str, state: InstanceState) {
        let found = self.shared.lock().instances.get(name).cloned();
        if let Some(instance) = found {
            self.list(Instance { state, ..instance });
        }
    }

    /// Sets faults.
    pub fn set(&self, switches: PlatformSwitches) {
        self.shared.lock().switches = switches;
        self.shared.changed.notify_waiters();
    }

    /// Calls counted so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn index(&self) -> Bytes {
        let held = self.lock();
        if held.switches.stale {
            held.index_before.clone()
        } else {
            held.index.clone()
        }
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        self.lock().calls += 1;
        if self.lock().switches.down {
            return Err(io::Error::other("the platform is down"));
        }
        let path = request.uri().path().to_owned();
        if path == "/v1/index" {
            return Ok(self.watch(&request).await);
        }
        if path == "/v1/instances" {
            let after = query(&request, "after").and_then(|text| text.parse().ok());
            return Ok(self.instances(after.unwrap_or(0)));
        }
        let section = path.strip_prefix("/v1/sections/").unwrap_or_default();
        let found = self.lock().sections.get(section).cloned();
        Ok(match found {
            Some(text) => answer(StatusCode::OK, text),
            None => answer(StatusCode::NOT_FOUND, "no such value"),
        })
    }

    async fn watch(&self, request: &Request<Incoming>) -> Response<Body> {
        let known = query(request, "known").unwrap_or_default();
        let wait = query(request, "wait_ms").and_then(|text| text.parse().ok());
        let wait = Duration::from_millis(wait.unwrap_or(0));
        let until = tokio::time::sleep(wait);
        tokio::pin!(until);
        loop {
            let changed = self.changed.notified();
            let index = self.index();
            if !index.is_empty() && Digest::of(&index).to_string() != known {
                return answer(StatusCode::OK, index);
            }
            tokio::select! {
                () = changed => {}
                () = &mut until => return answer(StatusCode::NOT_MODIFIED, ""),
            }
        }
    }

    fn instances(&self, after: u64) -> Response<Body> {
        let held = self.lock();
        let frozen = held.switches.list_frozen;
        let changed = held.instances.values().filter(|i| i.revision > after);
        let update = InstanceListUpdate {
            revision: if frozen { after } else { held.revision },
            instances: if frozen {
                Vec::new()
            } else {
                changed.cloned().collect()
            },
        };
        let json = serde_json::to_vec(&update).unwrap_or_default();
        answer(StatusCode::OK, json)
    }
}
