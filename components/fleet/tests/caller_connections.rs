//! What callers on kept connections get when an entry stops, when it answers before it has read a request, and
//! when it is killed.

use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Fleet,
    Layout, //
};
use proxy::entry::Entry;
use standins::EngineFaults;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;

/// Longest time that a start or a response may take.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time of a drain beyond the requests that run: callers get the end of their responses, and an entry
/// does not wait for callers that keep their connections.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

const COMPLETION: &str =
    r#"{"model": "drafting", "prompt": "p", "max_tokens": 40, "stream": true}"#;

async fn fleet() -> Fleet {
    let mut layout = Layout::small(1);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", TIMEOUT).await);
    fleet
}

fn head(path: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nx-team: head-office\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
}

fn completion() -> String {
    head("/v1/completions", COMPLETION.len()) + COMPLETION
}

/// What a caller received, and how its connection ended.
#[derive(Debug, Default)]
struct Received {
    text: String,
    /// Whether the entry closed the connection in order.
    is_closed: bool,
    is_reset: bool,
}

async fn read_to_end(tcp: &mut TcpStream, wait: Duration) -> Received {
    let mut bytes = Vec::new();
    let result = tokio::time::timeout(wait, tcp.read_to_end(&mut bytes)).await;
    Received {
        text: String::from_utf8_lossy(&bytes).into_owned(),
        is_closed: matches!(result, Ok(Ok(_))),
        is_reset: matches!(result, Ok(Err(_))),
    }
}

/// Reads until `end` has come.
async fn read_until(tcp: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    while !String::from_utf8_lossy(&bytes).contains(end) {
        let count = tcp.read(&mut buf).await.unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&buf[..count]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What a caller has sent when the entry begins to stop.
struct DrainCase {
    name: &'static str,
    before: String,
    /// What it has read of it.
    read_until: &'static str,
    /// What it sends then.
    after: String,
    /// What it receives then.
    expected: &'static [&'static str],
}

/// Guards against requests on kept connections that get neither a response nor a refusal because the entry
/// stops, and against an entry that waits for callers that keep their connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_what_it_receives_and_closes_connections_between_requests() {
    let health = "GET /health HTTP/1.1\r\nhost: x\r\n\r\n";
    let draining = &["503", "\"draining\"", "\"not_run\"", "connection: close"];
    let cases = [
        DrainCase {
            name: "idle after a request",
            before: health.to_owned(),
            read_until: "ok",
            after: String::new(),
            expected: &[],
        },
        DrainCase {
            name: "a request beside the begin",
            before: health.to_owned(),
            read_until: "ok",
            after: completion(),
            expected: draining,
        },
        DrainCase {
            name: "in the middle of a head",
            before: completion()[..30].to_owned(),
            read_until: "",
            after: completion()[30..].to_owned(),
            expected: draining,
        },
        DrainCase {
            name: "a head without its end",
            before: completion()[..30].to_owned(),
            read_until: "",
            after: String::new(),
            expected: draining,
        },
        DrainCase {
            name: "in the middle of a body",
            before: completion()[..completion().len() - 5].to_owned(),
            read_until: "",
            after: completion()[completion().len() - 5..].to_owned(),
            expected: draining,
        },
        DrainCase {
            name: "in the middle of a stream",
            before: completion(),
            read_until: "data: {",
            after: String::new(),
            expected: &["data: [DONE]", "0\r\n\r\n"],
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let fleet = fleet().await;
        let address = fleet.caller_addresses()[0];
        let entry = fleet.entries().into_values().next().unwrap();
        let mut tcp = TcpStream::connect(address).await.unwrap();
        tcp.write_all(case.before.as_bytes()).await.unwrap();
        read_until(&mut tcp, case.read_until).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let draining = tokio::spawn(async move { entry.drain().await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        tcp.write_all(case.after.as_bytes()).await.unwrap();
        let caller = tokio::spawn(async move { read_to_end(&mut tcp, MAX_DRAIN_TIME).await });
        let ended = tokio::time::timeout(MAX_DRAIN_TIME, draining).await;
        let received = caller.await.unwrap();
        let lower = received.text.to_lowercase();
        let is_right = case
            .expected
            .iter()
            .all(|part| lower.contains(&part.to_lowercase()));
        if ended.is_err() || !is_right || !received.is_closed {
            failed.push((case.name, ended.is_ok(), received));
        }
        fleet.stop();
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against an entry that does not end, because a drain was asked for over the administration interface
/// and a signal followed.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_that_was_asked_for_twice_ends() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    entry.control().send(control::entry::Event::DrainRequested);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let ended = tokio::time::timeout(MAX_DRAIN_TIME, entry.drain()).await;
    assert!(ended.is_ok(), "the entry");
    let agent = fleet.targets().into_values().next().unwrap().agent.unwrap();
    agent.control().send(control::agent::Event::DrainRequested);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let ended = tokio::time::timeout(MAX_DRAIN_TIME, agent.drain()).await;
    assert!(ended.is_ok(), "the agent");
}

/// Guards against a response that is lost because the rest of the request was not read: the close resets the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_before_the_body_was_read_arrives_and_is_the_last_one() {
    let fleet = fleet().await;
    let address = fleet.caller_addresses()[0];
    for body_bytes in [2 << 20, 64 << 20] {
        let mut tcp = TcpStream::connect(address).await.unwrap();
        let request = head("/v1/completions", body_bytes) + &"x".repeat(body_bytes);
        let (mut reader, mut writer) = tcp.split();
        // A caller that writes all of the body before it reads.
        let written = writer.write_all(request.as_bytes()).await;
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(TIMEOUT, reader.read_to_end(&mut bytes)).await;
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        assert!(written.is_ok(), "{body_bytes}: {written:?}, {text}");
        assert!(matches!(read, Ok(Ok(_))), "{body_bytes}: {read:?}, {text}");
        for part in ["413", "\"too_large\"", "connection: close"] {
            assert!(text.contains(part), "{body_bytes}: {text}");
        }
    }
}

/// Guards against a response that looks complete although the entry was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_leaves_no_response_that_looks_complete() {
    let fleet = fleet().await;
    let target = fleet.targets().into_values().next().unwrap();
    target.engine.set_faults(EngineFaults {
        pause_in_stream: Duration::from_secs(1),
        ..EngineFaults::default()
    });
    let mut tcp = TcpStream::connect(fleet.caller_addresses()[0])
        .await
        .unwrap();
    tcp.write_all(completion().as_bytes()).await.unwrap();
    read_until(&mut tcp, "data: {").await;
    let entry: Entry = fleet.entries().into_values().next().unwrap();
    entry.kill();
    let received = read_to_end(&mut tcp, TIMEOUT).await;
    assert!(!received.text.ends_with("0\r\n\r\n"), "{received:?}");
    assert!(received.is_closed || received.is_reset, "{received:?}");
}
