//! Tests of the choice between data centres against the decision with constant penalties, and its
//! cost.

mod routers;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::{
    Duration,
    Instant, //
};

use control::router::config::{
    Delays,
    Service, //
};
use control::router::distance::{
    Location,
    Spillover, //
};
use control::router::learned::Terms;
use control::router::load::LoadReport;
use control::router::selection::{
    self,
    Choice,
    Requirements,
    VersionConstraint, //
};
use control::router::targets::{
    EntrySource,
    Target,
    Targets, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::Name;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Slots of a target.
const SLOTS: u32 = 12;

/// The largest allowed time of a decision with 60 targets.
const MAX_DECISION_TIME: Duration = Duration::from_micros(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Data centres `a` and `b` are in one region, `c` is in another one.
fn location() -> Location {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(dc, region)| (dc.into(), region.into()));
    Location {
        data_centre: "a".into(),
        regions: BTreeMap::from(regions),
    }
}

fn service(has_delays: bool) -> Service {
    let mut delays = Delays::default();
    if has_delays {
        delays.insert(&"a".into(), &"b".into(), Duration::from_micros(900));
        delays.insert(&"a".into(), &"c".into(), Duration::from_micros(2800));
    }
    Service {
        name: "engines".into(),
        delays,
        ..routers::engine_service()
    }
}

/// Twenty targets in each data centre, with random loads and failures.
fn targets(now: Duration, rng: &mut Pcg64Mcg) -> Targets {
    let mut targets = Targets::default();
    let utilization: f64 = rng.random_range(0.2..1.1);
    for index in 0..60 {
        let id: Name = format!("e{index}").into();
        let mut entry = routers::target(&id, "engines", DATA_CENTRES[index % 3]);
        entry.slots = Some(SLOTS);
        targets.update(now, entry, EntrySource::Target);
        let target = targets.get_mut(&id).unwrap();
        let max = (utilization * f64::from(SLOTS)) as u32;
        let report = LoadReport {
            running: rng.random_range(max / 2..=max),
            queued: 0,
            slowness_percent: None,
        };
        target.load.apply_report(now, report);
        for _ in 0..rng.random_range(0..3) {
            target.load.add_request(rng.random_range(100..4000));
        }
        let expected = ms(100);
        target.load.record_first_event(
            expected,
            expected.mul_f64(rng.random_range(0.5..4.0)),
            None,
        );
        if rng.random_bool(0.1) {
            target.health.record_failure(now);
        }
    }
    targets
}

fn requirements(service: &Service, time_left: Duration) -> Requirements<'_> {
    Requirements {
        service,
        allowed_regions: [&[], &[]],
        versions: VersionConstraint::Any,
        tried_targets: &[],
        prompt_tokens: 1200,
        time_left,
        is_overdue: false,
        claim_level: None,
        is_below_minimum: false,
        urgent_request: None,
        may_wait: ms(200),
        uses_reservations: true,
        process_count: Some(15),
        learned_capacity: Terms {
            settings: control::capacity::Settings::OFF,
            process_count: Some(15),
        },
        remote: Default::default(),
    }
}

/// The decision with constant penalties, for targets that are all eligible and warm.
fn former_choice(
    now: Duration,
    targets: &Targets,
    location: &Location,
    requirements: &Requirements<'_>,
    mut random: impl FnMut() -> f64,
) -> Choice {
    let mut best: Option<((bool, Duration), &Target)> = None;
    for target in targets.of_service("engines") {
        let requests = target.load.total_requests(now);
        let limit = selection::concurrency_limit(now, target, requirements);
        if requests + 1.0 > f64::from(limit) + 0.5 {
            continue;
        }
        let expected = selection::expected_response_time(now, target, requirements);
        let expected = expected.mul_f64(target.load.slowdown(now));
        let is_late = expected.mul_f64(1.3) > requirements.time_left;
        if is_late && requests > f64::from(SLOTS) * 0.25 {
            continue;
        }
        let data_centre = &target.entry.data_centre;
        let penalty = if *data_centre == location.data_centre {
            ms(0)
        } else if location.region_of(data_centre) == location.region_of(&location.data_centre) {
            ms(25)
        } else {
            ms(60)
        };
        let failures = ms(400).mul_f64(target.health.failure_rate());
        let score = expected + penalty + failures + ms(8).mul_f64(random());
        if best.is_none_or(|(best_score, _)| (is_late, score) < best_score) {
            best = Some(((is_late, score), target));
        }
    }
    best.map_or(Choice::Full, |(_, target)| {
        Choice::Target(target.entry.id.clone())
    })
}

fn choose(
    now: Duration,
    targets: &Targets,
    requirements: &Requirements<'_>,
    spillover: &mut Spillover,
    seed: u64,
) -> Choice {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    selection::choose(
        now,
        targets,
        &location(),
        &BTreeSet::new(),
        requirements,
        spillover,
        || rng.random(),
    )
}

