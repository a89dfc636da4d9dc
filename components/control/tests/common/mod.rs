//! Sheets, clocks and agents for the tests of the reducers.

use std::time::{
    Duration,
    SystemTime, //
};

use bytes::Bytes;
use control::agent::{
    self,
    EngineState,
    OfferedRequest, //
};
use control::follower::{
    Event as FollowerEvent,
    IndexResult, //
};
use protocol::{
    Guard,
    Instance,
    InstanceListUpdate,
    InstanceState,
    Role, //
};
use sheet::{
    pack,
    Sheet, //
};
use utils::clock::ClockReading;
use utils::Name;

/// The wall-clock time at which every test starts, in seconds since the Unix epoch.
pub const START_SECONDS: u64 = 1_780_000_000;

/// The time `millis` milliseconds after the start of the test.
pub fn at(millis: u64) -> ClockReading {
    ClockReading {
        elapsed: Duration::from_millis(millis),
        wall_clock: SystemTime::UNIX_EPOCH
            + Duration::from_secs(START_SECONDS)
            + Duration::from_millis(millis),
    }
}

/// A sheet with two data centres, a model on three targets and a service on two targets.
pub fn sheet(version: u64, state: &str) -> Sheet {
    let published = humantime::format_rfc3339(at(0).wall_clock);
    let day_before = humantime::format_rfc3339(at(0).wall_clock - Duration::from_secs(86_400));
    let digest = "0".repeat(64);
    let text = format!(
        "{{version: {version}, published: {published}, origin_region: r, home_horizon: 1h, \
         data_centres: {{a: {{region: r, state: in}}, b: {{region: r, state: {state}}}}}, \
         models: {{m: {{version: v1, manifest: '{digest}', cold_limit: 2, cold_time: 1s, \
         full_limit: 6, max_out_percent: 50, instances: {{a: [m1, m2], b: [m3]}}}}}}, \
         services: {{s: {{limit: 4, instances: {{a: [s1], b: [s2]}}, \
         homes: [{{from: {day_before}, instances: [s1, s2]}}]}}}}, \
         teams: {{large: {{share: 1}}, small: {{share: 1}}}}}}"
    );
    sheet::parse(&text).unwrap()
}

/// The follower events after which the sheet is active.
pub fn sheet_events(sheet: &Sheet) -> Vec<FollowerEvent> {
    let packed = pack(sheet);
    let index = FollowerEvent::ServiceIndex(IndexResult::Index(Bytes::from(packed.index)));
    let sections = packed.sections.into_iter();
    let sections = sections.map(|(d, text)| FollowerEvent::ServiceSection(d, Some(text.into())));
    std::iter::once(index).chain(sections).collect()
}

/// A list of live agents in data centre `a`.
pub fn instance_list_event(names: &[&str]) -> FollowerEvent {
    let instances = (1..).zip(names).map(|(revision, name)| Instance {
        name: (*name).into(),
        address: "127.0.0.1:9".parse().unwrap(),
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

/// The state that an engine reports while it runs `version`, with its start counter.
pub fn engine(version: &str, start_count: u64) -> EngineState {
    EngineState {
        version: Some(version.into()),
        is_loading: false,
        start_count,
    }
}

/// An agent on `instance` at time zero, with an active sheet and a target that responds.
pub fn agent(
    instance: &str,
    incarnation: u64,
    options: agent::Options,
    sheet: &Sheet,
) -> agent::State {
    let mut state = agent::State::new(instance.into(), "a".into(), incarnation, options, at(0));
    state.step(
        at(0),
        agent::Event::Follow(instance_list_event(&[instance])),
    );
    for event in sheet_events(sheet) {
        state.step(at(0), agent::Event::Follow(event));
    }
    state.step(at(0), agent::Event::Tick);
    state.step(at(0), agent::Event::EngineStateRead(Some(engine("v1", 1))));
    state.step(at(0), agent::Event::Tick);
    state
}

/// A request of team `large` for `work`.
pub fn offered_request(token: u64, work: &str, guard: Guard) -> OfferedRequest {
    OfferedRequest {
        token,
        request: token,
        work: Name::from(work),
        team: "large".into(),
        priority: 1,
        deadline: Duration::from_secs(3600),
        guard,
        fingerprint: token,
        is_suspect: false,
        version: None,
    }
}
