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

/// Memory for pieces: an instance of this role has 128 MB.
const PIECE_BYTES: u64 = 32 << 20;

/// How often agents tell each other what they hold while they gather.
const EXCHANGE_EVERY: Duration = Duration::from_millis(200);

/// How long a silent agent of a lower rank is waited for. A version must be everywhere in 8 s.
const RANK_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a draw may go without a byte. A piece takes 35 ms on an instance's link alone.
const STALL_AFTER: Duration = Duration::from_millis(800);

/// How long a request for a piece that is still to come is held.
const PARK_FOR: Duration = Duration::from_millis(1000);

/// The share of the instance's link that pieces may take on their way to other agents. The engine's
/// streams take a twentieth; the rest keeps the line before them short.
const UPLOAD_SHARE: f64 = 0.75;

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
        exchange_every: EXCHANGE_EVERY,
        rank_timeout: RANK_TIMEOUT,
        stall_after: STALL_AFTER,
        park_for: PARK_FOR,
        give_up_for: GIVE_UP_FOR,
        memory_bytes: PIECE_BYTES,
        ..Limits::default()
    }
}
