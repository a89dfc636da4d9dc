//! Tests how an agent downloads the named version and updates its engine to it.

use std::time::Duration;

use control::controller::{
    Controller,
    Effect,
    EngineReport,
    Event,
    Load,
    ModelVersion,
    ReservationAnswer,
    UpdateLimits, //
};
use control::PieceCheck;
use proptest::prelude::*;
use protocol::{
    AcceptableBacklog,
    ReservationTerms, //
};
use record::{
    LoadCheck,
    OrderAnswer, //
};
use utils::digest::Digest;
use weights::{
    FailureCause,
    Limits,
    Manifest,
    Member,
    Plan,
    Source, //
};

/// The number of chunks of each version.
const CHUNKS: usize = 4;

/// The 40 bytes of a version take 2.6 s on the link.
const UPDATE_LIMITS: UpdateLimits = UpdateLimits {
    old_version_time: Duration::from_secs(7),
    download_bytes_per_second: 40.0 / 2.6,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn manifest(version: u64) -> Manifest {
    let content: Vec<u8> = (0..40).map(|i| i + version as u8).collect();
    Manifest::from_content("m".into(), version.to_string().into(), &content, 10)
}

/// An agent with simulated origin and engine. Its effects are carried out at once.
struct Agent {
    controller: Controller,
    now: Duration,
    /// The versions that the origin serves.
    origin_versions: Vec<u64>,
    /// Whether the engine holds the pieces uncorrupted after staging.
    staging_succeeds: bool,
    /// How long the check of the staged pieces takes.
    check_time: Duration,
    /// The staging in progress, with its start.
    staging: Option<(Load, Duration)>,
    engine: EngineReport,
    /// Whether the engine answers.
    is_engine_up: bool,
    /// The versions that the engine was ordered to load, with the time of each order.
    orders: Vec<(u64, Duration)>,
    /// What each order loads.
    loads: Vec<Load>,
    /// The layers of each version.
    layers: u32,
    /// When the check began that each order relies on.
    checked_at: Vec<Duration>,
    last_check_at: Duration,
    /// Until when the last order may be sent.
    order_valid_until: Duration,
    /// How long the engine takes to answer an order, and the order that is not answered yet.
    answer_time: Duration,
    unanswered_order: Option<(u64, Duration)>,
    /// Whether the engine accepts orders whose answers do not arrive.
    accepts_silently: bool,
    /// What a check of loaded pieces finds next, and how many there were.
    load_check: LoadCheck,
    load_checks: u32,
    /// The engine's answer to orders, which it accepts only if it begins to carry them out.
    order_answer: OrderAnswer,
}

impl Agent {
    /// The first of `member_count` agents of a data centre. Its engine runs version `running`.
    fn new(member_count: usize, running: Option<u64>) -> Self {
        let names: Vec<_> = (0..member_count).map(|i| format!("10.0.0.{i}:1")).collect();
        let limits = Limits {
            exchange_interval: ms(50),
            candidate_timeout: ms(100),
            give_up_duration: ms(500),
            ..Limits::default()
        };
        let controller = Controller::new(names[0].as_str().into(), limits, UPDATE_LIMITS, false);
        Self::start(controller, &names, running)
    }

    /// Starts the reducer of one of the agents `names` of a data centre.
    fn start(controller: Controller, names: &[String], running: Option<u64>) -> Self {
        let mut agent = Self {
            controller,
            now: ms(1000),
            origin_versions: vec![1, 2, 3],
            staging_succeeds: true,
            check_time: Duration::ZERO,
            staging: None,
            engine: EngineReport {
                version: running,
                ..EngineReport::default()
            },
            is_engine_up: true,
            orders: Vec::new(),
            loads: Vec::new(),
            layers: 1,
            checked_at: Vec::new(),
            last_check_at: Duration::ZERO,
            order_valid_until: Duration::ZERO,
            answer_time: Duration::ZERO,
            unanswered_order: None,
            accepts_silently: false,
            load_check: LoadCheck::Intact,
            load_checks: 0,
            order_answer: OrderAnswer::Begun,
        };
        agent.handle(Event::Model("m".into()));
        agent.handle(Event::Members {
            members: members(names),
            origin_region: "north".into(),
        });
        agent
    }

    fn handle(&mut self, event: Event) {
        let effects = self.controller.step(self.now, event);
        for effect in effects {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Transfer(model_version, weights::Effect::Fetch { piece, source, .. }) => {
                let event = self.fetch(&model_version, piece, source);
                self.handle(Event::Transfer(model_version.key, event));
            }
            Effect::Transfer(model_version, weights::Effect::Exchange(name)) => {
                let event = weights::Event::PeerUnreachable(name);
                self.handle(Event::Transfer(model_version.key, event));
            }
            Effect::CheckEngine(model_version) => {
                self.handle(Event::EngineChecked(model_version.key, Vec::new()))
            }
            Effect::Stage(load) => {
                self.staging = Some((load, self.now));
                self.finish_staging();
            }
            Effect::OrderLoad {
                number,
                load,
                valid_until,
                ..
            } => {
                self.orders.push((load.model_version.version, self.now));
                self.loads.push(load.clone());
                self.checked_at.push(self.last_check_at);
                self.order_valid_until = valid_until;
                self.engine.is_busy =
                    self.order_answer == OrderAnswer::Begun || self.accepts_silently;
                self.unanswered_order = Some((number, self.now + self.answer_time));
                self.answer_order();
            }
            Effect::CheckLoaded(load) => {
                self.load_checks += 1;
                // Pieces that are staged again are intact, and later orders are answered at once.
                let result = std::mem::replace(&mut self.load_check, LoadCheck::Intact);
                self.order_answer = OrderAnswer::Begun;
                self.answer_time = Duration::ZERO;
                self.handle(Event::LoadChecked {
                    load,
                    started_at: self.now,
                    result,
                });
            }
            _ => {}
        }
    }

    /// Answers the order once the answer has taken its time.
    fn answer_order(&mut self) {
        let now = self.now;
        let order = self.unanswered_order.take_if(|(_, at)| now >= *at);
        if let Some((number, _)) = order {
            self.handle(Event::OrderAnswered(number, self.order_answer));
        }
    }

    /// Ends the staging in progress once its check has taken its time.
    fn finish_staging(&mut self) {
        let check_time = self.check_time;
        let is_due = |(_, started_at): &mut (_, Duration)| self.now >= *started_at + check_time;
        let Some((load, started_at)) = self.staging.take_if(is_due) else {
            return;
        };
        self.last_check_at = started_at;
        let check = PieceCheck {
            started_at,
            ended_at: self.now,
        };
        let check = self.staging_succeeds.then_some(check);
        self.handle(Event::Staged {
            load,
            check,
            written: 0,
        });
    }

    fn fetch(&self, model_version: &ModelVersion, piece: u32, source: Source) -> weights::Event {
        let is_available =
            source == Source::Origin && self.origin_versions.contains(&model_version.version);
        match piece {
            _ if !is_available => {
                weights::Event::FetchFailed(piece, source, FailureCause::Unreachable)
            }
            0 => weights::Event::ManifestReceived(source, manifest(model_version.version)),
            _ => weights::Event::ChunkReceived(piece, source),
        }
    }

    /// Sets the number of layers of all versions, which the engine holds.
    fn set_layers(&mut self, layers: u32) {
        self.layers = layers;
        self.engine.layers = Some(layers);
    }

    fn name_version(&mut self, version: u64) {
        self.name_version_published_at(version, self.now);
    }

    fn name_version_published_at(&mut self, version: u64, published_at: Duration) {
        self.handle(Event::VersionNamed {
            model: "m".into(),
            version,
            age: Some(Duration::ZERO),
            published_after: Some(published_at),
        });
    }

    /// An entry's report on a version that was published `age` ago, if that is known.
    fn version_named(&self, version: u64, age: Option<Duration>) -> Event {
        Event::VersionNamed {
            model: "m".into(),
            version,
            age,
            published_after: age.map(|age| self.now - age),
        }
    }

    /// Receives all pieces of a version at once.
    fn receive_all(&mut self, version: u64) {
        self.receive(version, &[1, 2, 3, 4]);
    }

    /// Receives these chunks of a version, and its manifest.
    fn receive(&mut self, version: u64, chunks: &[u32]) {
        let key = version_key(version);
        let manifest = Manifest {
            layers: self.layers,
            ..manifest(version)
        };
        let manifest = weights::Event::ManifestReceived(Source::Origin, manifest);
        self.handle(Event::Transfer(key, manifest));
        for piece in chunks {
            let chunk = weights::Event::ChunkReceived(*piece, Source::Origin);
            self.handle(Event::Transfer(key, chunk));
        }
    }

    /// Advances the clock in steps of 50 ms. The engine reports at each step and loads a version in
    /// 300 ms.
    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += ms(50);
            if let Some((version, ordered_at)) = self.orders.last().copied() {
                if self.engine.is_busy && self.now >= ordered_at + ms(300) {
                    // With a single layer it runs nothing.
                    let is_whole = self.loads.last().is_some_and(|l| l.layer.is_none());
                    self.engine = EngineReport {
                        version: Some(version).filter(|_| is_whole),
                        partial_version: Some(version).filter(|_| !is_whole),
                        layers: Some(if is_whole { self.layers } else { 1 }),
                        first_layer: self.loads.last().and_then(|l| l.layer),
                        ..EngineReport::default()
                    };
                }
            }
            self.answer_order();
            self.finish_staging();
            self.handle(Event::Engine(self.is_engine_up.then_some(self.engine)));
            self.handle(Event::Tick);
        }
    }

    fn ordered_versions(&self) -> Vec<u64> {
        self.orders.iter().map(|(version, _)| *version).collect()
    }
}

