//! The reducer that keeps an engine at the named version.

use std::time::Duration;

use control::keeper::{
    Effect,
    EngineReport,
    Event,
    Keeper,
    Wanted, //
};
use utils::digest::Digest;
use weights::{
    FailCause,
    Limits,
    Manifest,
    Member,
    Source, //
};

const CHUNKS: usize = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn manifest(version: u64) -> Manifest {
    let content: Vec<u8> = (0..40).map(|i| i + version as u8).collect();
    Manifest::of("m".into(), version.to_string().into(), &content, 10)
}

/// An agent whose effects are carried out at once by the test.
struct Agent {
    keeper: Keeper,
    now: Duration,
    /// Versions whose pieces the origin hands out.
    origin: Vec<u64>,
    /// Whether the engine keeps pieces as they are handed over.
    stages_well: bool,
    engine: EngineReport,
    /// Versions that the engine was ordered to load, and when.
    orders: Vec<(u64, Duration)>,
}

impl Agent {
    /// One of `members` agents of a data centre, the one whose turn comes at `place`.
    fn new(members: usize, running: Option<u64>) -> Self {
        let names: Vec<_> = (0..members).map(|i| format!("10.0.0.{i}:1")).collect();
        let limits = Limits {
            exchange_every: ms(50),
            rank_timeout: ms(100),
            give_up_for: ms(500),
            ..Limits::default()
        };
        let mut agent = Self {
            keeper: Keeper::new(names[0].as_str().into(), limits, false),
            now: ms(1000),
            origin: vec![1, 2, 3],
            stages_well: true,
            engine: EngineReport {
                version: running,
                is_busy: false,
            },
            orders: Vec::new(),
        };
        agent.tell(Event::Model("m".into()));
        let member = |name: &String| Member {
            name: name.as_str().into(),
            data_centre: "a".into(),
            region: "north".into(),
        };
        agent.tell(Event::Members {
            members: names.iter().map(member).collect(),
            origin_region: "north".into(),
        });
        agent
    }

    fn tell(&mut self, event: Event) {
        let effects = self.keeper.step(self.now, event);
        for effect in effects {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Transfer(wanted, weights::Effect::Fetch { piece, source, .. }) => {
                let event = self.draw(&wanted, piece, source);
                self.tell(Event::Transfer(wanted.key, event));
            }
            Effect::Transfer(wanted, weights::Effect::Exchange(name)) => {
                let event = weights::Event::Silent(name);
                self.tell(Event::Transfer(wanted.key, event));
            }
            Effect::Salvage(wanted) => self.tell(Event::Salvaged(wanted.key, Vec::new())),
            Effect::Stage(wanted) => {
                let well = self.stages_well;
                self.tell(Event::Staged(wanted.key, well));
            }
            Effect::Order(wanted) => {
                self.orders.push((wanted.version, self.now));
                self.engine.is_busy = true;
                self.tell(Event::Ordered(wanted.key, true));
            }
            _ => {}
        }
    }

    fn draw(&self, wanted: &Wanted, piece: u32, source: Source) -> weights::Event {
        let is_there = source == Source::Origin && self.origin.contains(&wanted.version);
        match piece {
            _ if !is_there => weights::Event::Failed(piece, source, FailCause::Unreachable),
            0 => weights::Event::Manifest(source, manifest(wanted.version)),
            _ => weights::Event::Chunk(piece, source),
        }
    }

    fn name(&mut self, version: u64) {
        let model = "m".into();
        let age = Some(Duration::ZERO);
        self.tell(Event::Named {
            model,
            version,
            age,
        });
    }

    /// Lets time pass; the engine answers whenever it is asked, and loads in 300 ms.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += ms(50);
            if let Some((version, at)) = self.orders.last().copied() {
                if self.engine.is_busy && self.now >= at + ms(300) {
                    self.engine = EngineReport {
                        version: Some(version),
                        is_busy: false,
                    };
                }
            }
            self.tell(Event::Engine(Some(self.engine)));
            self.tell(Event::Tick);
        }
    }

    fn ordered(&self) -> Vec<u64> {
        self.orders.iter().map(|(version, _)| *version).collect()
    }
}

#[test]
fn an_empty_engine_is_loaded_as_soon_as_its_pieces_are_there() {
    let mut agent = Agent::new(1, None);
    agent.pass(ms(600));
    assert_eq!(agent.ordered(), [1]);
    assert_eq!(agent.engine.version, Some(1));
    agent.pass(ms(2000));
    assert_eq!(agent.ordered(), [1], "no order without need");
}

