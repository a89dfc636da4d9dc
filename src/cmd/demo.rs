//! `medlarproxy demo`: runs a whole fleet in one process, with stand-in targets.

use std::error::Error;
use std::fs::File;
use std::io::{
    BufWriter,
    Write, //
};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use fleet::{
    Fleet,
    Layout,
    Load,
    LoadOptions,
    LoadResults, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use protocol::Phase;
use proxy::LineSink;
use sheet::DataCentreState;
use tokio::net::TcpListener;
use utils::Name;

use super::CommandResult;
use crate::cli::DemoArguments;
use crate::logging;

/// How long the fleet may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the rollout may take, as a multiple of the shortest time that the links allow.
const ROLLOUT_TIMEOUT_FACTOR: u32 = 10;

/// How long the data centre stays out of service, and how long the demo runs after its return.
const DATA_CENTRE_OUT_TIME: Duration = Duration::from_secs(3);

/// The version that is rolled out.
const NEW_VERSION: &str = "v2";

/// Callers that send requests during the rollout.
const CALLER_COUNT: usize = 8;

/// The progress of a rollout.
struct Rollout {
    target_count: usize,
    ready: usize,
    seconds: f64,
    staged_seconds: f64,
    origin_copies: f64,
}

pub(crate) fn run(arguments: &DemoArguments) -> CommandResult {
    if arguments.targets == 0 {
        return Err("--targets: 0 is not allowed, expected 1 or more".into());
    }
    logging::start(&arguments.log, std::io::stderr())?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_demo(arguments))
}

async fn run_demo(arguments: &DemoArguments) -> CommandResult {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let sink: LineSink = match &arguments.record {
        Some(path) => file_sink(path)?,
        // On a terminal the record would hide the progress messages.
        None if matches!(&*arguments.log, "error" | "warn") => Arc::new(|_| ()),
        None => Arc::new(logging::write_record_line),
    };
    let layout = Layout::small(arguments.targets);
    let fleet = Fleet::start(layout, sink).await?;
    if !fleet.wait_ready("v1", START_TIMEOUT).await {
        return Err("the fleet did not become ready".into());
    }
    println!(
        "{} targets in {} data centres serve v1; {} callers send requests",
        arguments.targets,
        fleet.layout().data_centres.len(),
        CALLER_COUNT
    );
    let load = Load::start(
        &LoadOptions::with_callers(CALLER_COUNT),
        fleet.caller_addresses(),
        fleet.clock().clone(),
    );
    let rollout = run_rollout(&fleet).await;
    disable_and_enable_data_centre(&fleet).await;
    let results = load.finish().await;
    println!(
        "callers: {} sent, {} answered, {} refused as not run, {} failed, {} mixed",
        results.sent,
        results.answered,
        results.refused_not_run,
        results.failed,
        results.mixed_answers
    );
    if !arguments.once {
        run_until_stopped(&fleet, &metrics).await?;
    }
    if let Some(folder) = &arguments.sheets {
        write_sheets(&fleet, folder)?;
    }
    if arguments.json {
        println!("{}", summary(&fleet, &rollout, &results));
    }
    fleet.stop();
    if rollout.ready < rollout.target_count || results.failed > 0 || results.mixed_answers > 0 {
        return Err(format!(
            "the rollout is incomplete or requests failed: {:?}",
            results.failures_by_reason
        )
        .into());
    }
    Ok(())
}

