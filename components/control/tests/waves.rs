//! Tests of the rolling update: never more targets are out of service than allowed, although status
//! replies are delayed or lost, and every target reaches the desired version.

use std::time::Duration;

use control::agent::{
    EngineState,
    ModelVersion,
    OrderOutcome,
    Rollout,
    RolloutEffect,
    RolloutOptions,
    StagedPieces, //
};
use control::PieceCheck;
use proptest::prelude::*;
use protocol::{
    Phase,
    TargetStatus, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::digest::Digest;
use utils::Name;

/// The rolling update of one target and its simulated engine.
struct Target {
    rollout: Rollout,
    version: Name,
    loads_until: Option<Duration>,
    warm_at: Duration,
    pieces_complete_at: Duration,
    paused_until: Duration,
}

/// A status reply in transit: arrival time, recipient, sender and status.
type Reply = (Duration, usize, usize, Option<TargetStatus>);

/// Targets that request the status of their predecessors over a lossy network.
struct Network {
    targets: Vec<Target>,
    replies: Vec<Reply>,
    rng: Pcg64Mcg,
    now: Duration,
    loss_rate: f64,
}

fn target_name(index: usize) -> Name {
    format!("t{index}").into()
}

fn desired_version() -> ModelVersion {
    ModelVersion {
        model: "m".into(),
        version: "v2".into(),
        manifest: Digest::ZERO,
    }
}

/// A check of the pieces that takes no time.
fn check_at(now: Duration) -> StagedPieces {
    StagedPieces {
        check: PieceCheck {
            started_at: now,
            ended_at: now,
        },
        sent_pieces: 0,
    }
}

fn network(count: usize, max_out: usize, seed: u64, loss_rate: f64) -> Network {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = (0..count).map(|index| {
        let mut rollout = Rollout::new(RolloutOptions::default());
        let predecessors = (0..index)
            .rev()
            .skip(max_out - 1)
            .step_by(max_out)
            .map(target_name);
        rollout.set_desired_version(Some(desired_version()), predecessors.collect(), 7);
        Target {
            rollout,
            version: "v1".into(),
            loads_until: None,
            warm_at: Duration::ZERO,
            pieces_complete_at: Duration::from_millis(rng.random_range(0..5000)),
            paused_until: Duration::ZERO,
        }
    });
    let targets = targets.collect();
    Network {
        targets,
        replies: Vec::new(),
        rng,
        now: Duration::ZERO,
        loss_rate,
    }
}

impl Target {
    fn is_warm(&self, now: Duration) -> bool {
        now >= self.warm_at
    }

    fn status(&self, now: Duration) -> TargetStatus {
        TargetStatus {
            workload: Some("m".into()),
            version: self.rollout.serving_version().cloned(),
            phase: self.rollout.phase(self.is_warm(now)),
            ready: self.rollout.serving_version().is_some(),
            running: 0,
            queued: 0,
            limit: 1,
        }
    }
}

impl Network {
    fn step(&mut self) {
        self.now += Duration::from_millis(100);
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|(arrives_at, ..)| *arrives_at <= now);
        self.replies = pending;
        let due: Vec<Reply> = due;
        for (_, recipient, sender, status) in due {
            self.targets[recipient]
                .rollout
                .predecessor_status(now, &target_name(sender), status);
        }
        for index in 0..self.targets.len() {
            if self.targets[index].paused_until <= now {
                self.step_target(index);
            }
        }
    }

    fn step_target(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        if target.loads_until.is_some_and(|until| until <= now) {
            target.loads_until = None;
            target.version = "v2".into();
            target.warm_at = now + Duration::from_millis(900);
        }
        let engine = EngineState {
            version: Some(target.version.clone()),
            is_loading: target.loads_until.is_some(),
            start_count: 1,
        };
        let mut effects = target.rollout.engine_reported(now, Some(engine));
        if target.pieces_complete_at <= now {
            effects.extend(target.rollout.transfer_finished(now));
        }
        effects.extend(target.rollout.tick(now, 0, true, |_| false));
        let is_warm = target.is_warm(now);
        effects.extend(target.rollout.set_warm(is_warm));
        for effect in effects {
            self.apply(index, effect);
        }
    }

    fn apply(&mut self, index: usize, effect: RolloutEffect) {
        let now = self.now;
        match effect {
            RolloutEffect::Stage(version) => {
                self.targets[index]
                    .rollout
                    .staging_finished(now, &version, Some(check_at(now)));
            }
            RolloutEffect::Order { fencing_number, .. } => {
                assert_eq!(fencing_number, 7);
                let load_time = Duration::from_millis(self.rng.random_range(100..2000));
                self.targets[index].loads_until = Some(now + load_time);
            }
            RolloutEffect::RequestStatus(name) => {
                let sender: usize = name[1..].parse().unwrap();
                let delay = Duration::from_millis(self.rng.random_range(0..800));
                let is_paused = self.targets[sender].paused_until > now;
                let is_lost = is_paused || self.rng.random_bool(self.loss_rate);
                // The reply carries the state at the time of the request and arrives later.
                let status = (!is_lost).then(|| self.targets[sender].status(now));
                self.replies.push((now + delay, index, sender, status));
            }
            RolloutEffect::EnterColdStart
            | RolloutEffect::RecordStep(..)
            | RolloutEffect::RecordLoad { .. } => {}
        }
    }

    fn out_of_service(&self) -> usize {
        let phases = self.targets.iter().map(|t| t.status(self.now).phase);
        phases
            .filter(|p| matches!(p, Phase::Draining | Phase::Loading | Phase::Cold))
            .count()
    }

    fn updated(&self) -> usize {
        let versions = self.targets.iter().map(|t| &t.version);
        versions.filter(|v| &***v == "v2").count()
    }
}

