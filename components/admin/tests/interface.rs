//! The interface for operators, against a running fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use admin::{
    get,
    Options,
    Process, //
};
use fleet::{
    Client,
    Fleet,
    Layout, //
};
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(60);

async fn fleet() -> Fleet {
    let mut layout = Layout::small(3);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", PATIENCE).await);
    fleet
}

async fn start(process: Process, token_file: Option<PathBuf>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = Options {
        token_file,
        metrics: PrometheusBuilder::new().build_recorder().handle(),
        set_level: |level| (level == "info").then_some(()).ok_or("info"),
    };
    tokio::spawn(admin::serve(listener, process, options));
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn every_path_answers_for_its_role() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    let agent = fleet.targets().into_values().next().unwrap().agent.unwrap();
    let entry = start(Process::Entry(entry), None).await;
    let agent = start(Process::Agent(agent), None).await;
    for path in [
        "status",
        "sheet",
        "targets",
        "teams",
        "quarantine",
        "decisions",
    ] {
        for address in [entry, agent] {
            let answer = get(address, &format!("/v1/{path}"), &[], None).await;
            assert!(answer.is_ok(), "{path}: {answer:?}");
        }
    }
    let status = get(agent, "/v1/status", &[], None).await.unwrap();
    assert_eq!(status["ready"], true);
    assert_eq!(status["sheet"]["version"], 1);
    let transfers = get(agent, "/v1/transfers", &[], None).await.unwrap();
    assert_eq!(transfers.as_array().unwrap().len(), 1);
    let refused = get(entry, "/v1/transfers", &[], None).await.unwrap_err();
    assert!(refused.to_string().contains("only an agent"), "{refused}");
    let refused = get(entry, "/v1/explain", &[], None).await.unwrap_err();
    assert!(refused.to_string().contains("work"), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_names_the_target_that_the_request_then_goes_to() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    let address = start(Process::Entry(entry.clone()), None).await;
    let client = Client::new(fleet.clock().clone());
    for number in 0..6 {
        let prompt = format!("prompt {number}");
        let query = [("work", fleet::MODEL), ("prompt", prompt.as_str())];
        let explained = get(address, "/v1/explain", &query, None).await.unwrap();
        let callers = fleet.caller_addresses()[0];
        let answer = client.complete(callers, "head-office", &prompt, 2).await;
        assert!(answer.is_ok(), "{answer:?}");
        let routed = entry
            .recent()
            .into_iter()
            .rev()
            .find_map(|line| match line.decision {
                record::Decision::Route { target, .. } => Some(target),
                _ => None,
            });
        let target = explained["explanation"]["target"].as_str();
        assert_eq!(target, routed.as_deref(), "{prompt}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_is_asked_for_when_there_is_a_file() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("token");
    std::fs::write(&file, "secret\n").unwrap();
    let address = start(Process::Entry(entry.clone()), Some(file)).await;
    let gone = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-token");
    let closed = start(Process::Entry(entry), Some(gone)).await;
    assert!(get(address, "/v1/status", &[], Some("secret"))
        .await
        .is_ok());
    for (address, token) in [
        (address, None),
        (address, Some("other")),
        (address, Some("")),
        (closed, Some("secret")),
    ] {
        let answer = get(address, "/v1/status", &[], token).await;
        assert!(answer.is_err(), "{token:?}: {answer:?}");
    }
}
