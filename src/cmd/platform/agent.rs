//! `medlarproxy platform agent`: runs an agent, which loads the named model version into the
//! engine on the same instance.

use std::net::SocketAddr;
use std::time::Duration;

use control::capacity;
use control::controller::{
    Controller,
    UpdateLimits, //
};
use proxy::controller::{
    Agent,
    AgentOptions, //
};
use proxy::feed::{
    self,
    FeedOptions, //
};
use proxy::ProxyError;
use weights::Limits;

use super::{
    listen,
    old_version_time,
    wait_for_stop_signal,
    CommandResult,
    Process, //
};

/// How long one request waits for changes in the store. Entries tell agents of new versions too, so
/// a request that hangs delays little.
const FEED_MAX_WAIT: Duration = Duration::from_secs(10);

/// The shortest time between the starts of two requests, so that several changes in short succession
/// are read together.
const FEED_CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Agents watch versions of weights alone, of which changes hold few bytes however old they are.
const FEED_MAX_HISTORY_AGE: Duration = Duration::MAX;

/// The shortest delay after a failed request; a random delay of up to the same length is added.
/// Refused requests are billed too. Entries retry four times a second and tell agents of new
/// versions, so agents can wait longer.
const FEED_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Memory for pieces, in bytes. An instance that runs an agent has 128 MB.
const PIECE_MEMORY_BYTES: u64 = 32 << 20;

/// The interval at which agents tell each other which pieces they hold during a transfer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// How long to wait for an unresponsive agent of lower rank. A version must reach every engine
/// within 8 s.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a download may receive no data. A piece takes 35 ms on an otherwise idle link of an
/// instance.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a peer's request for a piece that has not arrived yet is kept. An instance sends its
/// pieces one request after the other, which takes up to 2.5 s.
const DEFER_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long a request may wait at another instance, in total, for the piece and for an upload slot.
const WAIT_TIMEOUT: Duration = Duration::from_millis(3300);

/// Requests that may wait for pieces at the same time: half of a version of 64 pieces. The other
/// pieces are downloaded from any instance that holds them.
const WAITING_FETCHES: usize = 32;

/// Concurrent downloads from other regions. Each instance downloads three or four of 64 pieces from
/// there.
const REMOTE_FETCHES: usize = 8;

/// How long a request waits before the piece is requested from another holder: two exchange
/// intervals and the time of a few pieces on an instance's link.
const REROUTE_AFTER: Duration = Duration::from_millis(600);

/// Concurrent downloads from the origin. More would share its link and all end later.
const ORIGIN_FETCHES: usize = 1;

/// The delay between the first downloads of two instances from the origin. A piece of 32 KB takes
/// 26 ms on its link of 9.9 Mbit/s, so the link is never idle and few downloads share it.
const ORIGIN_STAGGER: Duration = Duration::from_millis(15);

/// Concurrent uploads. Several, because one receiver may be slowed down by other senders; the other
/// uploads then use the rest of the rate.
const UPLOAD_SLOTS: usize = 4;

/// Requests that may wait for an upload slot: two for each instance of a region.
const UPLOAD_QUEUE: usize = 64;

/// The share of the instance's link that uploads of pieces may use. The response streams of the
/// engine use a twentieth.
const UPLOAD_SHARE: f64 = 0.9;

/// The share of the link that downloads of pieces may use. Requests to the engine need little
/// bandwidth, but must not queue behind a saturated link.
const DOWNLOAD_SHARE: f64 = 0.9;

/// How long an agent leaves a piece to other agents after downloads from the origin failed.
const GIVE_UP_DURATION: Duration = Duration::from_millis(800);

pub(super) async fn run(process: &Process, capacity: capacity::Settings) -> CommandResult {
    let settings = &process.settings;
    let engine = settings
        .engine_address
        .ok_or(ProxyError::NoAddress("the engine"))?;
    let service = settings.service.clone();
    let service = service.ok_or(ProxyError::NoAddress("the engine's service"))?;
    let address = SocketAddr::new(settings.ip, settings.first_peer_port);
    let listener = listen(address)?;
    process.serve_metrics().await?;
    let options = AgentOptions {
        service,
        regions: settings.regions.clone(),
        data_centre: settings.data_centre.clone(),
        address,
        peer_port: settings.first_peer_port,
        upload_bytes_per_second: settings.link_bytes_per_second * UPLOAD_SHARE,
        download_bytes_per_second: settings.link_bytes_per_second * DOWNLOAD_SHARE,
    };
    let update_limits = UpdateLimits {
        old_version_time: old_version_time(&settings.operator_limits),
        download_bytes_per_second: options.download_bytes_per_second,
    };
    let controller = Controller::new(
        address.to_string().into(),
        limits(),
        update_limits,
        settings.is_first_start,
    )
    .with_learned_capacity(capacity);
    let http = proxy::http_client();
    let backends = platform::engine_backends(http.clone(), engine, settings.store_address);
    let agent = Agent::new(
        options,
        controller,
        process.clock.clone(),
        process.record_writer.clone(),
        backends,
    );
    let feed_options = FeedOptions {
        max_wait: FEED_MAX_WAIT,
        call_interval: FEED_CALL_INTERVAL,
        retry_delay: FEED_RETRY_DELAY,
        max_history_age: FEED_MAX_HISTORY_AGE,
        ..FeedOptions::default()
    };
    let source =
        platform::store_source(http, settings.store_address, platform::WatchScope::Versions);
    let receiver = agent.clone();
    let handle_event = move |event| receiver.handle_feed_event(event);
    let follow_task =
        feed::follow_source(process.clock.clone(), source, feed_options, handle_event);
    tokio::task::spawn_local(follow_task);
    tokio::spawn(agent.clone().serve(listener));
    tokio::spawn(agent.run_timer());
    wait_for_stop_signal(|| process.reload()).await?;
    Ok(())
}

fn limits() -> Limits {
    Limits {
        exchange_interval: EXCHANGE_INTERVAL,
        candidate_timeout: CANDIDATE_TIMEOUT,
        stall_timeout: STALL_TIMEOUT,
        defer_timeout: DEFER_TIMEOUT,
        wait_timeout: WAIT_TIMEOUT,
        waiting_fetches: WAITING_FETCHES,
        remote_fetches: REMOTE_FETCHES,
        reroute_after: REROUTE_AFTER,
        origin_fetches: ORIGIN_FETCHES,
        origin_stagger: ORIGIN_STAGGER,
        upload_slots: UPLOAD_SLOTS,
        upload_queue: UPLOAD_QUEUE,
        give_up_duration: GIVE_UP_DURATION,
        memory_bytes: PIECE_MEMORY_BYTES,
        ..Limits::default()
    }
}