proptest! {
    #[test]
    fn out_of_service_limit_holds_and_every_target_is_updated(
        seed: u64,
        count in 1_usize..16,
        max_out in 1_usize..5,
        loss_rate in 0.0..0.3,
        pauses in prop::collection::vec(
            (any::<prop::sample::Index>(), 0_u64..20_000, 100_u64..5000),
            0..4,
        ),
    ) {
        let mut network = network(count, max_out, seed, loss_rate);
        while network.now < Duration::from_secs(180) && network.updated() < count {
            for (index, from, length) in &pauses {
                let from = Duration::from_millis(*from);
                if from <= network.now && network.now < from + Duration::from_millis(100) {
                    let until = network.now + Duration::from_millis(*length);
                    network.targets[index.index(count)].paused_until = until;
                }
            }
            network.step();
            let out = network.out_of_service();
            prop_assert!(out <= max_out, "{out} of {count} out of service, {max_out} allowed");
        }
        prop_assert_eq!(network.updated(), count);
    }
}

#[test]
fn failed_predecessor_is_skipped_after_the_failure_timeout() {
    let mut network = network(3, 1, 1, 0.0);
    network.targets[1].paused_until = Duration::from_secs(3600);
    while network.now < Duration::from_secs(60) {
        network.step();
    }
    assert_eq!(network.updated(), 2);
    assert_eq!(&*network.targets[2].version, "v2");
}

#[test]
fn only_the_initial_and_the_desired_version_are_served() {
    let mut rollout = Rollout::new(RolloutOptions::default());
    rollout.set_desired_version(Some(desired_version()), Vec::new(), 7);
    let reports = |version: &str| {
        Some(EngineState {
            version: Some(version.into()),
            is_loading: false,
            start_count: 1,
        })
    };
    let now = Duration::from_secs(1);
    rollout.engine_reported(now, reports("v1"));
    assert_eq!(rollout.serving_version().map(|v| &**v), Some("v1"));
    rollout.engine_reported(now, reports("v9"));
    assert_eq!(rollout.serving_version(), None);
    // The desired version is not served either if it was not ordered and verified.
    rollout.engine_reported(now, reports("v2"));
    assert_eq!(rollout.serving_version(), None);
    rollout.transfer_finished(now);
    rollout.staging_finished(now, &desired_version(), Some(check_at(now)));
    rollout.tick(now, 0, true, |_| false);
    let accepted = OrderOutcome::Accepted(now);
    rollout.order_finished(now, now, accepted);
    assert_eq!(rollout.serving_version(), None);
    let later = now + Duration::from_secs(3);
    rollout.engine_reported(later, reports("v2"));
    assert_eq!(rollout.serving_version().map(|v| &**v), Some("v2"));
    rollout.engine_reported(later, reports("v9"));
    assert_eq!(rollout.serving_version(), None);
    rollout.engine_reported(later, reports("v1"));
    assert_eq!(rollout.serving_version(), None);
}

