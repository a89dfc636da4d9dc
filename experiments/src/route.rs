//! `route`: the cost of a routing decision, and the latency that entry and agent add to a request.

use std::time::{
    Duration,
    SystemTime, //
};

use argh::FromArgs;
use bytes::Bytes;
use control::entry::{
    Effect,
    Event,
    IncomingRequest,
    Options,
    State, //
};
use control::follower::{
    Event as FollowerEvent,
    IndexResult, //
};
use fleet::Client;
use hdrhistogram::Histogram;
use protocol::{
    Guard,
    Instance,
    InstanceListUpdate,
    InstanceState,
    Outcome,
    Role,
    Work, //
};
use serde_json::{
    json,
    Value, //
};
use sheet::{
    PublishedSheet,
    Sheet, //
};
use utils::clock::{
    Clock,
    ClockReading,
    SystemClock, //
};
use utils::{
    rank,
    Name, //
};

use crate::control::memory_bytes;
use crate::setup;

/// Measure the cost of a routing decision and the added latency.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub(crate) struct Arguments {
    /// the number of requests for each latency
    #[argh(option, default = "2000")]
    pub requests: usize,
    /// the seed of the generated weights
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON (the only output format)
    #[argh(switch)]
    #[expect(
        dead_code,
        reason = "accepted so that all experiments take the same flags"
    )]
    pub json: bool,
}

/// Routing decisions that are timed for each fleet size.
const DECISION_COUNT: u64 = 100_000;

pub(crate) async fn run(arguments: &Arguments) -> Result<Value, String> {
    let mut by_targets = json!({});
    for targets in [10, 100, 1000] {
        by_targets[targets.to_string()] = json!(decisions_per_second(targets));
    }
    let (added, direct) = added_latency(arguments).await?;
    let measured = json!({
        "decisions_per_second": by_targets,
        "added_ms_p50": added.0,
        "added_ms_p99": added.1,
        "design_size": measure_design_size()?,
    });
    let baseline = json!({ "direct_ms_p50": direct.0, "direct_ms_p99": direct.1 });
    Ok(setup::report("route", arguments.seed, measured, baseline))
}

/// The number of models in a fleet of the size that the system is designed for.
const DESIGN_MODEL_COUNT: usize = 18;

/// The number of instances of each model in that fleet.
const DESIGN_INSTANCES_PER_MODEL: usize = 611;

/// Measures the memory of an entry in a fleet of the design size, and its time to apply a change of
/// one section.
fn measure_design_size() -> Result<Value, String> {
    let now = ClockReading {
        elapsed: Duration::from_secs(1),
        wall_clock: SystemTime::UNIX_EPOCH,
    };
    let names: Vec<Name> = (0..DESIGN_MODEL_COUNT * DESIGN_INSTANCES_PER_MODEL)
        .map(|i| format!("instance-{i:05}").into())
        .collect();
    let mut sheet = one_model_sheet(&names[..DESIGN_INSTANCES_PER_MODEL])?;
    let model = sheet.models["m"].clone();
    sheet.models.clear();
    for (number, names) in names.chunks(DESIGN_INSTANCES_PER_MODEL).enumerate() {
        let mut model = model.clone();
        model.instances.insert("a".into(), names.to_vec());
        sheet.models.insert(format!("model-{number}").into(), model);
    }
    let before = memory_bytes();
    let mut state = State::new("entry-0".into(), "a".into(), 1, Options::default());
    state.step(now, Event::Follow(list_event(&names)));
    let mut index_bytes = 0;
    let mut section_bytes = 0;
    let mut times = Vec::new();
    for version in 1..12 {
        sheet.version = version;
        let percent = 20 + u32::try_from(version).unwrap_or_default();
        if let Some(model) = sheet.models.get_mut("model-0") {
            model.max_out_percent = percent;
        }
        let packed = sheet::pack(&sheet);
        index_bytes = packed.index.len();
        section_bytes = packed.sections.values().map(Vec::len).max().unwrap_or(0);
        let events = sheet_events(packed);
        let clock = SystemClock::new();
        for event in events {
            state.step(now, Event::Follow(event));
        }
        times.push(clock.now().elapsed.as_secs_f64() * 1000.0);
        if state.follower().sheet_collector().version() != version {
            return Err(format!("sheet {version} did not become active"));
        }
    }
    Ok(json!({
        "instances": names.len(),
        "state_bytes": memory_bytes() - before,
        "index_bytes": index_bytes,
        "section_bytes": section_bytes,
        "first_sheet_ms": times[0],
        "changed_section_ms": times[1..].iter().sum::<f64>() / (times.len() - 1) as f64,
    }))
}

