//! Parses callers' requests.

use std::time::Duration;

use bytes::Bytes;
use control::entry::IncomingRequest;
use displaydoc::Display;
use http::{
    HeaderMap,
    Method, //
};
use protocol::{
    Guard,
    ServeRequest,
    Ticket,
    Work, //
};
use serde::Deserialize;
use sheet::Sheet;
use thiserror::Error;
use utils::digest::Digest;
use utils::{
    rank,
    Name, //
};
use uuid::Uuid;

/// The header with the name of the caller's team.
const TEAM_HEADER: &str = "x-team";

/// The header with the time until the caller's deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// The header with the priority of the request: low, normal or high.
const PRIORITY_HEADER: &str = "x-priority";

/// The header with a ticket.
const TICKET_HEADER: &str = "x-ticket";

/// The header with an idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum size of all bodies that are held at the same time, in bytes.
    pub max_buffer_bytes: usize,
    /// The timeout for receiving a request body.
    pub receive_timeout: Duration,
    /// The timeout of requests that set none.
    pub default_timeout: Duration,
    /// The maximum timeout of a request; longer ones are reduced to it.
    pub max_timeout: Duration,
    /// The length of the start of a prompt that is hashed into its routing key, in bytes.
    pub prefix_bytes: usize,
}

/// Why a caller's request was rejected before it was run.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(super) enum BadRequest {
    /// the body cannot be read as a completion request: {0}
    Body(String),
    /// header {name}: {value:?} is not allowed, expected {allowed}
    Header {
        /// The header.
        name: &'static str,
        /// The value found.
        value: String,
        /// The values that are allowed.
        allowed: &'static str,
    },
    /// the body is longer than {0} bytes
    TooLarge(usize),
    /// there is no memory for the body now
    NoMemory,
    /// the request did not arrive within {0:?}
    TooSlow(Duration),
    /// the connection broke before the request was whole
    Incomplete,
    /// no model or service is called {0:?}
    UnknownWork(String),
    /// no team is called {0:?}
    UnknownTeam(String),
    /// the bearer token is not the team's
    WrongToken,
    /// no sheet is in force yet
    NoSheet,
}

impl BadRequest {
    /// The HTTP status and the error code.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::Body(_) => (400, "bad_body"),
            Self::Header { .. } => (400, "bad_header"),
            Self::TooLarge(_) => (413, "too_large"),
            Self::NoMemory => (503, "no_memory"),
            Self::TooSlow(_) => (408, "too_slow"),
            Self::Incomplete => (400, "cut"),
            Self::UnknownWork(_) => (404, "unknown_work"),
            Self::UnknownTeam(_) => (403, "unknown_team"),
            Self::WrongToken => (403, "wrong_token"),
            Self::NoSheet => (503, "no_sheet"),
        }
    }
}

/// A received HTTP request.
#[derive(Debug)]
pub(super) struct RawRequest {
    pub method: Method,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub endpoint: Endpoint,
}

/// What the path of a request addresses.
#[derive(Debug)]
pub(super) enum Endpoint {
    /// A completion, at this path of the model engine.
    Completion(String),
    /// A call to a plain service.
    Service {
        name: String,
        /// The path and query at the service.
        path: String,
    },
}

/// The fields of a completion request that routing needs. Engines accept many more.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: Prompt,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(untagged)]
enum Prompt {
    #[default]
    None,
    Text(String),
    Other(serde_json::Value),
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

/// A parsed request.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    /// What the control thread needs to choose a target.
    pub incoming_request: IncomingRequest,
    /// The request to the agent, without target, timeout and resume point.
    pub agent_request: ServeRequest,
}

/// Parses and checks a request against the active sheet.
pub(super) fn parse(
    request: RawRequest,
    sheet: &Sheet,
    options: &CallerOptions,
    token: u64,
    id: u64,
) -> Result<ParsedRequest, BadRequest> {
    let team = read_team(&request.headers, sheet)?;
    let timeout = read_timeout(&request.headers, options)?;
    let priority = read_priority(&request.headers)?;
    let caller_guard = read_guard(&request.headers)?;
    let (work, path, prefix, repeatable) = match &request.endpoint {
        Endpoint::Completion(path) => {
            let completion: Completion = serde_json::from_slice(&request.body)
                .map_err(|e| BadRequest::Body(e.to_string()))?;
            let model = Name::from(&*completion.model);
            if !sheet.models.contains_key(&model) {
                return Err(BadRequest::UnknownWork(completion.model));
            }
            let prefix = prompt_key(&completion, options.prefix_bytes);
            (Work::Model(model), path.clone(), prefix, true)
        }
        Endpoint::Service { name, path } => {
            let Some(service) = sheet.services.get(&**name) else {
                return Err(BadRequest::UnknownWork(name.clone()));
            };
            let repeatable = service.is_repeatable(request.method.as_str(), path);
            // Calls to a service have no shared cache to hit, so a random key spreads them evenly.
            (
                Work::Service(Name::from(&**name)),
                path.clone(),
                id,
                repeatable,
            )
        }
    };
    let guard = match caller_guard {
        Some(guard) => guard,
        None if repeatable => Guard::Repeatable,
        None => Guard::Unmarked,
    };
    let fingerprint = rank::hash_key(
        Digest::of_parts(&[
            work.name().as_bytes(),
            request.method.as_str().as_bytes(),
            path.as_bytes(),
            &request.body,
        ])
        .as_bytes(),
    );
    let content_type = request.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned);
    let incoming_request = IncomingRequest {
        token,
        request: id,
        work: work.clone(),
        team: team.clone(),
        prefix,
        guard: guard.clone(),
        fingerprint,
        timeout,
    };
    let agent_request = ServeRequest {
        id,
        target: Name::default(),
        work,
        team,
        priority,
        remaining_ms: 0,
        guard,
        fingerprint,
        is_suspect: false,
        resume: None,
        method: request.method.to_string(),
        path,
        content_type,
        body: request.body,
    };
    Ok(ParsedRequest {
        incoming_request,
        agent_request,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadRequest::Header {
        name,
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        allowed: "visible ASCII",
    })?;
    Ok(Some(text.trim()))
}

