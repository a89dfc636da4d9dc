//! What the operator and the targets write to the store, and the requests of clients. The names of the
//! platform and its documents stand in `wire/`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::LazyLock;

use serde_json::{
    json,
    Value, //
};

use crate::http::Request;

static NAMES: LazyLock<BTreeMap<&'static str, &'static str>> = LazyLock::new(|| {
    let lines = include_str!("../wire/names.txt").lines();
    lines.filter_map(|line| line.split_once(' ')).collect()
});

/// The name that the platform gives to a header, path, key or field.
pub fn name(of: &str) -> &'static str {
    NAMES.get(of).copied().expect("names.txt has all names")
}

fn document(text: &str) -> Value {
    serde_json::from_str(text).expect("a valid document")
}

/// A configuration with one plain service and the routes `/look/` (idempotent), `/order/` (may run once)
/// and `/draft/` (streams that may not be resumed).
pub fn config(version: u64, timeout_ms: u64, latency_objective_ms: u64) -> Value {
    let mut config = document(include_str!("../wire/config.json"));
    config["version"] = json!(version);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(timeout_ms);
        route[name("latency_objective")] = json!(latency_objective_ms);
    }
    config
}

/// A configuration with a service of model engines, the origin of their weights and the route `/draft/`
/// (streams that may be resumed).
pub fn model_config(origin: SocketAddr) -> Value {
    let mut config = document(include_str!("../wire/model-config.json"));
    config["services"][1]["origin"] = json!(origin);
    config
}

/// The entry of a target of the plain service.
pub fn target(address: SocketAddr, sequence: u64) -> Value {
    let mut entry = document(include_str!("../wire/target.json"));
    entry["address"] = json!(address);
    entry["sequence"] = json!(sequence);
    entry
}

/// The entry of a model engine.
pub fn model_target(address: SocketAddr, model: &str, version: u64, sequence: u64) -> Value {
    let mut entry = target(address, sequence);
    entry["service"] = json!("engines");
    entry["slots"] = json!(16);
    entry["stage"] = json!("combined");
    entry["models"] = json!([{ "name": model, "version": version, "adapters": [] }]);
    entry
}

/// The settings that the platform gives to processes of both roles.
pub fn settings() -> Value {
    document(include_str!("../wire/settings.json"))
}

/// The head of a client's request with a body of this length and more headers.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    length: usize,
    more: &[(&str, &str)],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\n{}: {id}\r\n{}: {deadline_ms}\r\n\
         Authorization: Token k1\r\nContent-Length: {length}\r\n",
        name("request_id"),
        name("deadline"),
    );
    for (name, value) in more {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.into_bytes()
}

/// A client's request without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    request_head(method, path, id, deadline_ms, 0, &[])
}

/// The answer to a request that is meant for another target, if it is.
pub fn misdirected(request: &Request, target: &str) -> Option<Vec<u8>> {
    let expected = request.header(name("expected_instance"));
    if expected.is_empty() || expected == target {
        return None;
    }
    Some(refuse_misdirected(request, target))
}

/// The answer that a request is meant for another target or version.
pub fn refuse_misdirected(request: &Request, target: &str) -> Vec<u8> {
    let id = request.header(name("request_id"));
    let headers = [(name("instance_id"), target), (name("request_id"), id)];
    crate::http::response("421 Misdirected Request", &headers, b"")
}
