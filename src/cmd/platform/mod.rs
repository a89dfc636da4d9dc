//! `medlarproxy platform`: the processes on the users' platform.

mod agent;
mod entry;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use platform::Node;
use proxy::{
    Journal,
    ProxyError, //
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

use super::Outcome;
use crate::cli::{
    PlatformArguments,
    PlatformRole, //
};
use crate::logs;

/// How long the last lines may take to be written when the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// The port for metrics, counted from the first of the product's own.
const METRICS_PORT: u16 = 1;

/// Upper ends of the buckets of latency histograms, in seconds, around the objectives of callers.
const LATENCY_BUCKETS: [f64; 9] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 3.0];

/// Connections that may wait to be accepted. Callers come back together after a fault.
const BACKLOG: u32 = 1024;

pub(crate) fn run(arguments: &PlatformArguments) -> Outcome {
    let path = settings_path(arguments)?;
    let node = platform::load(&path)?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new()?);
    let output = LineWriter::start(io::stdout())?;
    logs::start_with(&arguments.log, output.clone())?;
    let journal = Arc::new(Journal::new(node.instance.clone(), clock.clone(), output));
    let process = Process {
        node,
        path,
        clock,
        journal: journal.clone(),
    };
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async {
        process.started();
        match arguments.role {
            PlatformRole::Agent(_) => agent::run(&process).await,
            PlatformRole::Entry(_) => entry::run(&process).await,
        }
    });
    let detail = match &result {
        Ok(()) => "in good order".to_owned(),
        Err(e) => e.to_string(),
    };
    process.note("stop", &detail);
    journal.output().close(FLUSH_TIME);
    result
}

fn settings_path(arguments: &PlatformArguments) -> Result<PathBuf, ProxyError> {
    let from_platform = || std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let path = arguments.settings.clone().or_else(from_platform);
    path.ok_or(ProxyError::NoSettings(platform::SETTINGS_VARIABLE))
}

/// What every role is started with.
struct Process {
    node: Node,
    path: PathBuf,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
}

impl Process {
    fn started(&self) {
        let detail = format!(
            "version {} in {} with {}",
            env!("CARGO_PKG_VERSION"),
            self.node.data_centre,
            self.path.display()
        );
        self.note("start", &detail);
    }

    /// Writes a line on the process itself.
    fn note(&self, step: &str, detail: &str) {
        let decision = Decision::Process {
            step: step.into(),
            detail: detail.into(),
        };
        self.journal.record(0, decision);
    }

    /// Reads the settings file again. The addresses in it are fixed for the life of the process, so
    /// what is noted is that it is still valid.
    fn reload(&self) {
        match platform::load(&self.path) {
            Ok(node) if node == self.node => self.note("reload", "nothing changed"),
            Ok(_) => self.note("reload", "settings changed; they hold from the next start"),
            Err(e) => self.note("reload", &format!("kept the settings before: {e}")),
        }
    }

    /// Serves metrics beside the role.
    async fn serve_metrics(&self) -> Outcome {
        let handle = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)?
            .install_recorder()?;
        let port = self.node.first_peer_port + METRICS_PORT;
        let listener = listen(SocketAddr::new(self.node.ip, port))?;
        let _detached = tokio::spawn(admin::serve_metrics(listener, handle));
        Ok(())
    }
}

/// Listens on an address, also if connections of the process before still linger there.
fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|e| ProxyError::Listen(address, e))
}

/// Waits until the process is asked to stop, and passes requests to reload to `reload`.
async fn asked_to_stop(mut reload: impl FnMut()) -> io::Result<()> {
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
