//! The guarantees to callers, over real sockets, each with the faults that it must hold for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Client,
    Failure,
    Fleet,
    Layout,
    Load,
    LoadOptions, //
};
use http::Method;
use protocol::{
    Phase,
    TargetStatus, //
};
use sheet::DataCentreState;
use standins::{
    EngineFaults,
    OrderDelay,
    ResumeResponse,
    ServiceFaults, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use utils::Name;

/// Longest time that a start, a rollout or an exchange of raw bytes may take.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a fleet without rate limits on its links.
async fn fleet(targets: usize) -> Fleet {
    let mut layout = Layout::small(targets);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", TIMEOUT).await);
    fleet
}

fn client(fleet: &Fleet) -> (Client, Vec<SocketAddr>) {
    (Client::new(fleet.clock().clone()), fleet.caller_addresses())
}

/// Sends raw bytes and returns the bytes received until the connection closes or `wait` has passed.
async fn send_raw(entry: SocketAddr, text: &str, wait: Duration) -> String {
    let mut tcp = TcpStream::connect(entry).await.unwrap();
    tcp.write_all(text.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let _closed_or_timed_out = tokio::time::timeout(wait, tcp.read_to_end(&mut received)).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn completion_request(headers: &str, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

struct BadRequest {
    name: &'static str,
    text: String,
    status: &'static str,
    code: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors_and_the_entry_keeps_serving() {
    let fleet = fleet(3).await;
    let (client, entries) = client(&fleet);
    let valid_body = "{\"model\": \"drafting\", \"prompt\": \"x\"}";
    let incomplete_request = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                x-team: head-office\r\ncontent-length: 100\r\n\r\nnot all of it";
    let cases = [
        BadRequest {
            name: "broken body",
            text: completion_request("x-team: head-office\r\n", "{\"model\": "),
            status: "400",
            code: "bad_body",
        },
        BadRequest {
            name: "oversized body",
            text: completion_request("x-team: head-office\r\n", &"x".repeat(2 << 20)),
            status: "413",
            code: "too_large",
        },
        BadRequest {
            name: "slow body",
            text: incomplete_request.to_owned(),
            status: "408",
            code: "too_slow",
        },
        BadRequest {
            name: "no team",
            text: completion_request("", valid_body),
            status: "400",
            code: "bad_header",
        },
        BadRequest {
            name: "unknown team",
            text: completion_request("x-team: nobody\r\n", valid_body),
            status: "403",
            code: "unknown_team",
        },
        BadRequest {
            name: "unknown model",
            text: completion_request("x-team: head-office\r\n", "{\"model\": \"other\"}"),
            status: "404",
            code: "unknown_work",
        },
        BadRequest {
            name: "bad key",
            text: completion_request("x-team: head-office\r\nidempotency-key: 7\r\n", valid_body),
            status: "400",
            code: "bad_header",
        },
    ];
    for case in cases {
        let response = send_raw(entries[0], &case.text, TIMEOUT).await;
        let status_line = response.lines().next().unwrap_or_default();
        assert!(
            status_line.contains(case.status),
            "{}: {response}",
            case.name
        );
        let code = format!("\"code\":\"{}\"", case.code);
        assert!(response.contains(&code), "{}: {response}", case.name);
        let valid = client.complete(entries[0], "head-office", "p", 4).await;
        assert!(valid.is_ok(), "after {}: {valid:?}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_a_wrong_request_id_is_not_delivered() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    let engine = fleet.targets()[&Name::from("draft-0")].engine.clone();
    engine.set_faults(EngineFaults {
        swap_response_ids: true,
        ..EngineFaults::default()
    });
    let first = client.complete(entries[0], "head-office", "p", 4).await;
    assert!(
        matches!(first, Err(Failure::ErrorResponse { .. })),
        "{first:?}"
    );
    for _ in 0..3 {
        let response = client.complete(entries[0], "head-office", "p", 4).await;
        assert!(response.is_err(), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_stream_is_resumed_on_another_target() {
    let fleet = fleet(3).await;
    let (client, entries) = client(&fleet);
    let engine = fleet.targets()[&Name::from("draft-0")].engine.clone();
    engine.set_faults(EngineFaults {
        truncate_responses: true,
        ..EngineFaults::default()
    });
    for prompt in 0..12 {
        let prompt = format!("prompt {prompt}");
        let response = client.complete(entries[0], "head-office", &prompt, 9).await;
        let response = response.unwrap();
        assert!(!response.is_mixed());
    }
    assert!(
        engine.counters().started_requests > 0,
        "no request reached the faulty engine"
    );
}

/// Guards against an error in the middle of a stream, and against a stream that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_continued_by_anything_but_a_stream() {
    for resume_response in [
        ResumeResponse::ErrorPage,
        ResumeResponse::Document,
        ResumeResponse::EmptyStream,
    ] {
        let fleet = fleet(3).await;
        for target in fleet.targets().values() {
            target.engine.set_faults(EngineFaults {
                truncate_responses: true,
                resume_response: Some(resume_response),
                ..EngineFaults::default()
            });
        }
        let body = r#"{"model":"drafting","prompt":"p","max_tokens":9,"stream":true}"#;
        let request = completion_request("x-team: head-office\r\n", body);
        let entry = fleet.caller_addresses()[0];
        let text = send_raw(entry, &request, Duration::from_secs(10)).await;
        assert!(text.contains("data: {"), "{resume_response:?}: {text}");
        for foreign in ["<h1>", "HTTP/1.1 500", "\"choices\":[]", "[DONE]"] {
            assert!(!text.contains(foreign), "{resume_response:?}: {text}");
        }
        assert!(!text.ends_with("0\r\n\r\n"), "{resume_response:?}: {text}");
        assert!(text.contains("event: error"), "{resume_response:?}: {text}");
    }
}

/// Guards against callers who are told that a request did not run although it did.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_reported_as_not_run() {
    let fleet = fleet(2).await;
    let (client, entries) = client(&fleet);
    for target in fleet.targets().values() {
        target.engine.set_faults(EngineFaults {
            repeat_refusals: true,
            ..EngineFaults::default()
        });
    }
    let started = || -> u64 {
        let targets = fleet.targets();
        let counters = targets.values().map(|target| target.engine.counters());
        counters.map(|c| c.started_requests).sum()
    };
    let mut told_unknown = 0;
    for _ in 0..4 {
        let before = started();
        let response = client.complete(entries[0], "head-office", "p", 4).await;
        match response {
            Err(Failure::NotRun { .. }) => assert_eq!(started(), before, "{response:?}"),
            Err(Failure::ErrorResponse { .. }) => told_unknown += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(told_unknown > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_crashes_at_most_two() {
    let fleet = fleet(6).await;
    let (client, entries) = client(&fleet);
    for attempt in 0..8 {
        let entry = entries[attempt % entries.len()];
        let response = client
            .complete(entry, "head-office", "crash the engine", 4)
            .await;
        assert!(response.is_err());
    }
    let crashes = |t: &fleet::TargetNode| t.engine.counters().crashes;
    let crashed: u64 = fleet.targets().values().map(crashes).sum();
    assert!((1..=2).contains(&crashed), "{crashed} targets crashed");
    let other_request = client.complete(entries[0], "head-office", "p", 4).await;
    assert!(other_request.is_ok(), "{other_request:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_with_a_ticket_runs_once_when_its_response_is_lost() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    for service in fleet.services().values() {
        service.service.set_faults(ServiceFaults {
            drop_response_after_run: true,
            ..ServiceFaults::default()
        });
    }
    let ticket = client.request_ticket(entries[0]).await.unwrap();
    for entry in entries.iter().chain(&entries) {
        let headers = [("x-ticket", ticket.as_str())];
        let response = client
            .call_service(*entry, Method::POST, "/orders", &headers, "order 1")
            .await;
        assert!(
            matches!(response, Err(Failure::ErrorResponse { .. })),
            "{response:?}"
        );
    }
    let runs = fleet
        .services()
        .values()
        .map(|s| s.service.run_counts())
        .fold(0, |sum, runs| {
            sum + runs.get("order 1").copied().unwrap_or(0)
        });
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_ticket_or_key_is_not_retried_after_a_lost_response() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    for service in fleet.services().values() {
        service.service.set_faults(ServiceFaults {
            drop_response_after_run: true,
            ..ServiceFaults::default()
        });
    }
    let response = client
        .call_service(entries[0], Method::POST, "/orders", &[], "order 1")
        .await;
    assert!(
        matches!(response, Err(Failure::ErrorResponse { .. })),
        "{response:?}"
    );
    let services = fleet.services();
    let runs: u32 = services
        .values()
        .flat_map(|s| s.service.run_counts().into_values())
        .sum();
    assert_eq!(runs, 1);
    let lookup = client
        .call_service(entries[0], Method::GET, "/jobs/1", &[], "")
        .await;
    assert!(lookup.is_ok(), "{lookup:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_restarted_agent_gets_unknown_and_is_not_run() {
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    let ticket = client.request_ticket(entries[0]).await.unwrap();
    let names: Vec<Name> = fleet.services().into_keys().collect();
    for name in &names {
        fleet.kill_agent(name);
        fleet.start_agent(name).await.unwrap();
    }
    let headers = [("x-ticket", ticket.as_str())];
    let mut got_unknown = false;
    // Until the entry knows the new addresses, it answers that the home is unreachable.
    for _ in 0..600 {
        let response = client
            .call_service(entries[0], Method::POST, "/orders", &headers, "order 1")
            .await;
        let Err(Failure::ErrorResponse { code, .. }) = response else {
            panic!("{response:?}");
        };
        got_unknown = code == "unknown";
        if got_unknown {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(got_unknown);
    let services = fleet.services();
    assert!(services.values().all(|s| s.service.run_counts().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_interrupts_no_request() {
    let fleet = fleet(3).await;
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadOptions::with_callers(6),
        fleet.caller_addresses(),
        clock,
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    let agent = fleet.targets()[&Name::from("draft-0")]
        .agent
        .clone()
        .unwrap();
    agent.drain().await;
    fleet.kill_agent("draft-0");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let results = load.finish().await;
    assert_eq!(
        (results.failed, results.mixed_answers),
        (0, 0),
        "{:?}",
        results.failures_by_reason
    );
    assert!(results.answered > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_finishes_its_requests_and_refuses_new_ones() {
    let fleet = fleet(2).await;
    let (client, entries) = client(&fleet);
    let address = entries[0];
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.complete(address, "head-office", "p", 60).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let entry = fleet.entries().into_values().next().unwrap();
    entry.control().send(control::entry::Event::DrainRequested);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = client.complete(address, "head-office", "p", 4).await;
    let Err(Failure::NotRun { code, .. }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(code, "draining");
    assert!(running.await.unwrap().is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_out_of_service_gets_no_new_requests_and_none_fail() {
    let fleet = fleet(6).await;
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadOptions::with_callers(6),
        fleet.caller_addresses(),
        clock,
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.set_data_centre_state("tamale-a", DataCentreState::Out);
    let started_requests = |fleet: &Fleet| -> u64 {
        let sheet = fleet.sheet();
        let names = &sheet.models[fleet::MODEL].instances["tamale-a"];
        let targets = fleet.targets();
        names
            .iter()
            .map(|n| targets[n].engine.counters().started_requests)
            .sum()
    };
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = started_requests(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(started_requests(&fleet), before);
    fleet.set_data_centre_state("tamale-a", DataCentreState::In);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let results = load.finish().await;
    assert!(
        started_requests(&fleet) > before,
        "no requests after the data centre returned"
    );
    assert_eq!(
        (results.failed, results.mixed_answers),
        (0, 0),
        "{:?}",
        results.failures_by_reason
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_reaches_every_target_and_no_answer_mixes_versions() {
    let fleet = fleet(6).await;
    let clock = fleet.clock().clone();
    let load = Load::start(
        &LoadOptions::with_callers(6),
        fleet.caller_addresses(),
        clock,
    );
    fleet.roll_out("v2", 2);
    assert!(fleet.wait_ready("v2", TIMEOUT).await);
    let results = load.finish().await;
    assert_eq!(
        (results.failed, results.mixed_answers),
        (0, 0),
        "{:?}",
        results.failures_by_reason
    );
    for (name, target) in fleet.targets() {
        let counters = target.engine.counters();
        assert_eq!(counters.incomplete_loads, 0, "{name}");
        assert_eq!(target.engine.version().as_deref(), Some("v2"), "{name}");
    }
}

/// Guards against tokens of corrupt weights: a target waits for its predecessors after its pieces were
/// staged, and its engine loads what it holds when it accepts the order.
#[tokio::test(flavor = "multi_thread")]
async fn no_target_loads_a_piece_that_changed_while_it_waited_for_its_turn() {
    let mut layout = Layout::small(6);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    // The predecessor is cold for this long, so that a target waits longer than a check counts.
    layout.cold_time = Duration::from_secs(4);
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", TIMEOUT).await);
    fleet.roll_out("v2", 2);
    let mut corrupted = BTreeSet::new();
    let corrupt_waiting_targets = async {
        let mut waiting = BTreeSet::new();
        while corrupted.len() < 3 {
            let before = std::mem::take(&mut waiting);
            let statuses = fleet.statuses().await;
            let is_waiting = |status: &TargetStatus| status.phase == Phase::Waiting;
            waiting.extend(
                statuses
                    .into_iter()
                    .filter(|(_, s)| is_waiting(s))
                    .map(|(n, _)| n),
            );
            // A target without predecessors waits for one tick only.
            for name in waiting.intersection(&before) {
                if corrupted.insert(name.clone()) {
                    fleet.targets()[name].engine.corrupt_staged_pieces();
                }
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, corrupt_waiting_targets)
        .await
        .expect("a target of each data centre waits");
    assert!(fleet.wait_ready("v2", TIMEOUT).await);
    for (name, target) in fleet.targets() {
        assert_eq!(target.engine.counters().incomplete_loads, 0, "{name}");
    }
}

/// Guards against tokens of weights of which a piece had been corrupt for more than 3 s when the engine took it:
/// the check of the pieces takes long, or the engine accepts the order long after the check.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_runs_on_weights_that_changed_long_before_their_order_was_accepted() {
    struct Case {
        name: &'static str,
        faults: EngineFaults,
        checks_acceptance_time: bool,
    }
    /// With 17 pieces the first one is read 3.5 s before the check ends.
    const SLOW_READ: Duration = Duration::from_millis(220);
    let order_delay = OrderDelay {
        orders: 1,
        before_acceptance: Duration::from_secs(4),
        before_answer: Duration::ZERO,
        is_silent: false,
        closes_connection: false,
    };
    let faults = |order_delay, piece_read_delay| EngineFaults {
        corruptions_after_read: 1,
        order_delay,
        piece_read_delay,
        ..EngineFaults::default()
    };
    let delayed = |order_delay| faults(Some(order_delay), Duration::ZERO);
    let silent = OrderDelay {
        is_silent: true,
        ..order_delay
    };
    let unanswered = OrderDelay {
        closes_connection: true,
        ..order_delay
    };
    let all_late = OrderDelay {
        orders: u32::MAX,
        ..order_delay
    };
    let answered_late = OrderDelay {
        before_acceptance: Duration::ZERO,
        before_answer: Duration::from_secs(4),
        ..order_delay
    };
    let case = |name, faults, checks_acceptance_time| Case {
        name,
        faults,
        checks_acceptance_time,
    };
    let cases = [
        case("a slow check", faults(None, SLOW_READ), true),
        case("accepted late", delayed(order_delay), true),
        case(
            "accepted late by an engine without the bound",
            delayed(order_delay),
            false,
        ),
        case("a silent engine", delayed(silent), true),
        case("a silent engine without the bound", delayed(silent), false),
        case("no answer", delayed(unanswered), true),
        case(
            "no answer of an engine without the bound",
            delayed(unanswered),
            false,
        ),
        case("every order is accepted late", delayed(all_late), true),
        case("answered late", delayed(answered_late), true),
    ];
    let run = |case: Case| async move {
        let mut layout = Layout::small(3);
        layout.links = None;
        layout.weight_bytes = 1 << 20;
        layout.engine.checks_acceptance_time = case.checks_acceptance_time;
        let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
        assert!(fleet.wait_ready("v1", TIMEOUT).await, "{}", case.name);
        for target in fleet.targets().values() {
            target.engine.set_faults(case.faults);
        }
        let load = Load::start(
            &LoadOptions::with_callers(3),
            fleet.caller_addresses(),
            fleet.clock().clone(),
        );
        fleet.roll_out("v2", 2);
        let is_ready = fleet.wait_ready("v2", TIMEOUT).await;
        // An order that got no answer is accepted in this time.
        tokio::time::sleep(Duration::from_secs(5)).await;
        drop(load.finish().await);
        let counters = fleet.targets().into_values().map(|t| t.engine.counters());
        let counters: Vec<_> = counters.collect();
        let spoilt: u64 = counters.iter().map(|c| c.spoilt_requests).sum();
        (case.name, is_ready, spoilt, counters)
    };
    let mut runs = JoinSet::new();
    for case in cases {
        runs.spawn(run(case));
    }
    let mut failures = Vec::new();
    for (name, is_ready, spoilt, counters) in runs.join_all().await {
        if !is_ready || spoilt > 0 {
            failures.push(format!(
                "{name}: ready {is_ready}, {spoilt} requests on spoilt weights, {counters:?}"
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against answers that are cut off by a planned stop while their callers still read them.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_delivers_its_answers_to_slow_callers() {
    const ANSWER_BYTES: usize = 24 << 20;
    /// What the operating system may hold of an answer, at both ends.
    const MAX_SOCKET_BUFFER_BYTES: usize = 12 << 20;
    let fleet = fleet(1).await;
    for service in fleet.services().values() {
        service.service.set_faults(ServiceFaults {
            padding_bytes: ANSWER_BYTES,
            ..ServiceFaults::default()
        });
    }
    let address = fleet.caller_addresses()[0];
    let mut tcp = TcpStream::connect(address).await.unwrap();
    let text = format!(
        "GET /services/{}/stock HTTP/1.1\r\nhost: x\r\nx-team: head-office\r\n\r\n",
        fleet::SERVICE
    );
    tcp.write_all(text.as_bytes()).await.unwrap();
    let mut buf = vec![0; 256 << 10];
    let mut received = tcp.read(&mut buf).await.unwrap();
    let entry = fleet.entries().into_values().next().unwrap();
    let draining = tokio::spawn(async move { entry.drain().await });
    while !draining.is_finished() && received < ANSWER_BYTES {
        tokio::time::sleep(Duration::from_millis(20)).await;
        received += tcp.read(&mut buf).await.unwrap();
    }
    assert!(
        received >= ANSWER_BYTES - MAX_SOCKET_BUFFER_BYTES,
        "the entry ended after {received} bytes"
    );
    assert!(tokio::time::timeout(TIMEOUT, draining).await.is_ok());
}

/// Guards against an entry that collects bytes without end, which are no events, until its memory is full or the
/// request times out.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_an_endless_event_is_given_up() {
    let fleet = fleet(1).await;
    let target = fleet.targets().into_values().next().unwrap();
    target.engine.set_faults(EngineFaults {
        sends_endless_event: true,
        ..EngineFaults::default()
    });
    let body = "{\"model\": \"drafting\", \"prompt\": \"x\", \"max_tokens\": 8, \"stream\": true}";
    let request = completion_request("x-team: head-office\r\n", body);
    let address = fleet.caller_addresses()[0];
    let answer = tokio::spawn(async move { send_raw(address, &request, TIMEOUT).await });
    // The entry tries again, since the stream may be resumed.
    let tried_again = async {
        while target.engine.counters().started_requests < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(3), tried_again).await;
    assert!(result.is_ok(), "the first try goes on");
    let text = answer.await.unwrap();
    assert!(text.contains("event: error"), "{text}");
    assert!(
        !text.contains("xxxx"),
        "bytes that are no event are passed on"
    );
}

/// Guards against an entry that runs out of memory while many callers send bodies of the allowed size: it takes
/// as many as fit, rejects the others, and serves small requests beside them.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_many_callers_do_not_exceed_the_memory_for_them() {
    /// Those that fit into the 8 MiB of the entry, and many more.
    const MAX_HELD: usize = 8;
    const UPLOADS: usize = 40;
    let fleet = fleet(1).await;
    let (client, entries) = client(&fleet);
    let text = completion_request("x-team: head-office\r\n", &"x".repeat(1 << 20));
    // All but the last byte, so that the entry holds the body.
    let text = &text[..text.len() - 1];
    let mut uploads = JoinSet::new();
    for _ in 0..UPLOADS {
        let (address, text) = (entries[0], text.to_owned());
        uploads.spawn(async move { send_raw(address, &text, Duration::from_secs(2)).await });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let small = client.complete(entries[0], "head-office", "p", 4).await;
    let answers = uploads.join_all().await;
    let rejected = answers.iter().filter(|text| text.contains("\"no_memory\""));
    let rejected = rejected.count();
    assert!(rejected >= UPLOADS - MAX_HELD, "{rejected} of {UPLOADS}");
    assert!(small.is_ok(), "{small:?}");
}
