//! What entry and agent need to run as a process.

use std::io;
use std::sync::Arc;

use proxy::{
    Identity,
    Sink, //
};
use settings::Settings;
use tokio::runtime::{
    Builder,
    Runtime, //
};
use tokio::signal::unix::{
    signal,
    SignalKind, //
};
use utils::clock::Clock;

/// Makes the threads that carry traffic.
pub(crate) fn runtime(settings: &Settings) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

/// Who this process is. The time of its start tells it from earlier ones on the instance.
pub(crate) fn identity(settings: &Settings, clock: &dyn Clock) -> Identity {
    Identity {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: clock.now().unix_ms(),
    }
}

/// Writes the record to the log.
pub(crate) fn sink() -> Sink {
    Arc::new(crate::logs::record)
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
