//! Streams whose agent is silent for a while and goes on, beside other agents that do not continue them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Fleet,
    Layout, //
};
use standins::{
    EngineFaults,
    ResumeResponse, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;

/// Longest time that the start of the fleet may take.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The silence of the agent, longer than the two seconds after which an entry asks another one.
const SILENCE: Duration = Duration::from_millis(3500);

/// Time until the deadline of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// The tokens of each stream.
const TOKENS: usize = 40;

/// What the other agents do when they are asked for the rest.
#[derive(Clone, Copy, Debug)]
enum Others {
    /// They continue the stream.
    Continue,
    /// They do not answer as a stream that continues does.
    Respond(ResumeResponse),
    /// They are gone.
    Gone,
    /// There are none.
    None,
}

struct Case {
    name: &'static str,
    others: Others,
    /// Whether the first agent is killed in its silence.
    first_dies: bool,
    /// Whether the stream must be complete.
    is_complete: bool,
}

fn request() -> String {
    let body =
        format!(r#"{{"model":"drafting","prompt":"p","max_tokens":{TOKENS},"stream":true}}"#);
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-team: head-office\r\n\
         x-request-timeout-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
        REQUEST_TIMEOUT.as_millis(),
        body.len()
    )
}

async fn send(entry: SocketAddr) -> String {
    let mut tcp = TcpStream::connect(entry).await.unwrap();
    tcp.write_all(request().as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let reading = tcp.read_to_end(&mut received);
    let _ended_or_timed_out = tokio::time::timeout(2 * REQUEST_TIMEOUT, reading).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Plays a stream whose agent falls silent, and returns the response.
async fn play(case: &Case) -> String {
    let targets = if matches!(case.others, Others::None) {
        1
    } else {
        3
    };
    let mut layout = Layout::small(targets);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", START_TIMEOUT).await);
    for target in fleet.targets().values() {
        target.engine.set_faults(EngineFaults {
            pause_in_stream: SILENCE,
            resume_response: match case.others {
                Others::Respond(response) => Some(response),
                Others::Continue | Others::Gone | Others::None => None,
            },
            ..EngineFaults::default()
        });
    }
    let response = tokio::spawn(send(fleet.caller_addresses()[0]));
    let first = loop {
        let targets = fleet.targets();
        let mut started = targets.iter();
        let started = started.find(|(_, t)| t.engine.counters().started_requests > 0);
        if let Some((name, _)) = started {
            break name.clone();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    // Until the stream has begun.
    tokio::time::sleep(Duration::from_millis(150)).await;
    for (name, target) in fleet.targets() {
        if name == first {
            // Without its control thread the agent sends no keep-alive frames.
            target.agent.unwrap().control().pause(SILENCE);
        } else if matches!(case.others, Others::Gone) {
            fleet.kill_agent(&name);
        }
    }
    if case.first_dies {
        tokio::time::sleep(Duration::from_millis(2500)).await;
        fleet.kill_instance(&first);
    }
    let text = response.await.unwrap();
    fleet.stop();
    text
}

/// Guards against a begun stream that is cut off because its silent agent was left for others, none of which
/// continues it, and against one that looks complete without being so.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_silent_agent_is_completed_by_the_first_that_goes_on() {
    let respond = |name, response| Case {
        name,
        others: Others::Respond(response),
        first_dies: false,
        is_complete: true,
    };
    let case = |name, others, first_dies, is_complete| Case {
        name,
        others,
        first_dies,
        is_complete,
    };
    let cases = [
        case("others continue", Others::Continue, false, true),
        case(
            "others continue, the first dies",
            Others::Continue,
            true,
            true,
        ),
        case("others are gone", Others::Gone, false, true),
        case("no others", Others::None, false, true),
        case("others are gone, the first dies", Others::Gone, true, false),
        respond("others refuse", ResumeResponse::Refusal),
        respond("others answer an error", ResumeResponse::ErrorPage),
        respond("others answer a document", ResumeResponse::Document),
        respond("others send no event", ResumeResponse::EmptyStream),
        respond("others break off", ResumeResponse::BrokenStream),
        respond("others are silent too", ResumeResponse::Silence),
        respond("others are silent after the head", ResumeResponse::HeadOnly),
    ];
    let mut failed = Vec::new();
    for case in cases {
        let text = play(&case).await;
        let tokens = text.matches("data: {\"choices\"").count();
        let is_complete = text.contains("[DONE]") && text.ends_with("0\r\n\r\n");
        let is_right = if case.is_complete {
            is_complete && tokens == TOKENS && !text.contains("event: error")
        } else {
            !text.ends_with("0\r\n\r\n") && !text.contains("[DONE]")
        };
        if !is_right {
            failed.push((case.name, tokens, is_complete));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
