//! Tests how requests are spread over data centres with uneven demand, in a simulation without a
//! network: 54 engines and 15 processes in three regions.

mod engines;

use std::sync::OnceLock;
use std::time::Duration;

use engines::{
    simulate,
    DataCentres,
    Results,
    Scenario, //
};

const COUNT: usize = 3;
const ENGINES: usize = 18 * COUNT;

/// Requests per second that the engines of one data centre answer on time. Six engines answer about
/// 48; see `admission_load.rs`.
const CAPACITY: f64 = 144.0;

const DURATION: Duration = Duration::from_secs(15);
const WINDOW: Duration = Duration::from_millis(500);
const WINDOWS: usize = (DURATION.as_millis() / WINDOW.as_millis()) as usize;

/// When the demand changes, or a data centre is taken out of service, and when this ends.
const CHANGE_FROM: Duration = Duration::from_secs(4);
const CHANGE_TO: Duration = Duration::from_secs(10);

/// Runs of each case, which differ in the seed. The shares are averages of them.
const RUNS: u64 = 12;

/// The least rate at which callers of one data centre are served on time, relative to those of the
/// best served one.
const MIN_RELATIVE_SERVICE: f64 = 0.9;

/// How long after a change of demand work is back home.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// The highest share of a data centre's requests that leave it in a window, if its work is at home.
const MAX_SHARE_HOME: f64 = 0.01;

/// The highest share of their requests that each of two data centres sends to the other in the same
/// window. At some moments all engines that a process knows of are full.
const MAX_EXCHANGED_SHARE: f64 = 0.05;

/// Smaller changes of the share sent abroad are not told from noise. It is three standard deviations
/// of the difference between two windows, with 1,000 requests each: if engines at home answer a
/// fixed number of the requests, of which the share `s` goes abroad, random arrivals let it vary by
/// `(1 - s) / sqrt(n)`, here 0.025 for `s = 0.2`.
const MIN_CHANGE: f64 = 0.1;

/// The demand of each data centre, relative to its capacity, and what changes.
#[derive(Debug)]
struct Case {
    name: &'static str,
    demand: [f64; COUNT],
    /// The data centre whose demand doubles for six seconds.
    doubled: Option<usize>,
    /// The data centre that is out of service for six seconds.
    out: Option<usize>,
    flows: OnceLock<Flows>,
}

static UNEVEN: Case = Case {
    name: "uneven",
    demand: [0.6 * 0.9, 0.9, 1.4 * 0.9],
    doubled: None,
    out: None,
    flows: OnceLock::new(),
};

static DOUBLED: Case = Case {
    name: "doubled",
    demand: [0.6; COUNT],
    doubled: Some(2),
    out: None,
    flows: OnceLock::new(),
};

static OUT: Case = Case {
    name: "out of service",
    demand: [0.55; COUNT],
    doubled: None,
    out: Some(2),
    flows: OnceLock::new(),
};

static LIGHT: Case = Case {
    name: "light",
    demand: [0.3; COUNT],
    doubled: None,
    out: None,
    flows: OnceLock::new(),
};

static EVEN: Case = Case {
    name: "even",
    demand: [0.8; COUNT],
    doubled: None,
    out: None,
    flows: OnceLock::new(),
};

impl Case {
    fn scenario(&self, seed: u64) -> Scenario {
        let change = |dc| (dc, CHANGE_FROM, CHANGE_TO);
        let us = Duration::from_micros;
        Scenario {
            engines: ENGINES,
            processes: 15,
            has_agents: true,
            callers_return: true,
            duration: DURATION,
            data_centres: DataCentres {
                demand: self.demand.map(|share| share * CAPACITY).to_vec(),
                demand_changes: self
                    .doubled
                    .map(|dc| (dc, CHANGE_FROM, CHANGE_TO, 2.0))
                    .into_iter()
                    .collect(),
                out: self.out.map(change).into_iter().collect(),
                delays: vec![(0, 1, us(900)), (1, 2, us(1900)), (0, 2, us(2800))],
                are_delays_configured: true,
                is_speed_reported: true,
            },
            seed,
            ..Scenario::default()
        }
    }

    /// The flows of all runs. The tests share them.
    fn flows(&self) -> &Flows {
        self.flows.get_or_init(|| {
            let mut flows = Flows {
                sends: [[[0.0; WINDOWS]; COUNT]; COUNT],
                requests: [0.0; COUNT],
                on_time: [0.0; COUNT],
            };
            for seed in 1..=RUNS {
                flows.add(&simulate(&self.scenario(seed)));
            }
            flows
        })
    }
}

/// Requests by their data centre, that of the engine they were sent to, and time window.
#[derive(Debug)]
struct Flows {
    sends: [[[f64; WINDOWS]; COUNT]; COUNT],
    requests: [f64; COUNT],
    on_time: [f64; COUNT],
}

impl Flows {
    fn add(&mut self, results: &Results) {
        for send in &results.sends {
            let window = (send.at.as_millis() / WINDOW.as_millis()) as usize;
            // Some callers return after the end.
            if window < WINDOWS {
                self.sends[send.process % COUNT][send.engine % COUNT][window] += 1.0;
            }
        }
        for (data_centre, _) in &results.arrivals {
            self.requests[*data_centre] += 1.0;
        }
        for (data_centre, _) in &results.arrivals_on_time {
            self.on_time[*data_centre] += 1.0;
        }
    }