#[test]
fn an_empty_engine_is_loaded_as_soon_as_its_pieces_are_complete() {
    let mut agent = Agent::new(1, None);
    agent.advance(ms(600));
    assert_eq!(agent.ordered_versions(), [1]);
    assert_eq!(agent.engine.version, Some(1));
    agent.advance(ms(2000));
    assert_eq!(
        agent.ordered_versions(),
        [1],
        "no second order for the running version"
    );
}

#[test]
fn an_engine_that_runs_the_version_gets_no_order() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(3000));
    assert!(agent.orders.is_empty());
    assert_eq!(CHUNKS, manifest(1).chunks.len());
    let key = version_key(1);
    assert!(agent
        .controller
        .report(&key)
        .is_some_and(|r| r.held_pieces.is_full()));
}

fn version_key(version: u64) -> Digest {
    Digest::of_parts(&[b"m", b"\0", &version.to_be_bytes()])
}

#[test]
fn a_version_is_loaded_at_the_scheduled_time() {
    let mut agent = Agent::new(5, Some(1));
    agent.advance(ms(1000));
    let named_at = agent.now;
    agent.name_version(2);
    agent.advance(ms(2500));
    assert!(
        agent.orders.is_empty(),
        "no order before the first update time"
    );
    agent.advance(ms(4000));
    assert_eq!(agent.ordered_versions(), [2]);
    let (_, ordered_at) = agent.orders[0];
    assert!(
        ordered_at >= named_at + ms(2500) && ordered_at <= named_at + ms(6300),
        "{ordered_at:?}"
    );
}

