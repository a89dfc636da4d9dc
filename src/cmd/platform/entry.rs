//! `medlarproxy platform entry`: runs an entry, which forwards the requests of callers to targets.

use std::time::Duration;

use control::capacity;
use control::router::lease::AgeLimits;
use control::router::selection::Location;
use control::router::{
    Options,
    RetryLimit,
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
    exchange_crashes_with_entries,
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
    listen,
    old_version_time,
    wait_for_stop_signal,
    CommandResult,
    Process,
    VERSION_SEND_MARGIN, //
};

/// The lease of the configuration, as a share of the time within which a revoked API key must stop
/// working. The rest of that time covers the transmission of a request to its target.
const LEASE_FRACTION: f64 = 0.8;

/// How long before the deadline for older versions a request must have started on such a target;
/// otherwise it is sent to another one. Covers the way of the cancellation to the target.
const VERSION_START_MARGIN: Duration = Duration::from_millis(150);

/// The share of the permitted retry ratio that is used. The rest covers retries that the platform
/// counts in another window than their requests.
const RETRY_FRACTION: f64 = 0.7;

/// The memory of an instance whose settings do not name it.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// The share of the memory for bodies and events. Buffers that grow are held twice for a moment, and
/// connections and the process itself need the rest.
const BUFFER_SHARE: f64 = 0.4;

/// A stopping process exits by itself this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

pub(super) async fn run(process: &Process, capacity: capacity::Settings) -> CommandResult {
    let settings = &process.settings;
    let missing = |address| ProxyError::NoAddress(address);
    let caller_address = settings.caller_address.ok_or_else(|| missing("callers"))?;
    let readiness_address = settings
        .readiness_address
        .ok_or_else(|| missing("readiness checks"))?;
    let caller_listener = listen(caller_address)?;
    let readiness_listener = listen(readiness_address)?;
    let router = Router::new(
        State::new(options(settings, capacity, process.clock.now().unix_ms())),
        process.clock.clone(),
        process.record_writer.clone(),
        platform::header_codec(),
        AgentClient::new(settings.instance.clone(), settings.first_peer_port),
        max_buffer_bytes(settings),
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
    let default_options = FeedOptions::default();
    let feed_options = FeedOptions {
        heartbeat_interval: settings
            .heartbeat_interval
            .unwrap_or(default_options.heartbeat_interval),
        settles_at_start: true,
        ..default_options
    };
    let follow_task = feed::follow_source(clock, source, feed_options, handle_event);
    tokio::task::spawn_local(follow_task);
    let timer = router.clone();
    tokio::task::spawn_local(async move { timer.run_timer().await });
    tokio::task::spawn_local(run_engine_watches(router.clone()));
    if let Some(address) = settings.entry_peer_address {
        let known_entries = settings.known_entries.clone();
        let exchange =
            exchange_crashes_with_entries(router.clone(), listen(address)?, known_entries);
        tokio::task::spawn_local(exchange);
    }
    let shutdown = ShutdownSignal::default();
    tokio::task::spawn_local(serve_callers(
        router.clone(),
        caller_listener,
        shutdown.clone(),
    ));
    let serve_readiness = serve_readiness(router.clone(), readiness_listener, platform::READY_PATH);
    tokio::task::spawn_local(serve_readiness);
    wait_for_stop_signal(|| process.reload()).await?;
    shut_down(
        router,
        shutdown,
        settings
            .operator_limits
            .shutdown_timeout
            .saturating_sub(EXIT_MARGIN),
    )
    .await;
    Ok(())
}

fn options(settings: &NodeSettings, capacity: capacity::Settings, now_ms: u64) -> Options {
    let location = Location {
        data_centre: settings.data_centre.clone(),
        regions: settings.regions.clone(),
    };
    Options {
        location,
        config_age_limits: age_limits(&settings.operator_limits),
        version_grace: old_version_time(&settings.operator_limits),
        retry_limit: retry_limit(&settings.operator_limits),
        first_event_grace: VERSION_SEND_MARGIN - VERSION_START_MARGIN,
        uses_reservations: true,
        learned_capacity: capacity,
        seed: rank::weight(now_ms, &settings.instance),
    }
}

/// The memory for bodies and events of all callers.
fn max_buffer_bytes(settings: &NodeSettings) -> usize {
    let memory = settings.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
    (memory as f64 * BUFFER_SHARE) as usize
}

fn age_limits(limits: &OperatorLimits) -> AgeLimits {
    AgeLimits::new(
        limits.key_revocation_time.mul_f64(LEASE_FRACTION),
        limits.config_apply_time,
        [limits.target_removal_time, limits.data_centre_removal_time],
    )
}

fn retry_limit(limits: &OperatorLimits) -> RetryLimit {
    RetryLimit {
        retries_per_request: limits.retries_per_request * RETRY_FRACTION,
        extra_retries: limits.extra_retries_per_window,
        window: limits.retry_window,
    }
}