/// The constant penalties must hold where the delays or recent speed reports are missing.
#[test]
fn choices_are_as_before_without_delays_or_recent_speed_reports() {
    struct Case {
        name: &'static str,
        has_delays: bool,
        /// The age of the last speed report.
        speed_report_age: Option<Duration>,
        is_as_before: bool,
    }
    let case = |name, has_delays, speed_report_age, is_as_before| Case {
        name,
        has_delays,
        speed_report_age,
        is_as_before,
    };
    let cases = [
        case("neither", false, None, true),
        case("delays alone", true, None, true),
        case("speed alone", false, Some(ms(0)), true),
        case("old speed reports", true, Some(ms(10_000)), true),
        case("both", true, Some(ms(9_999)), false),
    ];
    for case in cases {
        let service = service(case.has_delays);
        let mut differences = 0;
        for seed in 0..1000 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let now = ms(100_000);
            let targets = targets(now, &mut rng);
            let requirements = requirements(&service, ms(rng.random_range(50..600)));
            let mut spillover = Spillover::default();
            spillover.record_own(now, 1.0);
            if let Some(age) = case.speed_report_age {
                spillover.record_speed_report(now - age);
            }
            let choice = choose(now, &targets, &requirements, &mut spillover, seed);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let former = former_choice(now, &targets, &location(), &requirements, || rng.random());
            differences += u32::from(choice != former);
        }
        println!("{}: {differences} of 1000 differ", case.name);
        assert_eq!(differences == 0, case.is_as_before, "{}", case.name);
    }
}

/// A target in a data centre without a configured delay keeps its constant penalty.
#[test]
fn data_centres_without_a_delay_keep_the_constant_penalty() {
    let mut delays = Delays::default();
    delays.insert(&"a".into(), &"c".into(), ms(1));
    let service = Service {
        delays,
        ..service(false)
    };
    let now = ms(100_000);
    let mut differences = 0;
    for seed in 0..1000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut targets = targets(now, &mut rng);
        for index in (2..60).step_by(3) {
            targets.remove(now, &format!("e{index}"));
        }
        let requirements = requirements(&service, ms(400));
        let mut spillover = Spillover::default();
        spillover.record_speed_report(now);
        spillover.record_own(now, 1.0);
        // The first number decides whether the request pays, the others are those of the targets.
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut is_first = true;
        let random = || {
            if std::mem::take(&mut is_first) {
                0.0
            } else {
                rng.random()
            }
        };
        let out = BTreeSet::new();
        let choice = selection::choose(
            now,
            &targets,
            &location(),
            &out,
            &requirements,
            &mut spillover,
            random,
        );
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let former = former_choice(now, &targets, &location(), &requirements, || rng.random());
        differences += u32::from(choice != former);
    }
    assert_eq!(differences, 0);
}

/// The time of a decision, measured in release mode:
/// `cargo test --release -p control --test distance -- --ignored --nocapture`.
#[test]
#[ignore = "measures time"]
fn a_decision_takes_less_than_20_us() {
    const DECISIONS: u32 = 50_000;
    let now = ms(100_000);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let targets = targets(now, &mut rng);
    let (with_delays, without) = (service(true), service(false));
    let location = location();
    let out = BTreeSet::new();
    let mut time = |name: &str, decide: &mut dyn FnMut(&mut Pcg64Mcg) -> Choice| {
        let start = Instant::now();
        let mut sent = 0;
        for _ in 0..DECISIONS {
            sent += u32::from(std::hint::black_box(decide(&mut rng)) != Choice::Full);
        }
        let time = start.elapsed() / DECISIONS;
        println!("{name}: {time:?}, {sent} of {DECISIONS} sent");
        time
    };
    let unpriced = requirements(&without, ms(400));
    let priced = requirements(&with_delays, ms(400));
    time("former decision", &mut |rng| {
        former_choice(now, &targets, &location, &unpriced, || rng.random())
    });
    let mut spillover = Spillover::default();
    time("constant penalties", &mut |rng| {
        let spillover = &mut spillover;
        selection::choose(now, &targets, &location, &out, &unpriced, spillover, || {
            rng.random()
        })
    });
    let mut spillover = Spillover::default();
    spillover.record_speed_report(now);
    for data_centre in ["b", "c"] {
        spillover.record_other(now, &data_centre.into(), 0.5);
    }
    let priced_time = time("penalties by load", &mut |rng| {
        let spillover = &mut spillover;
        selection::choose(now, &targets, &location, &out, &priced, spillover, || {
            rng.random()
        })
    });
    assert!(priced_time < MAX_DECISION_TIME, "{priced_time:?}");
}
