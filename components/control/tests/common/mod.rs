//! Sheets, clocks and agents for tests of the reducers.

use std::time::{
    Duration,
    SystemTime, //
};

use bytes::Bytes;
use control::agent::{
    self,
    EngineState,
    Offered, //
};
use control::follow::{
    Answer,
    Event as FollowEvent, //
};
use protocol::{
    Guard,
    Instance,
    InstanceState,
    News,
    Role, //
};
use sheet::{
    pack,
    Sheet, //
};
use utils::clock::Now;
use utils::Name;

/// The wall time at which every test starts.
pub const START: u64 = 1_780_000_000;

/// The time so many milliseconds after the start.
pub fn at(millis: u64) -> Now {
    Now {
        elapsed: Duration::from_millis(millis),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(START) + Duration::from_millis(millis),
    }
}

/// A sheet with two data centres, a model on three targets and a service on two.
pub fn sheet(version: u64, state: &str) -> Sheet {
    let published = humantime::format_rfc3339(at(0).wall);
    let early = humantime::format_rfc3339(at(0).wall - Duration::from_secs(86_400));
    let digest = "0".repeat(64);
    let text = format!(
        "{{version: {version}, published: {published}, origin_region: r, home_horizon: 1h, \
         data_centres: {{a: {{region: r, state: in}}, b: {{region: r, state: {state}}}}}, \
         models: {{m: {{version: v1, manifest: '{digest}', cold_limit: 2, cold_time: 1s, \
         full_limit: 6, max_out_percent: 50, instances: {{a: [m1, m2], b: [m3]}}}}}}, \
         services: {{s: {{limit: 4, instances: {{a: [s1], b: [s2]}}, \
         homes: [{{from: {early}, instances: [s1, s2]}}]}}}}, \
         teams: {{large: {{share: 1}}, small: {{share: 1}}}}}}"
    );
    sheet::parse(&text).unwrap()
}

/// The events that bring a sheet into force.
pub fn sheet_events(sheet: &Sheet) -> Vec<FollowEvent> {
    let packed = pack(sheet);
    let index = FollowEvent::Index(Answer::Index(Bytes::from(packed.index)));
    let sections = packed.sections.into_iter();
    let sections = sections.map(|(d, text)| FollowEvent::Section(d, Some(text.into())));
    std::iter::once(index).chain(sections).collect()
}

/// A list of live instances.
pub fn list(names: &[&str]) -> FollowEvent {
    let instances = (1..).zip(names).map(|(revision, name)| Instance {
        name: (*name).into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "a".into(),
        role: Role::Agent,
        state: InstanceState::Live,
        revision,
    });
    FollowEvent::List(Some(News {
        revision: names.len() as u64,
        instances: instances.collect(),
    }))
}

/// What an engine says that runs `version` since its first start.
pub fn engine(version: &str, start: u64) -> EngineState {
    EngineState {
        version: Some(version.into()),
        loading: false,
        start,
    }
}

/// An agent on instance `me` at the time zero, with a sheet in force and a target that answers.
pub fn agent(me: &str, incarnation: u64, options: agent::Options, sheet: &Sheet) -> agent::State {
    let mut state = agent::State::new(me.into(), "a".into(), incarnation, options, at(0));
    state.step(at(0), agent::Event::Follow(list(&[me])));
    for event in sheet_events(sheet) {
        state.step(at(0), agent::Event::Follow(event));
    }
    state.step(at(0), agent::Event::Tick);
    state.step(at(0), agent::Event::Engine(Some(engine("v1", 1))));
    state.step(at(0), agent::Event::Tick);
    state
}

/// A request for `work` of team `large`.
pub fn offered(token: u64, work: &str, guard: Guard) -> Offered {
    Offered {
        token,
        request: token,
        work: Name::from(work),
        team: "large".into(),
        priority: 1,
        deadline: Duration::from_secs(3600),
        guard,
        fingerprint: token,
        suspect: false,
        version: None,
    }
}
