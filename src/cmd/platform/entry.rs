//! `medlarproxy platform entry`: forwards callers' requests to targets.

use std::time::Duration;

use control::budget::BudgetOptions;
use control::router::place::Location;
use control::router::{
    Options,
    State, //
};
use platform::{
    NodeSettings,
    OperatorLimits, //
};
use proxy::feed::{
    self,
    FeedOptions, //
};
use proxy::router::{
    run_engine_watches,
    serve_callers,
    serve_readiness,
    shut_down,
    AgentClient,
    Router,
    ShutdownSignal, //
};
use proxy::ProxyError;
use utils::rank;

use super::{
    asked_to_stop,
    listen,
    Outcome,
    Process, //
};

/// The share of the time for the removal of a key for which the configuration is acted on without
/// proof. The rest covers the way of a request to its target.
const LEASE_SHARE: f64 = 0.8;

/// How much sooner than its time an older version is sent nothing more: a request that is sent must
/// also begin in time.
const VERSION_MARGIN: Duration = Duration::from_millis(1000);

/// How much sooner than its time a request must have begun on an older version, or another target
/// is asked. Covers the lag of what this process knows of the naming.
const BEGIN_MARGIN: Duration = Duration::from_millis(350);

/// The share of the fleet's retries that one process uses, since it does not know what others do.
const RETRY_SHARE: f64 = 0.7;

/// Processes that share the retries beyond a share of requests.
const RETRY_SHARERS: f64 = 8.0;

/// How much sooner than it is killed a stopping process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

pub(super) async fn run(process: &Process) -> Outcome {
    let settings = &process.settings;
    let missing = |what| ProxyError::NoAddress(what);
    let callers = settings.caller_address.ok_or_else(|| missing("callers"))?;
    let readiness = settings
        .readiness_address
        .ok_or_else(|| missing("readiness checks"))?;
    let callers = listen(callers)?;
    let readiness = listen(readiness)?;
    let router = Router::new(
        State::new(options(settings, process.clock.now().unix_ms())),
        process.clock.clone(),
        process.record_writer.clone(),
        platform::header_codec(),
        AgentClient::new(settings.instance.clone(), settings.first_peer_port),
    );
    process.serve_metrics().await?;
    let source = platform::store_source(
        proxy::http_client(),
        settings.store_address,
        platform::WatchScope::Everything,
    );
    let receiver = router.clone();
    let clock = process.clock.clone();
    let handle_event = move |event| receiver.handle_feed_event(event);
    let follow = feed::follow_source(clock, source, FeedOptions::default(), handle_event);
    tokio::task::spawn_local(follow);
    let timed = router.clone();
    tokio::task::spawn_local(async move { timed.run_timer().await });
    tokio::task::spawn_local(run_engine_watches(router.clone()));
    let shutdown = ShutdownSignal::default();
    tokio::task::spawn_local(serve_callers(router.clone(), callers, shutdown.clone()));
    let ready = serve_readiness(router.clone(), readiness, platform::READY_PATH);
    tokio::task::spawn_local(ready);
    asked_to_stop(|| process.reload()).await?;
    shut_down(
        router,
        shutdown,
        settings.bounds.shutdown_timeout.saturating_sub(STOP_MARGIN),
    )
    .await;
    Ok(())
}

fn options(settings: &NodeSettings, now_ms: u64) -> Options {
    let location = Location {
        data_centre: settings.data_centre.clone(),
        regions: settings.regions.clone(),
    };
    Options {
        location,
        lease: settings.bounds.key_revocation_time.mul_f64(LEASE_SHARE),
        version_grace: settings
            .bounds
            .version_switch_time
            .saturating_sub(VERSION_MARGIN),
        budget: budget(&settings.bounds),
        begin_grace: VERSION_MARGIN - BEGIN_MARGIN,
        reserves: true,
        seed: rank::weight(now_ms, &settings.instance),
    }
}

fn budget(bounds: &OperatorLimits) -> BudgetOptions {
    BudgetOptions {
        share: bounds.retries_per_request * RETRY_SHARE,
        burst: (bounds.extra_retries_per_window / RETRY_SHARERS).max(1.0),
    }
}