fn read_team(headers: &HeaderMap, sheet: &Sheet) -> Result<Name, BadRequest> {
    let name = header(headers, TEAM_HEADER)?.ok_or(BadRequest::Header {
        name: TEAM_HEADER,
        value: String::new(),
        allowed: "the name of a team of the sheet",
    })?;
    let Some((name, team)) = sheet.teams.get_key_value(name) else {
        return Err(BadRequest::UnknownTeam(name.to_owned()));
    };
    if let Some(expected) = &team.token_digest {
        let token = header(headers, "authorization")?.unwrap_or_default();
        let token = token.strip_prefix("Bearer ").unwrap_or_default();
        // An empty token is none, also if the digest is that of an empty text.
        if token.is_empty() || Digest::of(token.as_bytes()) != *expected {
            return Err(BadRequest::WrongToken);
        }
    }
    Ok(name.clone())
}

fn read_timeout(headers: &HeaderMap, options: &CallerOptions) -> Result<Duration, BadRequest> {
    let Some(text) = header(headers, TIMEOUT_HEADER)? else {
        return Ok(options.default_timeout);
    };
    let millis = text.parse().ok().filter(|millis| *millis > 0);
    let timeout = millis
        .map(Duration::from_millis)
        .ok_or(BadRequest::Header {
            name: TIMEOUT_HEADER,
            value: text.to_owned(),
            allowed: "a whole number of milliseconds, 1 or more",
        })?;
    Ok(timeout.min(options.max_timeout))
}

fn read_priority(headers: &HeaderMap) -> Result<u8, BadRequest> {
    match header(headers, PRIORITY_HEADER)? {
        None | Some("normal") => Ok(1),
        Some("low") => Ok(0),
        Some("high") => Ok(2),
        Some(other) => Err(BadRequest::Header {
            name: PRIORITY_HEADER,
            value: other.to_owned(),
            allowed: "low, normal or high",
        }),
    }
}

fn read_guard(headers: &HeaderMap) -> Result<Option<Guard>, BadRequest> {
    if let Some(text) = header(headers, TICKET_HEADER)? {
        let ticket: Ticket = text.parse().map_err(|_| BadRequest::Header {
            name: TICKET_HEADER,
            value: text.to_owned(),
            allowed: "a ticket that this system issued",
        })?;
        return Ok(Some(Guard::Ticket(ticket)));
    }
    let Some(text) = header(headers, IDEMPOTENCY_KEY_HEADER)? else {
        return Ok(None);
    };
    let key = Uuid::parse_str(text).ok();
    let key = key.filter(|key| key.get_version_num() == 7);
    key.map(Guard::Key).map(Some).ok_or(BadRequest::Header {
        name: IDEMPOTENCY_KEY_HEADER,
        value: text.to_owned(),
        allowed: "a UUID of version 7",
    })
}

/// Hashes the start of the prompt, so that prompts with the same start go to the target whose cache
/// may hold it.
fn prompt_key(completion: &Completion, bytes: usize) -> u64 {
    let mut text = match &completion.prompt {
        Prompt::None => String::new(),
        Prompt::Text(text) => text.clone(),
        Prompt::Other(value) => value.to_string(),
    };
    for message in &completion.messages {
        if text.len() >= bytes {
            break;
        }
        text.push_str(&message.content.to_string());
    }
    prefix_key(&text, bytes)
}