#[test]
fn the_previous_version_is_loaded_while_the_newest_is_unavailable() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(1000));
    agent.name_version(2);
    agent.advance(ms(2000));
    // Simulates an origin that becomes unavailable just before the next version is named.
    agent.origin_versions = vec![1, 2];
    agent.name_version(3);
    agent.advance(ms(5000));
    assert_eq!(agent.ordered_versions(), [2]);
    agent.origin_versions = vec![1, 2, 3];
    agent.advance(ms(1600));
    assert_eq!(
        agent.ordered_versions(),
        [2, 3],
        "soon after the origin is back"
    );
}

#[test]
fn only_the_newest_of_versions_named_together_is_downloaded() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(1000));
    agent.origin_versions = vec![];
    agent.name_version(2);
    agent.name_version(3);
    assert!(!agent.controller.is_downloading(&version_key(2)));
    assert!(agent.controller.is_downloading(&version_key(3)));
}

/// Guards against an engine that keeps a version beyond its time, since its agent counts from the
/// publication of the newest one, and against a download that starts again.
#[test]
fn an_older_version_that_becomes_known_moves_only_the_schedule() {
    struct Case {
        name: &'static str,
        /// How long ago version 2 was published, if an entry reports that.
        reported: Option<Duration>,
        /// When the engine is ordered to load version 3, after that was named.
        ordered_after: Duration,
        ordered_within: Duration,
    }
    let cases = [
        Case {
            name: "an older version with a bound",
            reported: Some(ms(4000)),
            ordered_after: ms(300),
            ordered_within: ms(1000),
        },
        Case {
            name: "an older version without a bound",
            reported: None,
            ordered_after: ms(2600),
            ordered_within: ms(3200),
        },
    ];
    for case in cases {
        let mut agent = Agent::new(1, Some(1));
        agent.advance(ms(5000));
        agent.name_version(3);
        agent.advance(ms(300));
        let named_at = agent.now - ms(300);
        let event = agent.version_named(2, case.reported);
        let effects = agent.controller.step(agent.now, event);
        let is_read_again = effects.iter().any(|e| matches!(e, Effect::ReadMembers));
        assert!(!is_read_again, "{}", case.name);
        let is_transfer =
            |e: &Effect| matches!(e, Effect::Transfer(..) | Effect::RetainVersions(_));
        assert!(
            !effects.iter().any(is_transfer),
            "{}: {effects:?}",
            case.name
        );
        assert!(agent.controller.is_downloading(&version_key(3)));
        assert!(!agent.controller.is_downloading(&version_key(2)));
        effects.into_iter().for_each(|effect| agent.apply(effect));
        agent.advance(ms(9000));
        assert_eq!(agent.ordered_versions(), [3], "{}", case.name);
        let after = agent.orders[0].1 - named_at;
        let is_in_time = (case.ordered_after..=case.ordered_within).contains(&after);
        assert!(is_in_time, "{}: {after:?}", case.name);
    }
}

#[test]
fn a_complete_newer_version_replaces_the_previous_one() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(1000));
    agent.name_version(2);
    agent.advance(ms(200));
    agent.name_version(3);
    agent.advance(ms(7000));
    assert_eq!(agent.ordered_versions(), [3]);
}

#[test]
fn failed_staging_is_retried() {
    let mut agent = Agent::new(1, None);
    agent.staging_succeeds = false;
    agent.advance(ms(1500));
    assert!(agent.orders.is_empty());
    agent.staging_succeeds = true;
    agent.advance(ms(600));
    assert_eq!(agent.ordered_versions(), [1]);
}

#[test]
fn an_engine_that_restarts_empty_is_loaded_again() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(1000));
    agent.name_version(2);
    agent.advance(ms(7000));
    assert_eq!(agent.ordered_versions(), [2]);
    agent.handle(Event::Engine(None));
    agent.engine = EngineReport::default();
    agent.advance(ms(500));
    assert_eq!(agent.ordered_versions(), [2, 2]);
}

