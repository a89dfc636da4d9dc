//! `medlarproxy agent`: runs the agent of one target.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusBuilder;
use proxy::agent::{
    Agent,
    Setup, //
};
use proxy::{
    http_client,
    Links,
    Pacer,
    ProxyError, //
};
use settings::{
    AgentOptions,
    Settings, //
};
use tokio::net::TcpListener;
use utils::boot_clock::BootClock;
use utils::clock::Clock;

use super::{
    process,
    CommandResult, //
};
use crate::cli::AgentArguments;
use crate::logging;

pub(crate) fn run(arguments: &AgentArguments) -> CommandResult {
    let settings = settings::load(&arguments.settings)?;
    let Some(agent) = settings.agent.clone() else {
        return Err(ProxyError::NoRole.into());
    };
    logging::start(&settings.log.level, std::io::stdout())?;
    process::build_runtime(&settings)?.block_on(serve(&settings, &agent))
}

async fn serve(settings: &Settings, options: &AgentOptions) -> CommandResult {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new()?);
    let listener = TcpListener::bind(settings.peer_address)
        .await
        .map_err(|e| ProxyError::Listen(settings.peer_address, e))?;
    let setup = Setup {
        process_options: process::process_options(settings, &clock),
        options: settings.agent_options(options),
        target_address: options.target,
        origin_address: options.origin,
        links: links(options, &clock),
    };
    let agent = Agent::start(setup, listener, http_client())?;
    let admin_process = admin::Process::Agent(agent.clone());
    process::serve_admin(settings, admin_process, metrics).await?;
    tokio::select! {
        signal = process::wait_for_stop_signal() => signal?,
        // The administration interface has asked for a stop.
        () = agent.wait_until_drained() => return Ok(()),
    }
    agent.drain().await;
    Ok(())
}

fn links(options: &AgentOptions, clock: &Arc<dyn Clock>) -> Links {
    let rate_limiter = |rate: f64| Arc::new(Pacer::new(clock.clone(), rate));
    Links {
        outgoing: options.links.instance_bytes_per_second.map(rate_limiter),
        incoming: options.links.instance_bytes_per_second.map(rate_limiter),
        other_regions: options.links.region_bytes_per_second.map(rate_limiter),
        ..Links::default()
    }
}
