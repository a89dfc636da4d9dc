//! The runtime, admin server and stop signals of an entry or agent process.

use std::io;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use proxy::{
    Identity,
    ProcessOptions,
    ProxyError, //
};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::runtime::{
    Builder,
    Runtime, //
};
use tokio::signal::unix::{
    signal,
    SignalKind, //
};
use utils::clock::Clock;
use wire::PoolOptions;

/// Builds the runtime whose threads carry traffic.
pub(crate) fn build_runtime(settings: &Settings) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

/// Returns the options that entry and agent have in common. The start time is the incarnation,
/// which distinguishes the process from earlier ones on the same instance.
pub(crate) fn process_options(settings: &Settings, clock: &Arc<dyn Clock>) -> ProcessOptions {
    let identity = Identity {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: clock.now().unix_ms(),
    };
    ProcessOptions {
        identity,
        config_service: settings.configuration_service,
        instance_list: settings.instance_list,
        tick_interval: settings.tick,
        clock: clock.clone(),
        pool_options: PoolOptions::default(),
        line_sink: Arc::new(crate::logging::write_record_line),
    }
}

/// Serves the administration API on the address in the settings until the process ends.
pub(crate) async fn serve_admin(
    settings: &Settings,
    process: admin::Process,
    metrics: PrometheusHandle,
) -> Result<(), Box<dyn std::error::Error>> {
    let address = settings.admin_address;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|e| ProxyError::Listen(address, e))?;
    let options = admin::AdminOptions {
        token_file: settings.admin_token_file.clone(),
        metrics,
        set_level: crate::logging::set_level,
    };
    let _detached = tokio::spawn(admin::serve(listener, process, options));
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
