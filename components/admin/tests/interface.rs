//! The administration API of processes in a running fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use admin::{
    get_json,
    AdminOptions,
    Process, //
};
use fleet::{
    Client,
    Fleet,
    Layout, //
};
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::net::TcpListener;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

async fn fleet() -> Fleet {
    let mut layout = Layout::small(3);
    layout.links = None;
    layout.weight_bytes = 1 << 20;
    let fleet = Fleet::start(layout, Arc::new(|_| ())).await.unwrap();
    assert!(fleet.wait_ready("v1", READY_TIMEOUT).await);
    fleet
}

async fn start(process: Process, token_file: Option<PathBuf>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = AdminOptions {
        token_file,
        metrics: PrometheusBuilder::new().build_recorder().handle(),
        set_level: |level| (level == "info").then_some(()).ok_or("info"),
    };
    tokio::spawn(admin::serve(listener, process, options));
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn every_path_responds_for_its_role() {
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
            let result = get_json(address, &format!("/v1/{path}"), &[], None).await;
            assert!(result.is_ok(), "{path}: {result:?}");
        }
    }
    let status = get_json(agent, "/v1/status", &[], None).await.unwrap();
    assert_eq!(status["ready"], true);
    assert_eq!(status["sheet"]["version"], 1);
    let transfers = get_json(agent, "/v1/transfers", &[], None).await.unwrap();
    assert_eq!(transfers.as_array().unwrap().len(), 1);
    let error = get_json(entry, "/v1/transfers", &[], None)
        .await
        .unwrap_err();
    assert!(error.to_string().contains("only an agent"), "{error}");
    let error = get_json(entry, "/v1/explain", &[], None).await.unwrap_err();
    assert!(error.to_string().contains("work"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_returns_the_target_that_receives_the_request() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    let address = start(Process::Entry(entry.clone()), None).await;
    let client = Client::new(fleet.clock().clone());
    for number in 0..6 {
        let prompt = format!("prompt {number}");
        let query = [("work", fleet::MODEL), ("prompt", prompt.as_str())];
        let explanation = get_json(address, "/v1/explain", &query, None)
            .await
            .unwrap();
        let caller_address = fleet.caller_addresses()[0];
        let result = client
            .complete(caller_address, "head-office", &prompt, 2)
            .await;
        assert!(result.is_ok(), "{result:?}");
        let actual_target =
            entry
                .recent_lines()
                .into_iter()
                .rev()
                .find_map(|line| match line.decision {
                    record::Decision::Route { target, .. } => Some(target),
                    _ => None,
                });
        let target = explanation["explanation"]["target"].as_str();
        assert_eq!(target, actual_target.as_deref(), "{prompt}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn token_is_required_if_a_file_is_configured() {
    let fleet = fleet().await;
    let entry = fleet.entries().into_values().next().unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("token");
    std::fs::write(&file, "secret\n").unwrap();
    let address = start(Process::Entry(entry.clone()), Some(file)).await;
    let missing_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-token");
    let without_token_file = start(Process::Entry(entry), Some(missing_file)).await;
    assert!(get_json(address, "/v1/status", &[], Some("secret"))
        .await
        .is_ok());
    for (address, token) in [
        (address, None),
        (address, Some("other")),
        (address, Some("")),
        (without_token_file, Some("secret")),
    ] {
        let result = get_json(address, "/v1/status", &[], token).await;
        assert!(result.is_err(), "{token:?}: {result:?}");
    }
}