/// Guards against the load of pieces that became corrupted after they were staged, since the engine loads what
/// it holds when it accepts the order. Operators allow for corruption in the last 3 s before that, and an
/// order may be on its way for 1.5 s.
#[test]
fn every_order_relies_on_a_recent_check_of_the_pieces() {
    struct Case {
        name: &'static str,
        check_time: Duration,
        /// What happens 3.2 s after the version was named, when its pieces are staged.
        disruption: fn(&mut Agent),
        /// Until when after the naming the order is expected.
        ordered_within: Duration,
    }
    let within_schedule = ms(7100);
    let cases = [
        Case {
            name: "the engine waits for its turn",
            check_time: ms(0),
            disruption: |_| {},
            ordered_within: within_schedule,
        },
        Case {
            name: "a check takes its time",
            check_time: ms(600),
            disruption: |_| {},
            ordered_within: within_schedule,
        },
        Case {
            name: "the process stands still for 2.5 s",
            check_time: ms(100),
            disruption: |agent| agent.now += ms(2500),
            ordered_within: within_schedule,
        },
        Case {
            name: "the process stands still beyond the update time",
            check_time: ms(100),
            disruption: |agent| agent.now += ms(4500),
            ordered_within: ms(8400),
        },
        Case {
            name: "the process stands still while prompts are prefilled before the order",
            check_time: ms(100),
            disruption: |agent| {
                agent.advance(ms(3750));
                let reserved = reserve(
                    &mut agent.controller,
                    agent.now,
                    &ReservationTerms::default(),
                );
                assert!(reserved.is_some());
                agent.advance(ms(100));
                assert!(agent.controller.status().is_switching);
                agent.now += ms(3000);
            },
            ordered_within: ms(10_800),
        },
        Case {
            name: "the engine restarts without weights",
            check_time: ms(100),
            disruption: |agent| {
                agent.engine.version = None;
            },
            ordered_within: ms(4000),
        },
        Case {
            name: "the engine does not answer for a second",
            check_time: ms(100),
            disruption: |agent| {
                agent.is_engine_up = false;
                agent.advance(ms(1000));
                agent.is_engine_up = true;
            },
            ordered_within: within_schedule,
        },
    ];
    for case in cases {
        let mut agent = agent_of_rank(4, 5, UPDATE_LIMITS);
        agent.check_time = case.check_time;
        agent.advance(ms(500));
        let named_at = agent.now;
        agent.name_version(2);
        agent.receive_all(2);
        agent.advance(ms(3200));
        assert!(agent.orders.is_empty(), "{}", case.name);
        let (had_weights, was_down) = (agent.engine.version.is_some(), agent.now);
        (case.disruption)(&mut agent);
        let has_lost_weights = had_weights && agent.engine.version.is_none();
        agent.advance(ms(11_000));
        assert_eq!(agent.ordered_versions(), [2], "{}", case.name);
        let (_, ordered_at) = agent.orders[0];
        let age = ordered_at - agent.checked_at[0];
        assert!(age <= ms(1500), "{}: a check {age:?} old", case.name);
        assert!(
            agent.order_valid_until <= agent.checked_at[0] + ms(1500),
            "{}",
            case.name
        );
        if has_lost_weights {
            assert!(agent.checked_at[0] > was_down, "{}", case.name);
        }
        let after = ordered_at - named_at;
        assert!(after <= case.ordered_within, "{}: {after:?}", case.name);
    }
}

/// Guards against an update that never ends because its pieces take longer to check than a check counts.
#[test]
fn engine_whose_check_takes_long_is_updated() {
    let mut agent = Agent::new(1, Some(1));
    agent.check_time = ms(2000);
    agent.advance(ms(1000));
    agent.name_version(2);
    agent.advance(ms(9000));
    assert_eq!(agent.ordered_versions(), [2]);
}

/// Guards against tokens of pieces that changed after they were read: nothing bounds when an engine accepts an order.
#[test]
fn weights_loaded_on_an_old_check_are_used_only_if_their_pieces_are_still_intact() {
    struct Case {
        name: &'static str,
        check_time: Duration,
        answer_time: Duration,
        answer: OrderAnswer,
        found: LoadCheck,
        checks: u32,
        /// The layers of the orders.
        layers: &'static [Option<u32>],
    }
    let case = Case {
        name: "the check is short and the order is answered at once",
        check_time: ms(100),
        answer_time: ms(0),
        answer: OrderAnswer::Begun,
        found: LoadCheck::Intact,
        checks: 0,
        layers: &[None],
    };
    let cases = [
        Case {
            name: "the check takes long",
            check_time: ms(2600),
            checks: 1,
            ..case
        },
        Case {
            name: "the check takes long, and a piece changed",
            check_time: ms(2600),
            found: LoadCheck::Changed,
            // The check of a single layer takes as long here, so each load is checked.
            checks: 3,
            layers: &[None, Some(1), Some(2), None],
            ..case
        },
        Case {
            name: "the order is answered late",
            answer_time: ms(2500),
            checks: 1,
            ..case
        },
        Case {
            name: "the order is answered late, and the check and the answer together take too long",
            check_time: ms(1400),
            answer_time: ms(1200),
            checks: 1,
            ..case
        },
        Case {
            name: "the order is not answered",
            answer_time: ms(1500),
            answer: OrderAnswer::Missing,
            checks: 1,
            ..case
        },
        Case {
            name: "the order is not answered, and a piece changed",
            answer_time: ms(1500),
            answer: OrderAnswer::Missing,
            found: LoadCheck::Changed,
            checks: 1,
            layers: &[None, Some(1), Some(2), None],
            ..case
        },
        case,
    ];
    for case in cases {
        let mut agent = Agent::new(1, Some(1));
        agent.advance(ms(1000));
        agent.set_layers(4);
        agent.check_time = case.check_time;
        agent.answer_time = case.answer_time;
        agent.order_answer = case.answer;
        agent.accepts_silently = true;
        agent.load_check = case.found;
        agent.name_version(2);
        agent.receive_all(2);
        while agent.loads.is_empty() {
            agent.advance(ms(50));
        }
        let mut was_used_unchecked = false;
        for _ in 0..400 {
            agent.advance(ms(50));
            let status = agent.controller.status();
            let is_used = status.version == Some(2) && !status.is_switching;
            was_used_unchecked |= is_used && agent.load_checks < case.checks;
        }
        let layers: Vec<Option<u32>> = agent.loads.iter().map(|load| load.layer).collect();
        assert_eq!(layers, case.layers, "{}", case.name);
        assert_eq!(agent.load_checks, case.checks, "{}", case.name);
        assert!(!was_used_unchecked, "{}", case.name);
        let status = agent.controller.status();
        assert_eq!(status.version, Some(2), "{}", case.name);
        assert!(!status.is_switching, "{}", case.name);
    }
}

