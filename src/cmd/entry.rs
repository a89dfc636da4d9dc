//! `medlarproxy entry`: runs an entry, which receives the requests of callers.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusBuilder;
use proxy::entry::{
    CallerOptions,
    Entry,
    Setup, //
};
use proxy::{
    http_client,
    ProxyError, //
};
use settings::{
    EntryOptions,
    Settings, //
};
use tokio::net::TcpListener;
use utils::clock::{
    Clock,
    SystemClock, //
};

use super::{
    process,
    CommandResult, //
};
use crate::cli::EntryArguments;
use crate::logging;

pub(crate) fn run(arguments: &EntryArguments) -> CommandResult {
    let settings = settings::load(&arguments.settings)?;
    let Some(entry) = settings.entry.clone() else {
        return Err(ProxyError::NoRole.into());
    };
    logging::start(&settings.log.level, std::io::stdout())?;
    process::build_runtime(&settings)?.block_on(serve(&settings, &entry))
}

async fn serve(settings: &Settings, options: &EntryOptions) -> CommandResult {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let listen = |address| async move {
        let listener = TcpListener::bind(address).await;
        listener.map_err(|e| ProxyError::Listen(address, e))
    };
    let peers = listen(settings.peer_address).await?;
    let callers = listen(options.caller_address).await?;
    let setup = Setup {
        process_options: process::process_options(settings, &clock),
        options: settings.entry_options(options),
        callers: CallerOptions {
            max_body_bytes: options.body_limit_bytes,
            max_buffer_bytes: options.buffer_limit_bytes,
            receive_timeout: options.receive_timeout,
            default_timeout: options.request_timeout,
            max_timeout: options.longest_timeout,
            prefix_bytes: options.prefix_bytes,
        },
    };
    let entry = Entry::start(setup, peers, callers, http_client())?;
    let admin_process = admin::Process::Entry(entry.clone());
    process::serve_admin(settings, admin_process, metrics).await?;
    tokio::select! {
        signal = process::wait_for_stop_signal() => signal?,
        // The administration interface has asked for a stop.
        () = entry.wait_until_drained() => return Ok(()),
    }
    entry.drain().await;
    Ok(())
}
