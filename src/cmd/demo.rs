//! `medlarproxy demo`: a whole fleet in this process, before stand-ins.

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
    LoadShape,
    Tally, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use protocol::Phase;
use proxy::Sink;
use sheet::DataCentreState;
use tokio::net::TcpListener;
use utils::Name;

use super::Outcome;
use crate::cli::DemoArguments;
use crate::logs;

/// How long the fleet may take to start.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// How long the burst may take, as a multiple of its physical bound.
const BURST_PATIENCE: u32 = 10;

/// How long a data centre stays out.
const OUT_TIME: Duration = Duration::from_secs(3);

/// The version that the burst brings.
const NEW_VERSION: &str = "v2";

/// Callers that send requests meanwhile.
const CALLERS: usize = 8;

/// What the burst came to.
struct Burst {
    wanted: usize,
    ready: usize,
    seconds: f64,
    staged_seconds: f64,
    origin_copies: f64,
}

pub(crate) fn run(arguments: &DemoArguments) -> Outcome {
    if arguments.targets == 0 {
        return Err("--targets: 0 is not allowed, expected 1 or more".into());
    }
    logs::start(&arguments.log, std::io::stderr())?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(show(arguments))
}

async fn show(arguments: &DemoArguments) -> Outcome {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let sink: Sink = match &arguments.record {
        Some(path) => file_sink(path)?,
        // On a terminal the record would bury everything else.
        None if matches!(&*arguments.log, "error" | "warn") => Arc::new(|_| ()),
        None => Arc::new(logs::record),
    };
    let layout = Layout::small(arguments.targets);
    let fleet = Fleet::start(layout, sink).await?;
    if !fleet.wait_ready("v1", START_PATIENCE).await {
        return Err("the fleet did not become ready".into());
    }
    println!(
        "{} targets in {} data centres serve v1; {} callers send requests",
        arguments.targets,
        fleet.layout().data_centres.len(),
        CALLERS
    );
    let load = Load::start(
        &LoadShape::of(CALLERS),
        fleet.caller_addresses(),
        fleet.clock().clone(),
    );
    let burst = run_burst(&fleet).await;
    take_data_centre_out_and_back(&fleet).await;
    let tally = load.finish().await;
    println!(
        "callers: {} sent, {} answered, {} refused as not run, {} failed, {} mixed",
        tally.sent, tally.answered, tally.refused_not_run, tally.failed, tally.mixed
    );
    if !arguments.once {
        stay_up(&fleet, &metrics).await?;
    }
    if let Some(folder) = &arguments.sheets {
        write_sheets(&fleet, folder)?;
    }
    if arguments.json {
        println!("{}", summary(&fleet, &burst, &tally));
    }
    fleet.stop();
    if burst.ready < burst.wanted || tally.failed > 0 || tally.mixed > 0 {
        return Err(format!("the burst is not clean: {:?}", tally.reasons).into());
    }
    Ok(())
}

/// Rolls a new version out and shows how it spreads.
async fn run_burst(fleet: &Fleet) -> Burst {
    let wanted = fleet.layout().targets;
    let bound = fleet.layout().bound();
    let sent_before = fleet.origin().bytes_sent();
    let started = fleet.clock().now().elapsed;
    fleet.roll_out(NEW_VERSION, 2);
    println!(
        "burst: v2 to {wanted} targets, physical bound {:.1} s",
        bound.as_secs_f64()
    );
    let mut burst = Burst {
        wanted,
        ready: 0,
        seconds: 0.0,
        staged_seconds: 0.0,
        origin_copies: 0.0,
    };
    let mut shown = Duration::ZERO;
    loop {
        let elapsed = fleet.clock().now().elapsed.saturating_sub(started);
        let (staged, ready) = count(fleet).await;
        if staged < wanted {
            burst.staged_seconds = elapsed.as_secs_f64();
        }
        burst.seconds = elapsed.as_secs_f64();
        burst.ready = ready;
        let is_over = ready == wanted || elapsed > bound * BURST_PATIENCE;
        if is_over || elapsed >= shown {
            shown = elapsed + Duration::from_secs(1);
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
    burst.origin_copies = sent as f64 / fleet.layout().weight_bytes as f64;
    println!("  {:.2} copies drawn from the origin", burst.origin_copies);
    burst
}

/// Targets that hold the new version whole, and targets that serve it.
async fn count(fleet: &Fleet) -> (usize, usize) {
    let statuses = fleet.statuses().await;
    let staged = statuses
        .values()
        .filter(|s| !matches!(s.phase, Phase::Staging | Phase::Idle));
    let ready = statuses
        .values()
        .filter(|s| s.version.as_deref() == Some(NEW_VERSION));
    (staged.count(), ready.count())
}

async fn take_data_centre_out_and_back(fleet: &Fleet) {
    let Some((name, _)) = fleet.layout().data_centres.last().cloned() else {
        return;
    };
    println!("data centre {name} is taken out of service");
    fleet.set_data_centre(&name, DataCentreState::Out);
    tokio::time::sleep(OUT_TIME).await;
    println!("data centre {name} is back in service");
    fleet.set_data_centre(&name, DataCentreState::In);
    tokio::time::sleep(OUT_TIME).await;
}

/// Serves operators of every process, as real processes do. Returns the addresses by instance.
async fn serve_operators(
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
        let options = admin::Options {
            token_file: None,
            metrics: metrics.clone(),
            set_level: logs::set_level,
        };
        let _detached = tokio::spawn(admin::serve(listener, process, options));
    }
    Ok(addresses)
}

async fn stay_up(fleet: &Fleet, metrics: &PrometheusHandle) -> Outcome {
    for (name, address) in serve_operators(fleet, metrics).await? {
        println!("{name} for operators: http://{address}");
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
    super::process::asked_to_stop().await?;
    Ok(())
}

fn summary(fleet: &Fleet, burst: &Burst, tally: &Tally) -> serde_json::Value {
    let bound = fleet.layout().bound().as_secs_f64();
    serde_json::json!({
        "replicas_wanted": burst.wanted,
        "replicas_ready": burst.ready,
        "seconds": burst.seconds,
        "staged_seconds": burst.staged_seconds,
        "bound_seconds": bound,
        "bound_ratio": burst.staged_seconds / bound,
        "origin_copies": burst.origin_copies,
        "sent": tally.sent,
        "answered": tally.answered,
        "refused_not_run": tally.refused_not_run,
        "failed": tally.failed,
        "mixed": tally.mixed,
    })
}

fn write_sheets(fleet: &Fleet, folder: &Path) -> Outcome {
    std::fs::create_dir_all(folder)
        .map_err(|e| format!("{}: cannot be made: {e}", folder.display()))?;
    for sheet in fleet.published() {
        let path = folder.join(format!("sheet-{}.yaml", sheet.version));
        std::fs::write(&path, sheet::to_text(&sheet))
            .map_err(|e| format!("{}: cannot be written: {e}", path.display()))?;
    }
    Ok(())
}

fn file_sink(path: &Path) -> Result<Sink, Box<dyn Error>> {
    let file =
        File::create(path).map_err(|e| format!("{}: cannot be written: {e}", path.display()))?;
    let file = Mutex::new(BufWriter::new(file));
    Ok(Arc::new(move |line| {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let written = writeln!(file, "{}", line.to_json()).and_then(|()| file.flush());
        if let Err(e) = written {
            log::error!("a line of the record is lost: {e}");
        }
    }))
}
