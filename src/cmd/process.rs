//! What entry and agent need to run as a process.

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

/// Makes the threads that carry traffic.
pub(crate) fn runtime(settings: &Settings) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

/// What the process is started with. The time of its start tells it from earlier ones on the
/// instance.
pub(crate) fn base(settings: &Settings, clock: &Arc<dyn Clock>) -> ProcessOptions {
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
        line_sink: Arc::new(crate::logs::record),
    }
}

/// Serves operators on the settings' address until the process ends.
pub(crate) async fn serve_operators(
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
        set_level: crate::logs::set_level,
    };
    let _detached = tokio::spawn(admin::serve(listener, process, options));
    Ok(())
}

/// Waits until the process is asked to stop.
pub(crate) async fn asked_to_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
