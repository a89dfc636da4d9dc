//! A stand-in for the platform's store: reads, watches, and a restore from a copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::{
    Arc,
    Condvar,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

use crate::http::{
    answer,
    serve,
    Request, //
};
use crate::wire::name;

/// The most items of one page.
const PAGE: usize = 50;

/// How long an answer takes, as the sheets say.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    /// `None` if the key was deleted.
    item: Option<Item>,
    revision: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    revision: u64,
    era: u64,
    is_away: bool,
    copy: Option<(BTreeMap<String, Item>, u64)>,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(listener: TcpListener) -> (Self, SocketAddr) {
        let store = Self::default();
        store.0 .0.lock().unwrap().revision = 100;
        let address = listener.local_addr().unwrap();
        let serving = store.clone();
        serve(listener, move |request, tcp| {
            std::thread::sleep(ANSWER_TIME);
            match serving.respond(request) {
                Some(bytes) => tcp.write_all(&bytes).map(|()| true),
                // Away: the connection is reset or closed without an answer.
                None => Ok(false),
            }
        });
        (store, address)
    }

    /// Writes a value. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|value| Item {
            value,
            revision,
            created,
        });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        let key = key.to_owned();
        state.history.push(Change {
            key,
            item,
            revision,
        });
        changed.notify_all();
    }

    /// Takes the copy that [`Self::restore`] comes back from.
    pub fn take_copy(&self) {
        let mut state = self.0 .0.lock().unwrap();
        state.copy = Some((state.items.clone(), state.revision));
    }

    pub fn set_away(&self, is_away: bool) {
        let (state, changed) = &*self.0;
        state.lock().unwrap().is_away = is_away;
        changed.notify_all();
    }

    /// Comes back from the copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self) {
        let mut state = self.0 .0.lock().unwrap();
        let (items, revision) = state.copy.clone().unwrap();
        state.items = items;
        state.history.retain(|change| change.revision <= revision);
        state.revision = revision;
        state.era += 1;
    }

    fn respond(&self, request: &Request) -> Option<Vec<u8>> {
        let path = request.path();
        if path == name("range-path") {
            self.range(request)
        } else if path == name("watch-path") {
            self.watch(request)
        } else {
            Some(answer("404 Not Found", &[], b""))
        }
    }

    fn range(&self, request: &Request) -> Option<Vec<u8>> {
        let state = self.0 .0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let all = state.items.iter();
        let found: Vec<_> = all
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .collect();
        let page: Vec<String> = found
            .iter()
            .take(PAGE)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let has_more = found.len() > PAGE;
        Some(json(
            &state,
            &format!(
                "{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{}}}",
                page.join(","),
                state.revision
            ),
        ))
    }

    fn watch(&self, request: &Request) -> Option<Vec<u8>> {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default().min(30_000));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            if after > state.revision {
                let era = state.era.to_string();
                return Some(answer("410 Gone", &[(name("era-header"), &era)], b""));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(change_text)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = state.revision;
                let body = format!("{{\"events\":[{}],\"as_of\":{revision}}}", events.join(","));
                return Some(json(&state, &body));
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn json(state: &State, body: &str) -> Vec<u8> {
    let era = state.era.to_string();
    let headers = [
        ("Content-Type", "application/json"),
        (name("era-header"), era.as_str()),
    ];
    answer("200 OK", &headers, body.as_bytes())
}

fn item_text(key: &str, item: &Item) -> String {
    let lease = u32::from(key.starts_with("servers/")) * 7;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{lease}}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn change_text(change: &Change) -> String {
    match &change.item {
        Some(item) => item_text(&change.key, item),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
            change.key, change.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= part.len() {
                let digit = bits >> (18 - 6 * i) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