/// Measures the reducer alone: a request arrives, is routed, and its response ends. Returns
/// the number of routed requests per second.
fn decisions_per_second(targets: usize) -> f64 {
    let now = ClockReading {
        elapsed: Duration::from_secs(1),
        wall_clock: SystemTime::UNIX_EPOCH,
    };
    let mut state = State::new("entry-0".into(), "a".into(), 1, Options::default());
    let names: Vec<Name> = (0..targets).map(|i| format!("t{i}").into()).collect();
    let Ok(sheet) = one_model_sheet(&names) else {
        return 0.0;
    };
    state.step(now, Event::Follow(list_event(&names)));
    for event in sheet_events(sheet::pack(&sheet)) {
        state.step(now, Event::Follow(event));
    }
    let clock = SystemClock::new();
    let mut sent = 0;
    for token in 0..DECISION_COUNT {
        let incoming = IncomingRequest {
            token,
            request: token,
            work: Work::Model("m".into()),
            team: "t".into(),
            prefix: rank::hash_key(&(token % 512).to_be_bytes()),
            guard: Guard::Repeatable,
            fingerprint: token,
            timeout: Duration::from_secs(60),
        };
        let effects = state.step(now, Event::RequestReceived(incoming));
        sent += effects
            .iter()
            .filter(|e| matches!(e, Effect::Send { .. }))
            .count();
        let outcome = Event::Outcome {
            token,
            outcome: Outcome::Ran { status: 200 },
            start_count: 1,
        };
        state.step(now, outcome);
    }
    sent as f64 / clock.now().elapsed.as_secs_f64()
}

/// Returns a sheet with one model on the instances `names`.
fn one_model_sheet(names: &[Name]) -> Result<Sheet, String> {
    let digest = "0".repeat(64);
    let list: Vec<&str> = names.iter().map(|name| &**name).collect();
    let text = format!(
        "{{version: 1, published: 2026-01-01T00:00:00Z, origin_region: r, \
         data_centres: {{a: {{region: r, state: in}}}}, \
         models: {{m: {{version: v1, manifest: '{digest}', cold_limit: 2, full_limit: 16, \
         max_out_percent: 50, instances: {{a: [{}]}}}}}}}}",
        list.join(", ")
    );
    sheet::parse(&text).map_err(|e| e.to_string())
}

/// Returns the event with a list of live instances.
fn list_event(names: &[Name]) -> FollowerEvent {
    let instances = (1..).zip(names).map(|(revision, name)| Instance {
        name: name.clone(),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "a".into(),
        role: Role::Agent,
        state: InstanceState::Live,
        revision,
    });
    FollowerEvent::PlatformList(Some(InstanceListUpdate {
        revision: names.len() as u64,
        instances: instances.collect(),
    }))
}

/// Returns the events that make a sheet active.
fn sheet_events(packed: PublishedSheet) -> Vec<FollowerEvent> {
    let index = FollowerEvent::ServiceIndex(IndexResult::Index(Bytes::from(packed.index)));
    let sections = packed.sections.into_iter();
    let sections =
        sections.map(|(digest, text)| FollowerEvent::ServiceSection(digest, Some(text.into())));
    std::iter::once(index).chain(sections).collect()
}

/// Returns the median and the 99th percentile of the latency that entry and agent add, and those of
/// the engine alone, in milliseconds.
async fn added_latency(arguments: &Arguments) -> Result<((f64, f64), (f64, f64)), String> {
    let mut layout = setup::request_layout(3, arguments.seed);
    layout.engine.time_to_first_token = Duration::ZERO;
    layout.engine.time_between_tokens = Duration::ZERO;
    let fleet = setup::start_fleet(layout).await?;
    let client = Client::new(fleet.clock().clone());
    let engines = setup::engine_addresses(&fleet);
    let entries = fleet.caller_addresses();
    let mut direct = Histogram::<u64>::new_with_max(60_000_000, 3).map_err(|e| e.to_string())?;
    let mut proxied = direct.clone();
    for number in 0..arguments.requests {
        let prompt = format!("prompt {}", number % 64);
        for (addresses, times) in [(&engines, &mut direct), (&entries, &mut proxied)] {
            let address = addresses[number % addresses.len()];
            let started = fleet.clock().now().elapsed;
            let response = client.complete(address, "head-office", &prompt, 1).await;
            response.map_err(|e| format!("{e:?}"))?;
            let latency = fleet.clock().now().elapsed - started;
            times.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }
    fleet.stop();
    let quantile_ms =
        |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    let direct_ms = (quantile_ms(&direct, 0.5), quantile_ms(&direct, 0.99));
    let added_ms = (
        quantile_ms(&proxied, 0.5) - direct_ms.0,
        quantile_ms(&proxied, 0.99) - direct_ms.1,
    );
    Ok((added_ms, direct_ms))
}