/// Rolls a new version out and prints the progress.
async fn run_rollout(fleet: &Fleet) -> Rollout {
    let target_count = fleet.layout().targets;
    let min_transfer_time = fleet.layout().min_transfer_time();
    let sent_before = fleet.origin().bytes_sent();
    let started = fleet.clock().now().elapsed;
    fleet.roll_out(NEW_VERSION, 2);
    println!(
        "rollout: v2 to {target_count} targets, at least {:.1} s at the speed of the links",
        min_transfer_time.as_secs_f64()
    );
    let mut rollout = Rollout {
        target_count,
        ready: 0,
        seconds: 0.0,
        staged_seconds: 0.0,
        origin_copies: 0.0,
    };
    let mut next_print = Duration::ZERO;
    loop {
        let elapsed = fleet.clock().now().elapsed.saturating_sub(started);
        let (staged, ready) = count_staged_and_ready(fleet).await;
        if staged < target_count {
            rollout.staged_seconds = elapsed.as_secs_f64();
        }
        rollout.seconds = elapsed.as_secs_f64();
        rollout.ready = ready;
        let is_over = ready == target_count || elapsed > min_transfer_time * ROLLOUT_TIMEOUT_FACTOR;
        if is_over || elapsed >= next_print {
            next_print = elapsed + Duration::from_secs(1);
            println!(
                "  {:5.1} s: {staged} staged, {ready} ready",
                elapsed.as_secs_f64()
            );
        }
        if is_over {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let sent = fleet.origin().bytes_sent() - sent_before;
    rollout.origin_copies = sent as f64 / fleet.layout().weight_bytes as f64;
    println!(
        "  {:.2} copies downloaded from the origin",
        rollout.origin_copies
    );
    rollout
}

/// Counts the targets that hold all pieces of the new version, and those that serve it.
async fn count_staged_and_ready(fleet: &Fleet) -> (usize, usize) {
    let statuses = fleet.statuses().await;
    let staged = statuses
        .values()
        .filter(|s| !matches!(s.phase, Phase::Staging | Phase::Idle));
    let ready = statuses
        .values()
        .filter(|s| s.version.as_deref() == Some(NEW_VERSION));
    (staged.count(), ready.count())
}

async fn disable_and_enable_data_centre(fleet: &Fleet) {
    let Some((name, _)) = fleet.layout().data_centres.last().cloned() else {
        return;
    };
    println!("data centre {name} is taken out of service");
    fleet.set_data_centre_state(&name, DataCentreState::Out);
    tokio::time::sleep(DATA_CENTRE_OUT_TIME).await;
    println!("data centre {name} is back in service");
    fleet.set_data_centre_state(&name, DataCentreState::In);
    tokio::time::sleep(DATA_CENTRE_OUT_TIME).await;
}

/// Serves the administration API of every process, as separate processes do. Returns the addresses
/// by instance.
async fn serve_admin(
    fleet: &Fleet,
    metrics: &PrometheusHandle,
) -> Result<Vec<(Name, SocketAddr)>, Box<dyn Error>> {
    let entries = fleet.entries().into_iter();
    let entries = entries.map(|(name, entry)| (name, admin::Process::Entry(entry)));
    let agents = fleet.targets().into_iter();
    let agents = agents.filter_map(|(name, t)| Some((name, admin::Process::Agent(t.agent?))));
    let mut addresses = Vec::new();
    for (name, process) in entries.chain(agents) {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push((name, listener.local_addr()?));
        let options = admin::AdminOptions {
            token_file: None,
            metrics: metrics.clone(),
            set_level: logging::set_level,
        };
        let _detached = tokio::spawn(admin::serve(listener, process, options));
    }
    Ok(addresses)
}

async fn run_until_stopped(fleet: &Fleet, metrics: &PrometheusHandle) -> CommandResult {
    for (name, address) in serve_admin(fleet, metrics).await? {
        println!("administration API of {name}: http://{address}");
    }
    for address in fleet.caller_addresses() {
        println!("entry for callers: http://{address}");
    }
    if let Some(address) = fleet.caller_addresses().first() {
        println!(
            "try: curl -N http://{address}/v1/completions -H 'content-type: application/json' \
             -H 'x-team: head-office' \
             -d '{{\"model\": \"drafting\", \"prompt\": \"A carton for tea\", \
             \"max_tokens\": 8, \"stream\": true}}'"
        );
    }
    println!("stop with Ctrl-C");
    super::process::wait_for_stop_signal().await?;
    Ok(())
}

fn summary(fleet: &Fleet, rollout: &Rollout, results: &LoadResults) -> serde_json::Value {
    let min_transfer_time = fleet.layout().min_transfer_time().as_secs_f64();
    serde_json::json!({
        "replicas_wanted": rollout.target_count,
        "replicas_ready": rollout.ready,
        "seconds": rollout.seconds,
        "staged_seconds": rollout.staged_seconds,
        "bound_seconds": min_transfer_time,
        "bound_ratio": rollout.staged_seconds / min_transfer_time,
        "origin_copies": rollout.origin_copies,
        "sent": results.sent,
        "answered": results.answered,
        "refused_not_run": results.refused_not_run,
        "failed": results.failed,
        "mixed": results.mixed_answers,
    })
}

fn write_sheets(fleet: &Fleet, folder: &Path) -> CommandResult {
    std::fs::create_dir_all(folder)
        .map_err(|e| format!("{}: cannot be created: {e}", folder.display()))?;
    for sheet in fleet.published_sheets() {
        let path = folder.join(format!("sheet-{}.yaml", sheet.version));
        std::fs::write(&path, sheet::to_text(&sheet))
            .map_err(|e| format!("{}: cannot be written: {e}", path.display()))?;
    }
    Ok(())
}

fn file_sink(path: &Path) -> Result<LineSink, Box<dyn Error>> {
    let file =
        File::create(path).map_err(|e| format!("{}: cannot be written: {e}", path.display()))?;
    let file = Mutex::new(BufWriter::new(file));
    Ok(Arc::new(move |line| {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let written = writeln!(file, "{}", line.to_json()).and_then(|()| file.flush());
        if let Err(e) = written {
            log::error!("a line of the record could not be written: {e}");
        }
    }))
}