/// Guards against tokens of corrupt weights that an engine loaded for an earlier process of its agent: that process
/// ended before it could check them.
#[test]
fn weights_that_an_earlier_process_had_loaded_are_checked() {
    struct Case {
        name: &'static str,
        /// What the engine runs at the first report of the new process.
        first: Option<u64>,
        /// Whether the engine is seen to carry out an order later.
        is_seen_busy: bool,
    }
    let cases = [
        Case {
            name: "the engine accepts the order later",
            first: Some(1),
            is_seen_busy: true,
        },
        Case {
            name: "the engine accepts the order later and loads between two reports",
            first: Some(1),
            is_seen_busy: false,
        },
        Case {
            name: "the engine has no weights, and accepts the order later",
            first: None,
            is_seen_busy: true,
        },
        Case {
            name: "the engine has carried out the order",
            first: Some(2),
            is_seen_busy: false,
        },
    ];
    let mut unchecked = Vec::new();
    for case in cases {
        let mut agent = Agent::new(1, case.first);
        agent.origin_versions.clear();
        agent.set_layers(4);
        agent.name_version(2);
        agent.advance(ms(100));
        agent.engine.is_busy = case.is_seen_busy;
        agent.advance(ms(50));
        agent.engine.is_busy = false;
        agent.engine.version = Some(2);
        agent.advance(ms(50));
        let status = agent.controller.status();
        if agent.load_checks == 0 && !status.is_switching {
            unchecked.push(case.name);
        }
    }
    assert_eq!(unchecked, [""; 0]);
}

/// Guards against tokens of a corrupt first version, which an engine that was added loaded by an order of an
/// earlier process of its agent.
#[test]
fn first_version_is_checked_if_the_engine_loaded_it_by_an_order() {
    struct Case {
        name: &'static str,
        /// The orders that the engine has accepted at the first report of the new process.
        sequence: Option<u64>,
        load_check: LoadCheck,
        /// Whether the version is used at the first report, and after a while.
        is_used_at_once: bool,
        is_used_later: bool,
        checks: u32,
        is_reloaded: bool,
    }
    let cases = [
        Case {
            name: "held from the start of the engine",
            sequence: Some(0),
            load_check: LoadCheck::Changed,
            is_used_at_once: true,
            is_used_later: true,
            checks: 0,
            is_reloaded: false,
        },
        Case {
            name: "held by an engine that counts no orders",
            sequence: None,
            load_check: LoadCheck::Changed,
            is_used_at_once: true,
            is_used_later: true,
            checks: 0,
            is_reloaded: false,
        },
        Case {
            name: "loaded from intact pieces",
            sequence: Some(1),
            load_check: LoadCheck::Intact,
            is_used_at_once: false,
            is_used_later: true,
            checks: 1,
            is_reloaded: false,
        },
        Case {
            name: "loaded from changed pieces",
            sequence: Some(3),
            load_check: LoadCheck::Changed,
            is_used_at_once: false,
            is_used_later: true,
            checks: 1,
            is_reloaded: true,
        },
    ];
    for case in cases {
        let mut agent = Agent::new(1, Some(1));
        agent.set_layers(4);
        agent.engine.sequence = case.sequence;
        agent.load_check = case.load_check;
        let first = agent.engine;
        agent.handle(Event::Engine(Some(first)));
        let is_used = !agent.controller.status().is_switching;
        assert_eq!(is_used, case.is_used_at_once, "{}", case.name);
        agent.receive_all(1);
        agent.advance(ms(2000));
        let is_used = !agent.controller.status().is_switching;
        assert_eq!(is_used, case.is_used_later, "{}, later", case.name);
        assert_eq!(agent.load_checks, case.checks, "{}", case.name);
        let orders = agent.ordered_versions();
        assert!(orders.iter().all(|version| *version == 1), "{}", case.name);
        assert_eq!(!orders.is_empty(), case.is_reloaded, "{}", case.name);
    }
}

