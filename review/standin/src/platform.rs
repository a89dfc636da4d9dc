//! What the operator and the targets write to the store, and the headers of the platform.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::http::Request;

pub const ID: &str = "x-medlarproxy-request-id";
pub const SIGNATURE: &str = "x-medlarproxy-response-signature";
pub const EXPECTED_INSTANCE: &str = "x-medlarproxy-expected-instance";
pub const INSTANCE_ID: &str = "x-medlarproxy-instance-id";

/// A configuration with one plain service and the routes `/look/` (idempotent) and `/order/`
/// (non_idempotent).
pub fn config(version: u64, timeout_ms: u64, target_latency_ms: u64) -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms, "priority": 1,
            "service": "desk", "max_attempts": 2, "allow_anonymous": false,
            "sticky_sessions": false, "resume_streams": false, "allowed_regions": [],
        })
    };
    json!({
        "version": version,
        "routes": [route("look", "idempotent"), route("order", "non_idempotent")],
        "services": [{
            "name": "desk", "health_path": "/health", "connection_limit": 96, "protocol": "h1",
            "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "studio", "api_keys": ["k1"], "priority": 1, "allowed_regions": [] }],
    })
}

/// The same with a third route, `/draft/` (streaming), whose streams may not be resumed.
pub fn config_with_streams(version: u64, timeout_ms: u64, target_latency_ms: u64) -> Value {
    let mut config = config(version, timeout_ms, target_latency_ms);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("draft");
    route["prefix"] = json!("/draft/");
    route["kind"] = json!("streaming");
    route["gap_target_ms"] = json!(400);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(route);
    }
    config
}

/// The entry of a target of the service.
pub fn target(address: SocketAddr, sequence: u64) -> Value {
    json!({
        "service": "desk", "address": address, "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": 1_700_000_000_000_u64,
    })
}

/// A configuration with a service of model engines, the origin of their weights and the route
/// `/draft/` (streaming).
pub fn model_config(version: u64, origin: SocketAddr, pieces: usize, piece_bytes: usize) -> Value {
    let mut config = config_with_streams(version, 6000, 500);
    let mut route = config["routes"][2].clone();
    route["service"] = json!("engines");
    route["resume_streams"] = json!(true);
    config["routes"] = json!([route]);
    config["services"] = json!([
        {
            "name": "engines", "health_path": "/health", "connection_limit": 424, "protocol": "h1",
            "tls": false, "cold_start_s": 3.0, "cold_per_s": 36.0, "engine": {
                "slots": 16, "kv_cache_tokens": 317_000, "stride": 5, "step_ms": 9.27,
                "models": [{ "name": "m", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3 }],
                "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0,
                "chunk": 2048, "usual": { "prompt": 979, "answer": 92 }, "layers": 16,
                "chunks": pieces, "chunk_bytes": piece_bytes, "delays": [],
            },
        },
        { "name": "origin", "origin": origin, "zone": "a", "link_mbps": 9.9, "connection_limit": 48 },
    ]);
    config
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

/// A client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Medlarproxy-Request-Id: {id}\r\n\
         X-Medlarproxy-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token k1\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Whether the request is meant for another target.
pub fn is_misdirected(request: &Request, id: &str) -> bool {
    let expected = request.header(EXPECTED_INSTANCE);
    !expected.is_empty() && expected != id
}

/// The head of a client's request with a body of this length.
pub fn request_with_body(path: &str, id: &str, deadline_ms: u64, length: usize) -> Vec<u8> {
    let text = String::from_utf8_lossy(&request("POST", path, id, deadline_ms)).into_owned();
    let length = format!("Content-Length: {length}");
    text.replace("Content-Length: 0", &length).into_bytes()
}