#[test]
fn an_engine_that_runs_the_version_is_left_alone() {
    let mut agent = Agent::new(1, Some(1));
    agent.pass(ms(3000));
    assert!(agent.orders.is_empty());
    assert_eq!(CHUNKS, manifest(1).chunks.len());
    let key = manifest_key(1);
    assert!(agent.keeper.report(&key).is_some_and(|r| r.have.is_full()));
}

fn manifest_key(version: u64) -> Digest {
    Digest::of_parts(&[b"m", b"\0", &version.to_be_bytes()])
}

#[test]
fn a_version_is_loaded_in_turn_and_within_its_time() {
    let mut agent = Agent::new(5, Some(1));
    agent.pass(ms(1000));
    let named_at = agent.now;
    agent.name(2);
    agent.pass(ms(2500));
    assert!(agent.orders.is_empty(), "before the first turn");
    agent.pass(ms(4000));
    assert_eq!(agent.ordered(), [2]);
    let (_, at) = agent.orders[0];
    assert!(
        at >= named_at + ms(2500) && at <= named_at + ms(6300),
        "{at:?}"
    );
}

#[test]
fn the_version_before_is_loaded_while_the_newest_cannot_be_had() {
    let mut agent = Agent::new(1, Some(1));
    agent.pass(ms(1000));
    agent.name(2);
    agent.pass(ms(2000));
    // The origin goes away just before another version is named.
    agent.origin = vec![1, 2];
    agent.name(3);
    agent.pass(ms(5000));
    assert_eq!(agent.ordered(), [2]);
    agent.origin = vec![1, 2, 3];
    agent.pass(ms(1600));
    assert_eq!(agent.ordered(), [2, 3], "soon after the origin is back");
}

#[test]
fn of_versions_heard_of_together_only_the_newest_is_drawn() {
    let mut agent = Agent::new(1, Some(1));
    agent.pass(ms(1000));
    agent.origin = vec![];
    agent.name(2);
    agent.name(3);
    assert!(!agent.keeper.gathers(&manifest_key(2)));
    assert!(agent.keeper.gathers(&manifest_key(3)));
}

#[test]
fn a_newer_version_that_is_complete_goes_first() {
    let mut agent = Agent::new(1, Some(1));
    agent.pass(ms(1000));
    agent.name(2);
    agent.pass(ms(200));
    agent.name(3);
    agent.pass(ms(7000));
    assert_eq!(agent.ordered(), [3]);
}

#[test]
fn staging_that_fails_is_tried_again() {
    let mut agent = Agent::new(1, None);
    agent.stages_well = false;
    agent.pass(ms(1500));
    assert!(agent.orders.is_empty());
    agent.stages_well = true;
    agent.pass(ms(600));
    assert_eq!(agent.ordered(), [1]);
}

#[test]
fn an_engine_that_restarts_empty_is_loaded_again() {
    let mut agent = Agent::new(1, Some(1));
    agent.pass(ms(1000));
    agent.name(2);
    agent.pass(ms(7000));
    assert_eq!(agent.ordered(), [2]);
    agent.tell(Event::Engine(None));
    agent.engine = EngineReport::default();
    agent.pass(ms(500));
    assert_eq!(agent.ordered(), [2, 2]);
}

/// Each of many processes sends a cold engine little, and all together too much, unless its agent
/// counts for all of them.
#[test]
fn places_at_a_cold_engine_are_given_at_its_rate() {
    const RATE: u32 = 20;
    let mut keeper = Keeper::new("a1".into(), Limits::default(), false);
    let mut given: Vec<Duration> = Vec::new();
    for millis in 0..3000 {
        let now = Duration::from_millis(millis);
        if let (Some(number), _) = keeper.reserve(now, 100, Some(RATE)) {
            given.push(now);
            keeper.release(number);
        }
    }
    for (at, since) in given.iter().enumerate() {
        let within = |other: &&Duration| **other - *since < Duration::from_secs(1);
        let count = given[at..].iter().take_while(within).count();
        assert!(count <= RATE as usize, "{count} from {since:?}");
    }
    assert!(given.len() >= 2 * RATE as usize, "{}", given.len());
    let (number, _) = keeper.reserve(Duration::from_secs(3), 100, None);
    assert!(number.is_some(), "an engine that is not cold has no rate");
}