/// Guards against the load of pieces that became corrupted after they were staged: while the target waits
/// for its predecessors or finishes its requests, or after an order that the engine did not accept.
#[test]
fn every_order_relies_on_a_recent_check_of_the_pieces() {
    struct Case {
        name: &'static str,
        /// How long the target waits for its predecessor, and then finishes its requests.
        waits: Duration,
        drains: Duration,
        is_order_refused: bool,
        engine_restarts: bool,
    }
    let case = |name, waits, drains| Case {
        name,
        waits: Duration::from_millis(waits),
        drains: Duration::from_millis(drains),
        is_order_refused: false,
        engine_restarts: false,
    };
    let cases = [
        case("no wait", 0, 0),
        case("waits for its predecessor", 20_000, 0),
        case("finishes its requests", 0, 20_000),
        case("both", 9000, 9000),
        Case {
            is_order_refused: true,
            ..case("the order is refused", 0, 0)
        },
        Case {
            engine_restarts: true,
            ..case("the engine restarts", 500, 0)
        },
    ];
    for case in cases {
        let mut rollout = Rollout::new(RolloutOptions::default());
        rollout.set_desired_version(Some(desired_version()), vec![target_name(0)], 7);
        let mut start_count = 1;
        let mut checked_at = Vec::new();
        let mut orders = Vec::new();
        let mut restarted_at = Duration::ZERO;
        for step in 0..500 {
            let now = Duration::from_millis(1000 + step * 100);
            let since_start = Duration::from_millis(step * 100);
            if case.engine_restarts && since_start == Duration::from_millis(300) {
                start_count += 1;
                restarted_at = now;
            }
            let engine = EngineState {
                version: Some("v1".into()),
                is_loading: false,
                start_count,
            };
            let mut effects = rollout.engine_reported(now, Some(engine));
            effects.extend(rollout.transfer_finished(now));
            let phase = if since_start >= case.waits {
                Phase::Warm
            } else {
                Phase::Loading
            };
            let status = TargetStatus {
                workload: Some("m".into()),
                version: Some("v2".into()),
                phase,
                ready: true,
                running: 0,
                queued: 0,
                limit: 1,
            };
            rollout.predecessor_status(now, &target_name(0), Some(status));
            let running = u32::from(since_start < case.waits + case.drains);
            effects.extend(rollout.tick(now, running, true, |_| false));
            for effect in effects {
                match effect {
                    RolloutEffect::Stage(version) => {
                        checked_at.push(now);
                        rollout.staging_finished(now, &version, Some(check_at(now)));
                    }
                    RolloutEffect::Order { .. } => {
                        orders.push((now, *checked_at.last().unwrap()));
                        if case.is_order_refused && orders.len() == 1 {
                            rollout.order_finished(now, now, OrderOutcome::Refused);
                        }
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(
            orders.len(),
            1 + usize::from(case.is_order_refused),
            "{}",
            case.name
        );
        for (ordered_at, checked_at) in &orders {
            let age = *ordered_at - *checked_at;
            assert!(age <= Duration::from_millis(1500), "{}: {age:?}", case.name);
            assert!(*checked_at >= restarted_at, "{}", case.name);
        }
        if let [(first, _), (_, checked_at)] = orders[..] {
            assert!(
                checked_at > first,
                "{}: checked after the refusal",
                case.name
            );
        }
    }
}

/// How long a piece may have been corrupt when the engine takes it, according to the operators' rule.
const MAX_CORRUPT_TIME: Duration = Duration::from_secs(3);

/// A target whose checks, orders and answers take time, and whose first piece becomes corrupt right after it
/// was read.
struct SlowTarget {
    rollout: Rollout,
    delays: Delays,
    now: Duration,
    version: Name,
    start_count: u64,
    /// Number of the first readings after which the piece stays sound.
    clean_readings: u32,
    corruptions: u32,
    corrupt_since: Option<Duration>,
    loads_until: Option<Duration>,
    /// Whether the weights that the engine runs, and those that it loads, were corrupt for too long.
    is_spoilt: bool,
    is_load_spoilt: bool,
    pending: Vec<(Duration, PendingEvent)>,
    orders: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
struct Delays {
    check: Duration,
    /// Until the engine decides on an order, until it answers, and for how many orders.
    acceptance: Duration,
    answer: Duration,
    orders: u32,
    /// After which time the agent gives up an order.
    give_up: Duration,
    enforces_bound: bool,
    load: Duration,
    /// The engine starts anew so long after an order was sent.
    restart_after_order: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PendingEvent {
    /// The first piece is read, in a check that follows one that sent it.
    Read {
        sent: bool,
    },
    StagingEnds {
        check: PieceCheck,
        sent: bool,
    },
    OrderDecided {
        decided_at: Duration,
        accept_until: Duration,
        answer_at: Option<Duration>,
    },
    Answer {
        decided_at: Duration,
        is_accepted: bool,
    },
    GivenUp {
        decided_at: Duration,
    },
    Restart,
}

const STEP: Duration = Duration::from_millis(50);

impl SlowTarget {
    fn new(delays: Delays, clean_readings: u32, corruptions: u32) -> Self {
        let mut rollout = Rollout::new(RolloutOptions::default());
        rollout.set_desired_version(Some(desired_version()), Vec::new(), 7);
        Self {
            rollout,
            delays,
            now: Duration::from_secs(1),
            version: "v1".into(),
            start_count: 1,
            clean_readings,
            corruptions,
            corrupt_since: None,
            loads_until: None,
            is_spoilt: false,
            is_load_spoilt: false,
            pending: Vec::new(),
            orders: 0,
        }
    }

    /// Returns whether the target serves the desired version.
    fn step(&mut self) -> bool {
        self.now += STEP;
        let now = self.now;
        if self.loads_until.is_some_and(|until| until <= now) {
            self.loads_until = None;
            self.version = "v2".into();
            self.is_spoilt = self.is_load_spoilt;
        }
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(Duration, PendingEvent)> = due;
        for (_, event) in due {
            self.handle(event);
        }
        let engine = EngineState {
            version: Some(self.version.clone()),
            is_loading: self.loads_until.is_some(),
            start_count: self.start_count,
        };
        let mut effects = self.rollout.engine_reported(now, Some(engine));
        effects.extend(self.rollout.transfer_finished(now));
        effects.extend(self.rollout.tick(now, 0, true, |_| false));
        effects.extend(self.rollout.set_warm(true));
        for effect in effects {
            match effect {
                RolloutEffect::Stage(_) => self.read_first_piece(false),
                RolloutEffect::Order {
                    decided_at,
                    accept_until,
                    ..
                } => self.send_order(decided_at, accept_until),
                _ => {}
            }
        }
        self.rollout.serving_version().is_some_and(|v| &**v == "v2")
    }

    fn read_first_piece(&mut self, sent: bool) {
        let now = self.now;
        let ends_at = now + self.delays.check;
        if self.corrupt_since.take().is_some() {
            self.pending
                .push((ends_at, PendingEvent::Read { sent: true }));
            return;
        }
        if self.clean_readings > 0 {
            self.clean_readings -= 1;
        } else if self.corruptions > 0 {
            self.corruptions -= 1;
            self.corrupt_since = Some(now);
        }
        let check = PieceCheck {
            started_at: now,
            ended_at: ends_at,
        };
        self.pending
            .push((ends_at, PendingEvent::StagingEnds { check, sent }));
    }

    fn send_order(&mut self, decided_at: Duration, accept_until: Duration) {
        let now = self.now;
        self.orders += 1;
        let is_delayed = self.orders <= self.delays.orders;
        let delay = |delay| if is_delayed { delay } else { STEP };
        let decided_in = delay(self.delays.acceptance);
        let answered_in = decided_in + delay(self.delays.answer);
        let is_given_up = answered_in > self.delays.give_up;
        let decision = PendingEvent::OrderDecided {
            decided_at,
            accept_until,
            answer_at: (!is_given_up).then_some(now + answered_in),
        };
        self.pending.push((now + decided_in, decision));
        if is_given_up {
            let given_up_at = now + self.delays.give_up;
            self.pending
                .push((given_up_at, PendingEvent::GivenUp { decided_at }));
        }
        if let Some(after) = self.delays.restart_after_order.take() {
            self.pending.push((now + after, PendingEvent::Restart));
        }
    }

    fn handle(&mut self, event: PendingEvent) {
        let now = self.now;
        match event {
            PendingEvent::Read { sent } => self.read_first_piece(sent),
            PendingEvent::StagingEnds { check, sent } => {
                let staged = StagedPieces {
                    check,
                    sent_pieces: u32::from(sent),
                };
                self.rollout
                    .staging_finished(now, &desired_version(), Some(staged));
            }
            PendingEvent::OrderDecided {
                decided_at,
                accept_until,
                answer_at,
            } => {
                let is_accepted = !self.delays.enforces_bound || now <= accept_until;
                if is_accepted {
                    let corrupt_for = self.corrupt_since.map(|since| now - since);
                    self.is_load_spoilt = corrupt_for.is_some_and(|t| t > MAX_CORRUPT_TIME);
                    self.loads_until = Some(now + self.delays.load);
                }
                if let Some(answer_at) = answer_at {
                    self.pending.push((
                        answer_at,
                        PendingEvent::Answer {
                            decided_at,
                            is_accepted,
                        },
                    ));
                }
            }
            PendingEvent::Answer {
                decided_at,
                is_accepted,
            } => {
                let outcome = if is_accepted {
                    OrderOutcome::Accepted(now)
                } else {
                    OrderOutcome::TooLate
                };
                self.rollout.order_finished(now, decided_at, outcome);
            }
            PendingEvent::GivenUp { decided_at } => {
                self.rollout
                    .order_finished(now, decided_at, OrderOutcome::NoAnswer);
            }
            PendingEvent::Restart => {
                self.start_count += 1;
                self.loads_until = None;
            }
        }
    }
}

/// Guards against tokens of weights of which a piece had been corrupt for more than 3 s when the engine took it.
/// Nobody else bounds the time between the reading of a piece and the acceptance of the order.
#[test]
fn no_target_serves_weights_that_were_corrupt_long_before_the_order_was_accepted() {
    struct Case {
        name: &'static str,
        delays: Delays,
        clean_readings: u32,
        corruptions: u32,
    }
    let ms = Duration::from_millis;
    let prompt = Delays {
        check: ms(100),
        acceptance: STEP,
        answer: STEP,
        orders: 0,
        give_up: ms(30_000),
        enforces_bound: false,
        load: ms(1000),
        restart_after_order: None,
    };
    let delayed = Delays {
        acceptance: ms(4000),
        orders: 1,
        ..prompt
    };
    let given_up = Delays {
        give_up: ms(1500),
        ..delayed
    };
    let case = |name, delays| Case {
        name,
        delays,
        clean_readings: 0,
        corruptions: 1,
    };
    let cases = [
        case("prompt", prompt),
        case(
            "a check of 4 s",
            Delays {
                check: ms(4000),
                ..prompt
            },
        ),
        Case {
            corruptions: 4,
            ..case(
                "checks of 4 s, and the piece changes in each of the first",
                Delays {
                    check: ms(4000),
                    ..prompt
                },
            )
        },
        case("accepted late", delayed),
        case(
            "accepted late, the load takes no time",
            Delays {
                load: STEP,
                ..delayed
            },
        ),
        case(
            "accepted late, with the bound",
            Delays {
                enforces_bound: true,
                ..delayed
            },
        ),
        case("given up, accepted later", given_up),
        Case {
            corruptions: 2,
            ..case("given up, accepted later, two changes", given_up)
        },
        case(
            "given up, accepted at once",
            Delays {
                acceptance: ms(50),
                answer: ms(4000),
                ..given_up
            },
        ),
        case(
            "given up, accepted long after a second order",
            Delays {
                acceptance: ms(20_000),
                ..given_up
            },
        ),
        case(
            "given up, accepted after a check that sent the piece",
            Delays {
                acceptance: ms(2700),
                ..given_up
            },
        ),
        Case {
            clean_readings: 1,
            ..case(
                "given up, accepted during the next check after its first reading",
                Delays {
                    check: ms(6000),
                    acceptance: ms(6500),
                    ..given_up
                },
            )
        },
        case(
            "answered late",
            Delays {
                acceptance: ms(50),
                answer: ms(4000),
                ..delayed
            },
        ),
        case(
            "every order is accepted late",
            Delays {
                orders: u32::MAX,
                ..delayed
            },
        ),
        case(
            "every order is accepted late, with the bound",
            Delays {
                orders: u32::MAX,
                enforces_bound: true,
                ..delayed
            },
        ),
        case(
            "the engine starts anew before it decides",
            Delays {
                restart_after_order: Some(ms(2000)),
                ..delayed
            },
        ),
        case(
            "the engine starts anew while it loads",
            Delays {
                restart_after_order: Some(ms(500)),
                ..prompt
            },
        ),
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut target = SlowTarget::new(case.delays, case.clean_readings, case.corruptions);
        let mut spoilt_steps = 0;
        let mut serves = false;
        while target.now < Duration::from_secs(120) {
            serves = target.step();
            let is_running_spoilt = target.is_spoilt && target.loads_until.is_none();
            spoilt_steps += u32::from(serves && is_running_spoilt);
        }
        if spoilt_steps > 0 || !serves {
            failures.push(format!(
                "{}: served spoilt weights in {spoilt_steps} steps, serves at last: {serves}, {} orders",
                case.name, target.orders
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