/// The routing key of a prompt that starts with `text`: a hash of its first `bytes` bytes.
pub(super) fn prefix_key(text: &str, bytes: usize) -> u64 {
    rank::hash_key(&text.as_bytes()[..text.len().min(bytes)])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sheet() -> Sheet {
        let digest = Digest::of(b"secret");
        let empty = Digest::of(b"");
        let text = format!(
            "{{version: 1, published: 2026-01-01T00:00:00Z, origin_region: r, \
             data_centres: {{a: {{region: r, state: in}}}}, \
             models: {{m: {{version: v, manifest: {digest}, cold_limit: 1, full_limit: 2, \
             max_out_percent: 50, instances: {{a: [m1]}}}}}}, \
             services: {{s: {{limit: 2, instances: {{a: [s1]}}, \
             calls: [{{method: GET, path: /jobs, repeatable: true}}]}}}}, \
             teams: {{open: {{share: 1}}, closed: {{share: 1, token_digest: {digest}}}, \
             unset: {{share: 1, token_digest: {empty}}}}}}}"
        );
        sheet::parse(&text).unwrap()
    }

    fn options() -> CallerOptions {
        CallerOptions {
            max_body_bytes: 1000,
            max_buffer_bytes: 1_000_000,
            receive_timeout: Duration::from_secs(1),
            default_timeout: Duration::from_secs(10),
            max_timeout: Duration::from_secs(20),
            prefix_bytes: 8,
        }
    }

    struct Case {
        name: &'static str,
        method: Method,
        headers: &'static [(&'static str, &'static str)],
        service: Option<&'static str>,
        body: &'static str,
        expected: Result<Guard, &'static str>,
    }

    const BODY: &str = r#"{"model": "m", "prompt": "hello"}"#;

    #[test]
    fn requests_are_parsed_or_rejected_with_a_code() {
        let case = |name, headers, body, expected| Case {
            name,
            method: Method::POST,
            headers,
            service: None,
            body,
            expected,
        };
        let key = "0190a2b4-7c00-7000-8000-000000000001";
        let cases = [
            case("plain", &[("x-team", "open")], BODY, Ok(Guard::Repeatable)),
            case("no team", &[], BODY, Err("bad_header")),
            case("other team", &[("x-team", "x")], BODY, Err("unknown_team")),
            case(
                "no token",
                &[("x-team", "closed")],
                BODY,
                Err("wrong_token"),
            ),
            case(
                "no token, and the digest of an empty one",
                &[("x-team", "unset")],
                BODY,
                Err("wrong_token"),
            ),
            case(
                "empty token",
                &[("x-team", "unset"), ("authorization", "Bearer ")],
                BODY,
                Err("wrong_token"),
            ),
            case(
                "token",
                &[("x-team", "closed"), ("authorization", "Bearer secret")],
                BODY,
                Ok(Guard::Repeatable),
            ),
            case("not JSON", &[("x-team", "open")], "{", Err("bad_body")),
            case("no model", &[("x-team", "open")], "{}", Err("bad_body")),
            case(
                "other model",
                &[("x-team", "open")],
                r#"{"model": "x"}"#,
                Err("unknown_work"),
            ),
            case(
                "timeout",
                &[("x-team", "open"), ("x-request-timeout-ms", "0")],
                BODY,
                Err("bad_header"),
            ),
            case(
                "priority",
                &[("x-team", "open"), ("x-priority", "urgent")],
                BODY,
                Err("bad_header"),
            ),
            case(
                "key of another kind",
                &[("x-team", "open"), ("idempotency-key", "order-1")],
                BODY,
                Err("bad_header"),
            ),
            case(
                "key",
                &[
                    ("x-team", "open"),
                    ("idempotency-key", "0190a2b4-7c00-7000-8000-000000000001"),
                ],
                BODY,
                Ok(Guard::Key(Uuid::parse_str(key).unwrap())),
            ),
            case(
                "ticket",
                &[("x-team", "open"), ("x-ticket", "nonsense")],
                BODY,
                Err("bad_header"),
            ),
            Case {
                name: "call that may be repeated",
                method: Method::GET,
                headers: &[("x-team", "open")],
                service: Some("/jobs/7"),
                body: "",
                expected: Ok(Guard::Repeatable),
            },
            Case {
                name: "call that may not be repeated",
                method: Method::POST,
                headers: &[("x-team", "open")],
                service: Some("/orders"),
                body: "",
                expected: Ok(Guard::Unmarked),
            },
        ];
        for case in cases {
            let mut headers = HeaderMap::new();
            for (name, value) in case.headers {
                headers.insert(*name, value.parse().unwrap());
            }
            let endpoint = match case.service {
                None => Endpoint::Completion("/v1/completions".to_owned()),
                Some(path) => Endpoint::Service {
                    name: "s".to_owned(),
                    path: path.to_owned(),
                },
            };
            let request = RawRequest {
                method: case.method,
                headers,
                body: Bytes::from_static(case.body.as_bytes()),
                endpoint,
            };
            let parsed = parse(request, &sheet(), &options(), 1, 1);
            let found = parsed
                .map(|parsed| parsed.incoming_request.guard)
                .map_err(|e| e.status().1);
            assert_eq!(found, case.expected, "{}", case.name);
        }
    }
}
