//! `medlarproxy platform entry`: runs an entry, which forwards the requests of callers to targets.

use std::time::Duration;

use control::retry_budget::RetryBudgetOptions;
use control::router::selection::Location;
use control::router::{
    Options,
    State, //
};
use platform::{
    Bounds,
    Node, //
};
use proxy::feed::{
    self,
    FeedOptions, //
};
use proxy::router::{
    drain,
    serve,
    serve_ready,
    watch_engines,
    Agents,
    Router,
    Stop, //
};
use proxy::ProxyError;
use utils::rank;

use super::{
    listen,
    wait_for_stop_signal,
    CommandResult,
    Process, //
};

/// The lease of the configuration, as a share of the time within which a removed API key must stop
/// working. The rest of that time covers the transmission of a request to its target.
const LEASE_FRACTION: f64 = 0.8;

/// How long before the deadline for older versions no more requests are sent to targets that run
/// them: a request that is sent must also start before the deadline.
const VERSION_SEND_MARGIN: Duration = Duration::from_millis(1000);

/// How long before the deadline for older versions a request must have started on such a target;
/// otherwise it is sent to another one. Covers the delay until this process learns of a new
/// version.
const VERSION_START_MARGIN: Duration = Duration::from_millis(350);

/// The share of the permitted retry ratio that one process uses. It does not know the retries of
/// other processes.
const RETRY_FRACTION: f64 = 0.7;

/// The number of processes that the permitted extra retries are divided among.
const RETRY_PROCESSES: f64 = 8.0;

/// A stopping process exits by itself this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

pub(super) async fn run(process: &Process) -> CommandResult {
    let node = &process.node;
    let missing = |address| ProxyError::NoAddress(address);
    let caller_address = node.callers.ok_or_else(|| missing("callers"))?;
    let readiness_address = node.readiness.ok_or_else(|| missing("readiness checks"))?;
    let caller_listener = listen(caller_address)?;
    let readiness_listener = listen(readiness_address)?;
    let router = Router::new(
        State::new(options(node, process.clock.now().unix_ms())),
        process.clock.clone(),
        process.journal.clone(),
        platform::dialect(),
        Agents::new(node.instance.clone(), node.first_peer_port),
    );
    process.serve_metrics().await?;
    let source = platform::source(proxy::http_client(), node.store, platform::View::Everything);
    let receiver = router.clone();
    let clock = process.clock.clone();
    let on_update = move |update| receiver.hear(update);
    let follow_task = feed::follow(clock, source, FeedOptions::default(), on_update);
    tokio::task::spawn_local(follow_task);
    let timer = router.clone();
    tokio::task::spawn_local(async move { timer.keep_time().await });
    tokio::task::spawn_local(watch_engines(router.clone()));
    let stop = Stop::default();
    tokio::task::spawn_local(serve(router.clone(), caller_listener, stop.clone()));
    let serve_readiness = serve_ready(router.clone(), readiness_listener, platform::READY_PATH);
    tokio::task::spawn_local(serve_readiness);
    wait_for_stop_signal(|| process.reload()).await?;
    drain(router, stop, node.bounds.stop.saturating_sub(EXIT_MARGIN)).await;
    Ok(())
}

fn options(node: &Node, now_ms: u64) -> Options {
    let location = Location {
        data_centre: node.data_centre.clone(),
        regions: node.regions.clone(),
    };
    Options {
        location,
        lease_duration: node.bounds.key_removal.mul_f64(LEASE_FRACTION),
        version_grace: node.bounds.version.saturating_sub(VERSION_SEND_MARGIN),
        budget: budget(&node.bounds),
        first_event_grace: VERSION_SEND_MARGIN - VERSION_START_MARGIN,
        uses_reservations: true,
        seed: rank::weight(now_ms, &node.instance),
    }
}

fn budget(bounds: &Bounds) -> RetryBudgetOptions {
    RetryBudgetOptions {
        retries_per_request: bounds.retry_share * RETRY_FRACTION,
        max_available: (bounds.retry_extra / RETRY_PROCESSES).max(1.0),
    }
}
