//! `medlarproxy platform agent`: keeps the engine on the same instance at the named version.

use std::net::SocketAddr;
use std::time::Duration;

use control::keeper::Keeper;
use proxy::feed::{
    self,
    FeedOptions, //
};
use proxy::keeper::{
    Agent,
    Setup, //
};
use proxy::ProxyError;
use weights::Limits;

use super::{
    asked_to_stop,
    listen,
    Outcome,
    Process, //
};

/// How long an agent waits for operators to publish something. Entries tell it of versions too, so
/// a call that went silent costs little.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// The pause between two readings, so that a quick series of changes is read together.
const FEED_PAUSE: Duration = Duration::from_millis(200);

/// The pause after a failed call; spread by as much again. Refused calls are paid for as well, and
/// entries, which ask four times a second then, tell agents of versions.
const FEED_RETRY: Duration = Duration::from_millis(1500);

/// Memory for pieces: an instance of this role has 128 MB.
const PIECE_BYTES: u64 = 32 << 20;

/// How often agents tell each other what they hold while they gather.
const EXCHANGE_EVERY: Duration = Duration::from_millis(200);

/// How long a silent agent of a lower rank is waited for. A version must be everywhere in 8 s.
const RANK_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a draw may go without a byte. A piece takes 35 ms on an instance's link alone.
const STALL_AFTER: Duration = Duration::from_millis(800);

/// How long a request for a piece that is still to come is held. An instance hands its pieces on
/// for up to two and a half seconds, one request after the other.
const PARK_FOR: Duration = Duration::from_millis(2500);

/// How long a request may wait for the piece and for a slot together.
const WAIT_FOR: Duration = Duration::from_millis(3300);

/// Requests that wait for pieces at once: half of a version of 64 pieces. The others are drawn from
/// whoever turns out to hold them.
const WAITING_FETCHES: usize = 32;

/// Pieces on their way from other regions at once: each instance brings three or four of 64.
const REMOTE_FETCHES: usize = 8;

/// How long a request waits before another holder is asked: two rounds of exchanges and the time
/// of a few pieces on an instance's link.
const REROUTE_AFTER: Duration = Duration::from_millis(600);

/// Draws from the origin at once. More share its link and only end later.
const ORIGIN_FETCHES: usize = 1;

/// The pause between the first draws of two instances from the origin. A piece of 32 KB takes 26 ms
/// on its link of 9.9 Mbit/s, so that the link is never idle and few draws share it.
const ORIGIN_STAGGER: Duration = Duration::from_millis(15);

/// Uploads at once. Where several instances send to one, the others take up the rate.
const UPLOAD_SLOTS: usize = 4;

/// Requests that wait for an upload slot: every instance of a region for one piece, twice.
const UPLOAD_QUEUE: usize = 64;

/// The share of the instance's link that pieces may take on their way to other agents. The engine's
/// streams take a twentieth.
const UPLOAD_SHARE: f64 = 0.9;

/// The share of the link that pieces may take on their way in. Requests take little beside it, but
/// must not stand behind a full line.
const DOWNLOAD_SHARE: f64 = 0.9;

/// How long an agent leaves a piece to others after the origin failed it.
const GIVE_UP_FOR: Duration = Duration::from_millis(800);

pub(super) async fn run(process: &Process) -> Outcome {
    let node = &process.node;
    let engine = node.engine.ok_or(ProxyError::NoAddress("the engine"))?;
    let service = node.service.clone();
    let service = service.ok_or(ProxyError::NoAddress("the engine's service"))?;
    let address = SocketAddr::new(node.ip, node.first_peer_port);
    let listener = listen(address)?;
    process.serve_metrics().await?;
    let setup = Setup {
        service,
        regions: node.regions.clone(),
        data_centre: node.data_centre.clone(),
        address,
        peer_port: node.first_peer_port,
        upload_rate: node.link_rate * UPLOAD_SHARE,
        download_rate: node.link_rate * DOWNLOAD_SHARE,
    };
    let keeper = Keeper::new(address.to_string().into(), limits(), node.is_first_start);
    let http = proxy::http_client();
    let port = platform::engine_port(http.clone(), engine, node.store);
    let agent = Agent::new(
        setup,
        keeper,
        process.clock.clone(),
        process.journal.clone(),
        port,
    );
    let options = FeedOptions {
        wait: FEED_WAIT,
        pause: FEED_PAUSE,
        retry: FEED_RETRY,
        ..FeedOptions::default()
    };
    let source = platform::source(http, node.store, platform::View::Versions);
    let hearing = agent.clone();
    let tell = move |told| hearing.hear(told);
    let follow = feed::follow(process.clock.clone(), source, options, tell);
    tokio::task::spawn_local(follow);
    tokio::spawn(agent.clone().serve(listener));
    tokio::spawn(agent.keep_time());
    asked_to_stop(|| process.reload()).await?;
    Ok(())
}

fn limits() -> Limits {
    Limits {
        exchange_interval: EXCHANGE_EVERY,
        candidate_timeout: RANK_TIMEOUT,
        stall_timeout: STALL_AFTER,
        defer_timeout: PARK_FOR,
        wait_timeout: WAIT_FOR,
        waiting_fetches: WAITING_FETCHES,
        remote_fetches: REMOTE_FETCHES,
        reroute_after: REROUTE_AFTER,
        origin_fetches: ORIGIN_FETCHES,
        origin_stagger: ORIGIN_STAGGER,
        upload_slots: UPLOAD_SLOTS,
        upload_queue: UPLOAD_QUEUE,
        give_up_duration: GIVE_UP_FOR,
        memory_bytes: PIECE_BYTES,
        ..Limits::default()
    }
}
