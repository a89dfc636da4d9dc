//! The promises to callers, over real sockets, with each fault that they are meant for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Client,
    Failure,
    Fleet,
    Layout,
    Load,
    LoadShape, //
};
use http::Method;
use sheet::DataCentreState;
use standins::{
    EngineSwitches,
    ServiceSwitches, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use utils::Name;

const PATIENCE: Duration = Duration::from_secs(60);

/// A fleet without paced links.
async fn fleet(targets: usize) -> Fleet {
    let mut layout = Layout::small(targets);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", PATIENCE).await);
    fleet
}

fn client(fleet: &Fleet) -> (Client, Vec<SocketAddr>) {
    (Client::new(fleet.clock().clone()), fleet.caller_addresses())
}

/// Sends raw bytes and returns what comes back until the connection closes or `wait` is over.
async fn raw(entry: SocketAddr, text: &str, wait: Duration) -> String {
    let mut tcp = TcpStream::connect(entry).await.unwrap();
    tcp.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _closed_or_late = tokio::time::timeout(wait, tcp.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn completion(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct BadCase {
    name: &'static str,
    text: String,
    status: &'static str,
    code: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors_and_the_entry_goes_on() {
    let fleet = fleet(3).await;
    let (client, entries) = client(&fleet);
    let good = "{\"model\": \"drafting\", \"prompt\": \"x\"}";
    let slow = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                x-team: head-office\r\ncontent-length: 100\r\n\r\nnot all of it";
    let cases = [
        BadCase {
            name: "broken body",
            text: completion("x-team: head-office\r\n", "{\"model\": "),
            status: "400",
            code: "bad_body",
        },
        BadCase {
            name: "oversized body",
            text: completion("x-team: head-office\r\n", &"x".repeat(2 << 20)),
            status: "413",
            code: "too_large",
        },
        BadCase {
            name: "slow body",
            text: slow.to_owned(),
            status: "408",
            code: "too_slow",
        },
        BadCase {
            name: "no team",
            text: completion("", good),
            status: "400",
            code: "bad_header",
        },
        BadCase {
            name: "unknown team",
            text: completion("x-team: nobody\r\n", good),
            status: "403",
            code: "unknown_team",
        },
        BadCase {
            name: "unknown model",
            text: completion("x-team: head-office\r\n", "{\"model\": \"other\"}"),
            status: "404",
            code: "unknown_work",
        },
        BadCase {
            name: "bad key",
            text: completion("x-team: head-office\r\nidempotency-key: 7\r\n", good),
            status: "400",
            code: "bad_header",
        },
    ];
    for case in cases {
        let answer = raw(entries[0], &case.text, PATIENCE).await;
        let line = answer.lines().next().unwrap_or_default();
        assert!(line.contains(case.status), "{}: {answer}", case.name);
        let code = format!("\"code\":\"{}\"", case.code);
        assert!(answer.contains(&code), "{}: {answer}", case.name);
        let whole = client.complete(entries[0], "head-office", "p", 4).await;
        assert!(whole.is_ok(), "after {}: {whole:?}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_reaches_nobody() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    let engine = fleet.targets()[&Name::from("draft-0")].engine.clone();
    engine.set(EngineSwitches {
        cross_answers: true,
        ..EngineSwitches::default()
    });
    let first = client.complete(entries[0], "head-office", "p", 4).await;
    assert!(matches!(first, Err(Failure::Told { .. })), "{first:?}");
    for _ in 0..3 {
        let answer = client.complete(entries[0], "head-office", "p", 4).await;
        assert!(answer.is_err(), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_gone_on_with_by_another_target() {
    let fleet = fleet(3).await;
    let (client, entries) = client(&fleet);
    let engine = fleet.targets()[&Name::from("draft-0")].engine.clone();
    engine.set(EngineSwitches {
        cut_answers: true,
        ..EngineSwitches::default()
    });
    for prompt in 0..12 {
        let prompt = format!("prompt {prompt}");
        let answer = client.complete(entries[0], "head-office", &prompt, 9).await;
        let answer = answer.unwrap();
        assert!(!answer.is_mixed());
    }
    assert!(
        engine.counts().began > 0,
        "the faulty engine was never asked"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_takes_at_most_two() {
    let fleet = fleet(6).await;
    let (client, entries) = client(&fleet);
    for turn in 0..8 {
        let entry = entries[turn % entries.len()];
        let answer = client
            .complete(entry, "head-office", "crash the engine", 4)
            .await;
        assert!(answer.is_err());
    }
    let crashes = |t: &fleet::TargetNode| t.engine.counts().crashes;
    let lost: u64 = fleet.targets().values().map(crashes).sum();
    assert!((1..=2).contains(&lost), "{lost} targets crashed");
    let innocent = client.complete(entries[0], "head-office", "p", 4).await;
    assert!(innocent.is_ok(), "{innocent:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_with_a_ticket_runs_once_though_its_answer_is_cut() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    for service in fleet.services().values() {
        service.service.set(ServiceSwitches {
            cut_after_run: true,
            ..ServiceSwitches::default()
        });
    }
    let ticket = client.ticket(entries[0]).await.unwrap();
    for entry in entries.iter().chain(&entries) {
        let headers = [("x-ticket", ticket.as_str())];
        let answer = client
            .call(*entry, Method::POST, "/orders", &headers, "order 1")
            .await;
        assert!(matches!(answer, Err(Failure::Told { .. })), "{answer:?}");
    }
    let runs = fleet
        .services()
        .values()
        .map(|s| s.service.runs())
        .fold(0, |sum, runs| {
            sum + runs.get("order 1").copied().unwrap_or(0)
        });
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_a_mark_is_never_sent_again_after_a_cut() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    for service in fleet.services().values() {
        service.service.set(ServiceSwitches {
            cut_after_run: true,
            ..ServiceSwitches::default()
        });
    }
    let answer = client
        .call(entries[0], Method::POST, "/orders", &[], "order 1")
        .await;
    assert!(matches!(answer, Err(Failure::Told { .. })), "{answer:?}");
    let services = fleet.services();
    let runs: u32 = services
        .values()
        .flat_map(|s| s.service.runs().into_values())
        .sum();
    assert_eq!(runs, 1);
    let look_up = client
        .call(entries[0], Method::GET, "/jobs/1", &[], "")
        .await;
    assert!(look_up.is_ok(), "{look_up:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_restarted_agent_is_answered_unknown_and_not_run() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    let ticket = client.ticket(entries[0]).await.unwrap();
    let names: Vec<Name> = fleet.services().into_keys().collect();
    for name in &names {
        fleet.kill_agent(name);
        fleet.start_agent(name).await.unwrap();
    }
    let headers = [("x-ticket", ticket.as_str())];
    let mut told = false;
    // Until the entry knows the new addresses, it says that the home cannot be reached.
    for _ in 0..600 {
        let answer = client
            .call(entries[0], Method::POST, "/orders", &headers, "order 1")
            .await;
        let Err(Failure::Told { code, .. }) = answer else {
            panic!("{answer:?}");
        };
        told = code == "unknown";
        if told {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(told);
    let services = fleet.services();
    assert!(services.values().all(|s| s.service.runs().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let fleet = fleet(3).await;
    let clock = fleet.clock().clone();
    let load = Load::start(&LoadShape::of(6), fleet.caller_addresses(), clock);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let agent = fleet.targets()[&Name::from("draft-0")]
        .agent
        .clone()
        .unwrap();
    agent.drain().await;
    fleet.kill_agent("draft-0");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let tally = load.finish().await;
    assert_eq!((tally.failed, tally.mixed), (0, 0), "{:?}", tally.reasons);
    assert!(tally.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_drains_ends_its_requests_and_refuses_new_ones() {
    let fleet = fleet(2).await;
    let (client, entries) = client(&fleet);
    let asked = entries[0];
    let long = tokio::spawn({
        let client = client.clone();
        async move { client.complete(asked, "head-office", "p", 60).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let entry = fleet.entries().into_values().next().unwrap();
    entry.control().send(control::entry::Event::Drain);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = client.complete(asked, "head-office", "p", 4).await;
    let Err(Failure::NotRun { code, .. }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(code, "draining");
    assert!(long.await.unwrap().is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_out_gets_nothing_new_and_no_request_fails() {
    let fleet = fleet(6).await;
    let clock = fleet.clock().clone();
    let load = Load::start(&LoadShape::of(6), fleet.caller_addresses(), clock);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.set_data_centre("tamale-a", DataCentreState::Out);
    let began = |fleet: &Fleet| -> u64 {
        let sheet = fleet.sheet();
        let names = &sheet.models[fleet::MODEL].instances["tamale-a"];
        let targets = fleet.targets();
        names.iter().map(|n| targets[n].engine.counts().began).sum()
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = began(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(began(&fleet), before);
    fleet.set_data_centre("tamale-a", DataCentreState::In);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let tally = load.finish().await;
    assert!(began(&fleet) > before, "it got nothing after its return");
    assert_eq!((tally.failed, tally.mixed), (0, 0), "{:?}", tally.reasons);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_reaches_every_target_and_mixes_nothing() {
    let fleet = fleet(6).await;
    let clock = fleet.clock().clone();
    let load = Load::start(&LoadShape::of(6), fleet.caller_addresses(), clock);
    fleet.roll_out("v2", 2);
    assert!(fleet.wait_ready("v2", PATIENCE).await);
    let tally = load.finish().await;
    assert_eq!((tally.failed, tally.mixed), (0, 0), "{:?}", tally.reasons);
    for (name, target) in fleet.targets() {
        let counts = target.engine.counts();
        assert_eq!(counts.partial_loads, 0, "{name}");
        assert_eq!(target.engine.version().as_deref(), Some("v2"), "{name}");
    }
}