/// Guards against requests that an agent admits before it can check what its engine loaded.
#[test]
fn weights_are_not_used_before_the_model_is_known_for_their_check() {
    let mut controller =
        Controller::new("10.0.0.0:1".into(), Limits::default(), UPDATE_LIMITS, false);
    let report = EngineReport {
        version: Some(2),
        ..EngineReport::default()
    };
    controller.step(ms(1000), Event::Engine(Some(report)));
    assert!(controller.status().is_switching);
}

/// Guards against engines that stay out of service after they loaded pieces that had changed.
#[test]
fn engine_with_few_layers_returns_after_it_loaded_changed_pieces() {
    let mut out = Vec::new();
    for layers in 1..5 {
        let mut agent = Agent::new(1, Some(1));
        agent.advance(ms(1000));
        agent.set_layers(layers);
        agent.answer_time = ms(1500);
        agent.order_answer = OrderAnswer::Missing;
        agent.accepts_silently = true;
        agent.load_check = LoadCheck::Changed;
        agent.name_version(2);
        agent.receive_all(2);
        agent.advance(Duration::from_secs(120));
        let status = agent.controller.status();
        if status.version != Some(2) || status.is_switching {
            out.push((layers, status, agent.loads.len()));
        }
    }
    assert!(out.is_empty(), "{out:?}");
}

/// Guards against a wait for peers or for a version that nobody holds: all agents but this one have dropped the version
/// before, and the origin may have done so.
#[test]
fn engine_with_one_layer_goes_back_to_the_version_before() {
    struct Case {
        name: &'static str,
        /// The agents of the data centre.
        member_count: usize,
        /// The versions that the origin serves after the load of version 2.
        origin_versions: &'static [u64],
        /// Whether version 3 is named a minute later.
        is_newer_named: bool,
        /// The versions that the engine is ordered to load.
        orders: &'static [u64],
    }
    let case = Case {
        name: "alone",
        member_count: 1,
        origin_versions: &[1],
        is_newer_named: false,
        orders: &[2, 1, 2],
    };
    let cases = [
        Case {
            name: "one of many agents",
            member_count: 12,
            ..case
        },
        Case {
            name: "a newer version is named later",
            origin_versions: &[1, 2, 3],
            is_newer_named: true,
            orders: &[2, 1, 2, 3],
            ..case
        },
        Case {
            name: "the origin has dropped the version before",
            origin_versions: &[2, 3],
            is_newer_named: true,
            orders: &[2, 3],
            ..case
        },
        case,
    ];
    for case in cases {
        let mut agent = agent_of_rank(0, case.member_count, UPDATE_LIMITS);
        agent.set_layers(1);
        agent.advance(ms(1000));
        agent.answer_time = ms(1500);
        agent.order_answer = OrderAnswer::Missing;
        agent.accepts_silently = true;
        agent.load_check = LoadCheck::Changed;
        agent.origin_versions = case.origin_versions.to_vec();
        agent.name_version(2);
        agent.receive_all(2);
        agent.advance(ms(60_000));
        if case.is_newer_named {
            agent.name_version(3);
            agent.receive_all(3);
            agent.advance(ms(30_000));
        }
        assert_eq!(agent.ordered_versions(), case.orders, "{}", case.name);
        assert!(agent.loads.iter().all(|load| load.layer.is_none()));
        let status = agent.controller.status();
        let newest = case.orders.last().copied();
        assert_eq!(status.version, newest, "{}", case.name);
        assert!(!status.is_switching, "{}", case.name);
    }
}

/// Guards against requests that are on their way when the time of their version ends, and begin on it.
#[test]
fn engine_runs_nothing_on_a_version_whose_time_is_over() {
    struct Case {
        name: &'static str,
        /// The chunks of version 2 that arrive at once; the others arrive after this time.
        chunks: &'static [u32],
        others_after: Duration,
        /// How long before it learned of the version the agent believes it was published.
        bound_distance: Duration,
        /// The layers of the orders, and when the first one is expected after the naming.
        layers: &'static [Option<u32>],
        first_within: (Duration, Duration),
    }
    let never = ms(60_000);
    let case = Case {
        name: "",
        chunks: &[],
        others_after: never,
        bound_distance: ms(0),
        layers: &[],
        first_within: (ms(0), never),
    };
    let cases = [
        Case {
            name: "half of the pieces do not arrive",
            chunks: &[3, 4],
            layers: &[Some(1)],
            first_within: (ms(7000), ms(7600)),
            ..case
        },
        Case {
            name: "they arrive after that",
            chunks: &[1, 3, 4],
            others_after: ms(8500),
            layers: &[Some(1), None],
            first_within: (ms(7000), ms(7600)),
            ..case
        },
        Case {
            name: "they arrive in time",
            chunks: &[3, 4],
            others_after: ms(6000),
            layers: &[None],
            first_within: (ms(6000), ms(7500)),
            ..case
        },
        Case {
            name: "no layer arrives but the first one",
            chunks: &[1, 2, 3],
            layers: &[Some(1)],
            first_within: (ms(7000), ms(7600)),
            ..case
        },
        Case {
            name: "no layer arrives in time",
            others_after: ms(8500),
            layers: &[Some(1), None],
            first_within: (ms(7000), ms(7600)),
            ..case
        },
        Case {
            name: "an agent that was told late hears a closer bound",
            chunks: &[3, 4],
            bound_distance: ms(9000),
            layers: &[Some(1)],
            first_within: (ms(7000), ms(7600)),
            ..case
        },
    ];
    for case in cases {
        let mut agent = Agent::new(1, Some(1));
        agent.advance(ms(10_000));
        agent.set_layers(2);
        agent.origin_versions = vec![];
        let named_at = agent.now;
        agent.name_version_published_at(2, named_at - case.bound_distance);
        agent.receive(2, case.chunks);
        agent.advance(ms(500));
        agent.name_version_published_at(2, named_at);
        let arrival = case.others_after.min(ms(9000));
        agent.advance(arrival - ms(500));
        if case.others_after == arrival {
            agent.receive(2, &[1, 2, 3, 4]);
        }
        agent.advance(ms(3000));
        let layers: Vec<Option<u32>> = agent.loads.iter().map(|load| load.layer).collect();
        assert_eq!(layers, case.layers, "{}", case.name);
        if let Some((_, ordered_at)) = agent.orders.first() {
            let (from, until) = case.first_within;
            let after = *ordered_at - named_at;
            assert!(from <= after && after <= until, "{}: {after:?}", case.name);
        }
    }
}

