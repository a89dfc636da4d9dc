//! The platform's store, as far as the system reads it.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde_json::{
    json,
    Value, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::http::{
    response,
    serve,
    Request, //
};
use crate::platform::name;

/// The usual time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Item {
    key: String,
    /// `None` if the key was deleted.
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct Contents {
    items: Vec<Item>,
    history: Vec<Item>,
    revision: u64,
    era: u64,
    is_away: bool,
    /// Watches from an earlier revision get 410.
    first_known_revision: u64,
    copy: Option<(Vec<Item>, u64)>,
}

/// A store. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<Mutex<Contents>>);

impl Store {
    pub async fn start(&self) -> SocketAddr {
        let store = self.clone();
        self.0.lock().unwrap().era = 1;
        serve("127.0.0.1", move |request| {
            let store = store.clone();
            async move { store.answer(request).await }
        })
        .await
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(value.to_string().into_bytes()));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut contents = self.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let known = contents.items.iter().find(|item| item.key == key);
        let created = known.map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision,
            created,
        };
        contents.items.retain(|item| item.key != key);
        if item.value.is_some() {
            contents.items.push(item.clone());
        }
        contents.history.push(item);
    }

    /// Takes the copy that [`Self::restore`] restores.
    pub fn take_copy(&self) {
        let mut contents = self.0.lock().unwrap();
        contents.copy = Some((contents.items.clone(), contents.revision));
    }

    /// Refuses connections' calls without an answer until [`Self::restore`].
    pub fn go_away(&self) {
        self.0.lock().unwrap().is_away = true;
    }

    /// Comes back from the copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self) {
        let mut contents = self.0.lock().unwrap();
        let (items, revision) = contents.copy.clone().expect("a copy was taken");
        contents.items = items;
        contents.history.retain(|item| item.revision <= revision);
        contents.revision = revision;
        contents.era += 1;
        contents.is_away = false;
    }

    async fn answer(&self, request: Request) -> Option<Vec<u8>> {
        sleep(ANSWER_TIME).await;
        let prefix = request.query("prefix").unwrap_or_default();
        if request.target.starts_with(name("range_path")) {
            let after = request.query("after").unwrap_or_default();
            return self.range(&prefix, &after);
        }
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait_ms = request.query("wait_ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let is_over = Instant::now() >= until;
            if let Some(answer) = self.changes(&prefix, after, is_over)? {
                return Some(answer);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Option<Vec<u8>> {
        let contents = self.0.lock().unwrap();
        if contents.is_away {
            return None;
        }
        let mut items: Vec<&Item> = contents.items.iter().collect();
        items.retain(|item| item.key.starts_with(prefix) && item.key.as_str() > after);
        items.sort_by(|a, b| a.key.cmp(&b.key));
        let items: Vec<Value> = items.into_iter().map(item_to_json).collect();
        let body = json!({ "items": items, "has_more": false, "as_of": contents.revision });
        Some(contents.respond("200 OK", &body))
    }

    /// The answer to a watch, or an inner `None` if it waits on. An outer `None` closes the connection.
    fn changes(&self, prefix: &str, after: u64, is_over: bool) -> Option<Option<Vec<u8>>> {
        let contents = self.0.lock().unwrap();
        if contents.is_away {
            return None;
        }
        if after > contents.revision || after < contents.first_known_revision {
            return Some(Some(contents.respond("410 Gone", &json!({}))));
        }
        let events: Vec<Value> = contents
            .history
            .iter()
            .filter(|item| item.revision > after && item.key.starts_with(prefix))
            .map(item_to_json)
            .collect();
        if events.is_empty() && !is_over {
            return Some(None);
        }
        let body = json!({ "events": events, "as_of": contents.revision });
        Some(Some(contents.respond("200 OK", &body)))
    }
}

impl Contents {
    fn respond(&self, status: &str, body: &Value) -> Vec<u8> {
        let era = self.era.to_string();
        let headers = [
            ("Content-Type", "application/json"),
            (name("store_era"), era.as_str()),
        ];
        response(status, &headers, body.to_string().as_bytes())
    }
}

fn item_to_json(item: &Item) -> Value {
    match &item.value {
        Some(value) => json!({
            "key": item.key, "value": STANDARD.encode(value), "revision": item.revision,
            "created": item.created, "lease": u64::from(item.key.starts_with(name("target_prefix"))),
        }),
        None => json!({ "key": item.key, "revision": item.revision, "deleted": true }),
    }
}