    /// Requests that a data centre's processes sent in a window.
    fn sent(&self, data_centre: usize, window: usize) -> f64 {
        self.sends[data_centre].iter().map(|to| to[window]).sum()
    }

    /// The share of a data centre's requests that another one gets.
    fn share(&self, from: usize, to: usize, window: usize) -> f64 {
        self.sends[from][to][window] / self.sent(from, window).max(1.0)
    }

    /// The share of a data centre's requests that others get.
    fn share_abroad(&self, from: usize, window: usize) -> f64 {
        let others = (0..COUNT).filter(|to| *to != from);
        others.map(|to| self.share(from, to, window)).sum()
    }

    fn shares_abroad(&self, from: usize) -> Vec<f64> {
        let windows = 0..WINDOWS;
        windows
            .map(|window| self.share_abroad(from, window))
            .collect()
    }

    fn relative_service(&self) -> f64 {
        let shares = (0..COUNT).map(|dc| self.on_time[dc] / self.requests[dc]);
        let shares: Vec<f64> = shares.collect();
        let best = shares.iter().copied().fold(0.0, f64::max);
        shares.into_iter().fold(1.0, f64::min) / best
    }
}

/// How often a series changes its direction by more than `noise`.
fn direction_changes(series: &[f64], noise: f64) -> usize {
    let (mut low, mut high) = (series[0], series[0]);
    let mut is_rising = None;
    let mut changes = 0;
    for value in series {
        low = value.min(low);
        high = value.max(high);
        if is_rising != Some(true) && value - low > noise {
            changes += usize::from(is_rising.is_some());
            (is_rising, high) = (Some(true), *value);
        } else if is_rising != Some(false) && high - value > noise {
            changes += usize::from(is_rising.is_some());
            (is_rising, low) = (Some(false), *value);
        }
    }
    changes
}

fn window_at(at: Duration) -> usize {
    (at.as_millis() / WINDOW.as_millis()) as usize
}

/// A data centre with too much demand must not make its callers wait while others have room.
#[test]
fn callers_of_all_data_centres_are_served_alike() {
    for case in [&UNEVEN, &DOUBLED, &OUT] {
        let flows = case.flows();
        let relative = flows.relative_service();
        println!("{}: {relative:.4}", case.name);
        assert!(relative >= MIN_RELATIVE_SERVICE, "{} {relative}", case.name);
    }
}

/// Errors of the expected response times must not send requests away from free engines at home.
#[test]
fn no_request_leaves_its_data_centre_at_light_load() {
    let flows = LIGHT.flows();
    for data_centre in 0..COUNT {
        let shares = flows.shares_abroad(data_centre);
        assert_eq!(shares, [0.0; WINDOWS], "{data_centre}");
    }
}

/// What is remembered of a full data centre must not keep its requests away when it has room again.
#[test]
fn work_is_back_home_within_two_seconds() {
    for case in [&DOUBLED, &OUT] {
        let flows = case.flows();
        for data_centre in 0..COUNT {
            let shares = flows.shares_abroad(data_centre);
            let back = &shares[window_at(CHANGE_TO + RETURN_TIME)..];
            let highest = back.iter().copied().fold(0.0, f64::max);
            println!("{} {data_centre}: {highest:.4}", case.name);
            assert!(
                highest <= MAX_SHARE_HOME,
                "{} {data_centre} {shares:?}",
                case.name
            );
        }
    }
}

/// Processes that all act on the same utilization must not leave and return together.
#[test]
fn the_share_sent_abroad_does_not_oscillate() {
    let changes = [(&UNEVEN, 1), (&DOUBLED, 2), (&OUT, 2)];
    for (case, demand_changes) in changes {
        let flows = case.flows();
        for data_centre in 0..COUNT {
            let shares = flows.shares_abroad(data_centre);
            let count = direction_changes(&shares, MIN_CHANGE);
            let percent = shares.iter().map(|share| (share * 100.0).round());
            let percent: Vec<f64> = percent.collect();
            println!("{} {data_centre}: {count} {percent:?}", case.name);
            assert!(
                count <= demand_changes,
                "{} {data_centre} {shares:?}",
                case.name
            );
        }
    }
}

/// Two full data centres must not load the links between them with requests of each other.
#[test]
fn two_data_centres_do_not_exchange_work() {
    for case in [&UNEVEN, &DOUBLED, &OUT, &EVEN] {
        let flows = case.flows();
        let mut highest: f64 = 0.0;
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            for window in 0..WINDOWS {
                let there = flows.share(one, other, window);
                let back = flows.share(other, one, window);
                highest = highest.max(there.min(back));
            }
        }
        println!("{}: {highest:.4}", case.name);
        assert!(highest <= MAX_EXCHANGED_SHARE, "{} {highest}", case.name);
    }
}

/// Without the delays or without speed reports, nothing may change.
#[test]
fn requests_go_to_the_same_engines_without_delays_or_speed_reports() {
    let sends = |are_delays_configured, is_speed_reported| {
        let mut scenario = UNEVEN.scenario(1);
        scenario.data_centres.are_delays_configured = are_delays_configured;
        scenario.data_centres.is_speed_reported = is_speed_reported;
        let results = simulate(&scenario);
        let sends = results.sends.iter();
        let sends = sends.map(|send| (send.at, send.process, send.engine));
        sends.collect::<Vec<_>>()
    };
    let neither = sends(false, false);
    assert!(sends(true, false) == neither);
    assert!(sends(false, true) == neither);
    assert!(sends(true, true) != neither);
}