/// Guards against a second order, and against an engine that stays out of service, if the load of one layer
/// ends before any report shows it, or a report from before it arrives late.
#[test]
fn end_of_the_load_of_one_layer_is_recognised() {
    let mut agent = Agent::new(1, Some(1));
    agent.advance(ms(10_000));
    agent.set_layers(2);
    agent.origin_versions = vec![];
    agent.name_version(2);
    agent.receive(2, &[3, 4]);
    while agent.orders.is_empty() {
        agent.advance(ms(50));
    }
    let before = EngineReport {
        version: Some(1),
        layers: Some(2),
        ..EngineReport::default()
    };
    agent.handle(Event::Engine(Some(before)));
    agent.handle(Event::Engine(Some(before)));
    agent.engine = EngineReport {
        partial_version: Some(2),
        layers: Some(1),
        ..EngineReport::default()
    };
    agent.advance(ms(100));
    agent.receive(2, &[1, 2]);
    agent.advance(ms(200));
    let layers: Vec<Option<u32>> = agent.loads.iter().map(|load| load.layer).collect();
    assert_eq!(layers, [Some(1), None]);
}

/// Guards against tokens of a layer that was kept without a check: an agent that restarts finds it, and may know
/// only the version before.
#[test]
fn version_is_not_completed_from_an_unverified_layer() {
    let mut agent = Agent::new(1, None);
    agent.engine = EngineReport {
        partial_version: Some(1),
        layers: Some(1),
        ..EngineReport::default()
    };
    agent.handle(Event::Engine(Some(agent.engine)));
    agent.advance(ms(3000));
    assert!(agent.orders.is_empty());
    agent.name_version(2);
    agent.advance(ms(500));
    assert_eq!(agent.ordered_versions(), [2]);
}

/// Guards against requests that begin on the version before while the last engines wait for a turn that is
/// counted from when their agents heard of the version.
#[test]
fn last_engine_is_updated_in_time_if_its_agent_learns_late_of_the_version() {
    let mut agent = agent_of_rank(4, 5, UPDATE_LIMITS);
    agent.advance(ms(10_000));
    let published_at = agent.now - ms(3000);
    agent.name_version_published_at(2, published_at);
    agent.receive_all(2);
    agent.advance(ms(7000));
    assert_eq!(agent.ordered_versions(), [2]);
    let ordered_after = agent.orders[0].1 - published_at;
    assert!(ordered_after <= ms(7500), "{ordered_after:?}");
}

/// Guards against the load of pieces that changed between a refused order and the next one.
#[test]
fn order_that_was_not_answered_is_repeated_after_another_check() {
    let mut agent = Agent::new(1, None);
    agent.order_answer = OrderAnswer::Missing;
    while agent.orders.is_empty() {
        agent.advance(ms(50));
    }
    agent.order_answer = OrderAnswer::Begun;
    agent.orders.clear();
    agent.checked_at.clear();
    let refused_at = agent.now;
    agent.advance(ms(600));
    assert_eq!(agent.ordered_versions(), [1]);
    assert!(agent.checked_at[0] > refused_at);
}

/// Requests a reservation for a prompt of 100 tokens. Returns its number if it was made.
fn reserve(controller: &mut Controller, now: Duration, terms: &ReservationTerms) -> Option<u64> {
    match controller.request(now, 100, terms) {
        ReservationAnswer::Reserved(reserved) => Some(reserved.number),
        ReservationAnswer::Waiting(_) | ReservationAnswer::Refused => None,
    }
}

