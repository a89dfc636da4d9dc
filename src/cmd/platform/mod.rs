//! `medlarproxy platform`: runs an entry or an agent on the users' platform.

mod agent;
mod entry;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use control::capacity;
use metrics_exporter_prometheus::PrometheusBuilder;
use platform::{
    NodeSettings,
    OperatorLimits, //
};
use proxy::{
    ProxyError,
    RecordWriter, //
};
use record::{
    Decision,
    LineWriter, //
};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{
    signal,
    SignalKind, //
};
use tokio::task::LocalSet;
use utils::boot_clock::BootClock;
use utils::clock::Clock;

use super::CommandResult;
use crate::cli::{
    LearnCapacity,
    MinLearnedShare,
    PlatformArguments,
    PlatformRole, //
};
use crate::logging;

/// How long writing the last log lines may take when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The offset of the metrics port from the first port for internal traffic.
const METRICS_PORT_OFFSET: u16 = 1;

/// Upper bounds of latency histogram buckets in seconds, around the latency objectives of
/// callers.
const LATENCY_BUCKETS_SECONDS: [f64; 9] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 3.0];

/// How long before the deadline for older versions no more requests are sent to targets that run
/// them: a request that is sent must also start before the deadline.
const VERSION_SEND_MARGIN: Duration = Duration::from_millis(750);

/// Connections that may wait to be accepted. Callers reconnect at the same time after a fault.
const LISTEN_BACKLOG: u32 = 1024;

pub(crate) fn run(arguments: &PlatformArguments) -> CommandResult {
    let settings_file = settings_path(arguments)?;
    let settings = platform::load(&settings_file)?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new()?);
    let output = LineWriter::start(io::stdout())?;
    logging::start_non_blocking(&arguments.log, output.clone())?;
    let record_writer = Arc::new(RecordWriter::new(
        settings.instance.clone(),
        clock.clone(),
        output,
    ));
    let process = Process {
        settings,
        settings_file,
        clock,
        record_writer: record_writer.clone(),
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async {
        process.record_start();
        match &arguments.role {
            PlatformRole::Agent(agent) => {
                let capacity = capacity_settings(agent.learn_capacity, agent.min_learned_share);
                agent::run(&process, capacity).await
            }
            PlatformRole::Entry(entry) => {
                let capacity = capacity_settings(entry.learn_capacity, entry.min_learned_share);
                entry::run(&process, capacity).await
            }
        }
    });
    let detail = match &result {
        Ok(()) => "in good order".to_owned(),
        Err(e) => e.to_string(),
    };
    process.record_event("stop", &detail);
    record_writer.output().close(FLUSH_TIMEOUT);
    result
}

fn capacity_settings(learn: LearnCapacity, min_share: MinLearnedShare) -> capacity::Settings {
    capacity::Settings {
        is_enabled: learn.0,
        min_share: min_share.0,
    }
}

fn settings_path(arguments: &PlatformArguments) -> Result<PathBuf, ProxyError> {
    let from_platform = || std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let settings_file = arguments.settings.clone().or_else(from_platform);
    settings_file.ok_or(ProxyError::NoSettings(platform::SETTINGS_VARIABLE))
}

/// How long after a version was named requests are still sent to the one before it.
fn old_version_time(limits: &OperatorLimits) -> Duration {
    limits
        .version_switch_time
        .saturating_sub(VERSION_SEND_MARGIN)
}

/// The settings and services that both roles use.
struct Process {
    settings: NodeSettings,
    settings_file: PathBuf,
    clock: Arc<dyn Clock>,
    record_writer: Arc<RecordWriter>,
}

impl Process {
    fn record_start(&self) {
        let detail = format!(
            "version {} in {} with {}",
            env!("CARGO_PKG_VERSION"),
            self.settings.data_centre,
            self.settings_file.display()
        );
        self.record_event("start", &detail);
    }

    /// Records an event of the process itself.
    fn record_event(&self, step: &str, detail: &str) {
        let decision = Decision::Process {
            step: step.into(),
            detail: detail.into(),
        };
        self.record_writer.record(0, decision);
    }

    /// Reads the settings file again and records whether it is valid and has changed. The running
    /// process keeps its settings, because the addresses in them cannot change before a restart.
    fn reload(&self) {
        match platform::load(&self.settings_file) {
            Ok(settings) if settings == self.settings => {
                self.record_event("reload", "nothing changed")
            }
            Ok(_) => self.record_event("reload", "settings changed; they hold from the next start"),
            Err(e) => self.record_event("reload", &format!("kept the settings before: {e}")),
        }
    }

    /// Serves the metrics on a separate port.
    async fn serve_metrics(&self) -> CommandResult {
        let handle = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS_SECONDS)?
            .install_recorder()?;
        let port = self.settings.first_peer_port + METRICS_PORT_OFFSET;
        let listener = listen(SocketAddr::new(self.settings.ip, port))?;
        let _detached = tokio::spawn(admin::serve_metrics(listener, handle));
        Ok(())
    }
}

/// Listens on an address, even while connections of an earlier process there are in TIME_WAIT.
fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|e| ProxyError::Listen(address, e))
}

/// Waits for SIGTERM or SIGINT. Calls `reload` on each SIGHUP.
async fn wait_for_stop_signal(mut reload: impl FnMut()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => reload(),
        }
    }
}