/// Guards against overload of a cold engine by many processes that each send few requests. The
/// agent therefore counts the reservations of all processes.
#[test]
fn reservations_at_a_cold_engine_stay_within_its_rate() {
    const RATE: u32 = 20;
    let limits = ReservationTerms {
        cold_rate_per_second: Some(RATE),
        ..ReservationTerms::default()
    };
    let mut controller = Controller::new("a1".into(), Limits::default(), UPDATE_LIMITS, false);
    let mut reserved_at: Vec<Duration> = Vec::new();
    for millis in 0..3000 {
        let now = Duration::from_millis(millis);
        if let Some(number) = reserve(&mut controller, now, &limits) {
            reserved_at.push(now);
            controller.release(number);
        }
    }
    for (index, start) in reserved_at.iter().enumerate() {
        let is_in_window = |other: &&Duration| **other - *start < Duration::from_secs(1);
        let count = reserved_at[index..].iter().take_while(is_in_window).count();
        assert!(count <= RATE as usize, "{count} from {start:?}");
    }
    assert!(
        reserved_at.len() >= 2 * RATE as usize,
        "{}",
        reserved_at.len()
    );
    let number = reserve(
        &mut controller,
        Duration::from_secs(3),
        &ReservationTerms::default(),
    );
    assert!(
        number.is_some(),
        "an engine that is not cold has no rate limit"
    );
}

/// A reservation that its process would not use must neither be made nor count towards the rate.
#[test]
fn no_reservation_is_made_beyond_the_acceptable_backlog() {
    struct Case {
        name: &'static str,
        acceptable: AcceptableBacklog,
        is_granted: bool,
    }
    // Two requests of 100 prompt tokens each are ahead.
    let cases = [
        Case {
            name: "just acceptable",
            acceptable: AcceptableBacklog {
                requests: 2,
                unprefilled_tokens: 200,
                requests_if_late: 0,
            },
            is_granted: true,
        },
        Case {
            name: "too many requests",
            acceptable: AcceptableBacklog {
                requests: 1,
                unprefilled_tokens: 1000,
                requests_if_late: 1,
            },
            is_granted: false,
        },
        Case {
            name: "too many prompt tokens",
            acceptable: AcceptableBacklog {
                requests: 8,
                unprefilled_tokens: 199,
                requests_if_late: 1,
            },
            is_granted: false,
        },
        Case {
            name: "late, but the engine is hardly used",
            acceptable: AcceptableBacklog {
                requests: 8,
                unprefilled_tokens: 0,
                requests_if_late: 2,
            },
            is_granted: true,
        },
    ];
    for case in cases {
        const RATE: u32 = 3;
        let mut controller = Controller::new("a1".into(), Limits::default(), UPDATE_LIMITS, false);
        let limits = |acceptable| ReservationTerms {
            cold_rate_per_second: Some(RATE),
            acceptable,
            ..ReservationTerms::default()
        };
        for _ in 0..2 {
            let number = reserve(&mut controller, ms(0), &limits(AcceptableBacklog::ANY));
            assert!(number.is_some(), "{}", case.name);
        }
        for _ in 0..RATE {
            let number = reserve(&mut controller, ms(1), &limits(case.acceptable));
            assert_eq!(number.is_some(), case.is_granted, "{}", case.name);
            if let Some(number) = number {
                controller.release(number);
                break;
            }
        }
        if !case.is_granted {
            let number = reserve(&mut controller, ms(2), &limits(AcceptableBacklog::ANY));
            assert!(number.is_some(), "{}: the rate is not used up", case.name);
        }
    }
}

/// The agents of data centre `a`.
fn members(names: &[String]) -> Vec<Member> {
    let member = |name: &String| Member {
        name: name.as_str().into(),
        data_centre: "a".into(),
        region: "north".into(),
    };
    names.iter().map(member).collect()
}

/// The agent that is the one of this rank when a data centre of `count` agents updates to version 2.
fn agent_of_rank(rank: usize, count: usize, limits: UpdateLimits) -> Agent {
    let names: Vec<String> = (0..count)
        .map(|i| format!("10.0.{}.{}:1", i / 250, i % 250))
        .collect();
    let plan = Plan::from_members(version_key(2), "north".into(), members(&names), &names[0]);
    let name = plan.unwrap().data_centre_peers(&names[0])[rank].clone();
    let controller = Controller::new(name, Limits::default(), limits, false);
    Agent::start(controller, &names, Some(1))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Whatever the time for the old version, the size of the weights and the number of engines, the
    /// engines of a data centre load in the order of their ranks, none before it can hold the
    /// weights, and none later than requests are sent to the old version, unless it got the weights
    /// later.
    #[test]
    fn engines_load_in_rank_order_within_the_time_for_the_old_version(
        old_version_ms in 2000u64..60_000,
        download_ms in 50u64..40_000,
        count in 1usize..100,
        ranks in prop::collection::btree_set(0usize..100, 4),
    ) {
        let limits = UpdateLimits {
            old_version_time: ms(old_version_ms),
            download_bytes_per_second: 40.0 * 1000.0 / download_ms as f64,
        };
        let window_ends = old_version_ms.max(download_ms);
        let mut last_order = ms(0);
        for rank in ranks.into_iter().filter(|rank| *rank < count) {
            let mut agent = agent_of_rank(rank, count, limits);
            agent.advance(ms(500));
            let named_at = agent.now;
            agent.name_version(2);
            agent.receive_all(2);
            agent.advance(ms(window_ends + 1000));
            prop_assert_eq!(agent.ordered_versions(), [2]);
            let ordered_at = agent.orders[0].1 - named_at;
            prop_assert!(ordered_at >= ms(download_ms.min(old_version_ms)));
            prop_assert!(ordered_at <= ms(old_version_ms + 100), "{:?}", ordered_at);
            prop_assert!(ordered_at >= last_order);
            last_order = ordered_at;
        }
    }
}
