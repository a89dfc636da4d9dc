//! Planned stops of an entry that is a real process on the real clock: targets fall silent, callers read
//! slowly and use their connections until the process is gone, and the process is short of processor time.

mod kept_connections;
#[path = "soak/processes.rs"]
mod processes;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::path::PathBuf;
use std::time::Duration;

use kept_connections::{
    Caller,
    End,
    Observed,
    LOSS_SLACK,
    TIMEOUT, //
};
use nix::sys::signal::Signal;
use processes::Process;
use standin::publish::{
    publish_config_for_long_requests,
    ProcessAddresses,
    CALLERS_PORT, //
};
use standin::Store;
use tokio::task::JoinSet;
use tokio::time::{
    sleep,
    Instant, //
};

/// How long a stopped process may run on. The settings of the process name it.
const GRACE: Duration = Duration::from_secs(8);

/// A target that is still at work later than this after the stop excuses a cut request, if that was sent
/// no later than [`EXCUSED_SENDING_TIME`] after the stop.
const EXCUSED_WORK_TIME: Duration = Duration::from_millis(8000 * 5 / 6);
const EXCUSED_SENDING_TIME: Duration = Duration::from_secs(3);

const STARTUP_TIME: Duration = Duration::from_secs(2);

/// How long callers send requests before the stop.
const RUN_UP_TIME: Duration = Duration::from_millis(1500);

const CALLERS: usize = 24;

/// What happens to the process from outside while it stops.
#[derive(Clone, Copy)]
enum Disturbance {
    Nothing,
    /// It stands still for this long, this long after the stop.
    Pause {
        after: Duration,
        time: Duration,
    },
    /// It runs this percentage of each tenth of a second, from before the stop.
    Share(u32),
}

struct Case {
    name: &'static str,
    callers: &'static [Caller],
    disturbance: Disturbance,
    /// Whether a request may be cut off that its target is still at work on late in the grace, as the
    /// platform allows.
    may_outlast_grace: bool,
}

const STEADY_STREAM: Caller = Caller::new("/talk/30-100-0/");
const RESUMABLE_STREAM: Caller = Caller::new("/chat/30-100-0/");
const SHORT_STREAM: Caller = Caller::new("/talk/8-60-0/");
const SILENT_STREAM: Caller = Caller::new("/talk/8-100-2200/");
const BRIEFLY_SILENT_STREAM: Caller = Caller::new("/talk/10-100-1200/");
const BRIEFLY_SILENT_RESUMABLE: Caller = Caller::new("/chat/10-100-1200/");
const ORDER: Caller = Caller::new("/order/1-300-0/");
const SLOW_ORDER: Caller = Caller::new("/order/1-2500-0/");
/// It is complete shortly before the process closes its connections.
const LONG_ORDER: Caller = Caller {
    sending_time: Duration::from_millis(3400),
    ..Caller::new("/order/1-5900-0/")
};
const SLOWLY_READ_ORDER: Caller = Caller {
    reading_pause: Duration::from_millis(800),
    ..Caller::new("/order/6000-50-0/")
};
const SLOWLY_SENT_ORDER: Caller = Caller {
    sending_time: Duration::from_millis(2900),
    ..Caller::new("/order/1-3500-0/")
};
const SLOWLY_READ_STREAM: Caller = Caller {
    reading_pause: Duration::from_millis(700),
    ..Caller::new("/talk/30-50-0/")
};

const CASES: [Case; 9] = [
    Case {
        name: "calm",
        callers: &[SHORT_STREAM, ORDER, RESUMABLE_STREAM],
        disturbance: Disturbance::Nothing,
        may_outlast_grace: true,
    },
    Case {
        name: "targets are silent for a second or two",
        callers: &[
            SILENT_STREAM,
            BRIEFLY_SILENT_STREAM,
            BRIEFLY_SILENT_RESUMABLE,
            ORDER,
        ],
        disturbance: Disturbance::Nothing,
        may_outlast_grace: true,
    },
    Case {
        name: "callers read slowly",
        callers: &[SLOWLY_READ_ORDER, SLOWLY_READ_STREAM, SHORT_STREAM],
        disturbance: Disturbance::Nothing,
        may_outlast_grace: true,
    },
    Case {
        name: "requests come late in the grace",
        callers: &[SLOWLY_SENT_ORDER, SLOW_ORDER, STEADY_STREAM],
        disturbance: Disturbance::Nothing,
        may_outlast_grace: true,
    },
    Case {
        name: "requests take as long as the grace",
        callers: &[LONG_ORDER, SHORT_STREAM],
        disturbance: Disturbance::Nothing,
        may_outlast_grace: false,
    },
    Case {
        name: "the process stands still",
        callers: &[STEADY_STREAM, RESUMABLE_STREAM, SHORT_STREAM, SLOW_ORDER],
        disturbance: Disturbance::Pause {
            after: Duration::from_millis(600),
            time: Duration::from_millis(1700),
        },
        may_outlast_grace: true,
    },
    Case {
        name: "the process stands still as connections are closed",
        callers: &[STEADY_STREAM, RESUMABLE_STREAM, SHORT_STREAM, ORDER],
        disturbance: Disturbance::Pause {
            after: Duration::from_millis(1800),
            time: Duration::from_millis(900),
        },
        may_outlast_grace: true,
    },
    Case {
        name: "the process has an eighth of a core",
        callers: &[STEADY_STREAM, RESUMABLE_STREAM, SHORT_STREAM, ORDER],
        disturbance: Disturbance::Share(13),
        may_outlast_grace: true,
    },
    Case {
        name: "an eighth of a core, silent targets and slow callers",
        callers: &[
            BRIEFLY_SILENT_STREAM,
            BRIEFLY_SILENT_RESUMABLE,
            SLOWLY_READ_STREAM,
            SLOWLY_SENT_ORDER,
            SHORT_STREAM,
        ],
        disturbance: Disturbance::Share(13),
        may_outlast_grace: true,
    },
];

/// Guards against requests that end without an answer because their entry is stopped as planned.
#[test]
fn planned_stop_loses_no_request() {
    let cases = CASES.iter().enumerate();
    let cases: Vec<_> = cases
        .map(|(number, case)| std::thread::spawn(move || run_case(number, case)))
        .collect();
    let losses: Vec<String> = cases
        .into_iter()
        .flat_map(|case| case.join().unwrap())
        .collect();
    assert!(losses.is_empty(), "{}: {losses:#?}", losses.len());
}

/// Stops an entry twice, and returns what was lost.
#[tokio::main(flavor = "multi_thread", worker_threads = 1)]
async fn run_case(number: usize, case: &Case) -> Vec<String> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stops-{number}"));
    std::fs::create_dir_all(&folder).unwrap();
    let run = std::process::id() % 200 + 20;
    let ip = format!("127.{run}.{}.10", 210 + number);
    let store = Store::default();
    publish_config_for_long_requests(&store, 1, TIMEOUT);
    let observed = Observed::default();
    for i in 0..6 {
        let service = if i % 2 == 0 { "engines" } else { "desk" };
        observed
            .start_target(&store, &format!("i-{i}"), service)
            .await;
    }
    let addresses = ProcessAddresses {
        name: "entry".into(),
        ip: ip.clone(),
        store: store.start().await,
        engine: None,
        seeds: Vec::new(),
    };
    let mut entry = Process::start(&folder, "entry", addresses);
    let mut losses = Vec::new();
    for stop in 0..2 {
        sleep(STARTUP_TIME).await;
        observed.requests.lock().unwrap().clear();
        observed.passed_on.lock().unwrap().clear();
        let mut callers = JoinSet::new();
        for i in 0..CALLERS {
            let caller = case.callers[i % case.callers.len()];
            let address = format!("{ip}:{CALLERS_PORT}");
            callers.spawn(caller.run(i, address, observed.clone()));
        }
        sleep(RUN_UP_TIME).await;
        let (stopped_at, exited_at) = stop_entry(&mut entry, case.disturbance).await;
        while callers.join_next().await.is_some() {}
        let lost = find_losses(case, &observed, stopped_at, exited_at);
        let of_case = |loss| format!("{}, stop {stop}: {loss}", case.name);
        losses.extend(lost.into_iter().map(of_case));
        entry.restart();
    }
    losses
}

/// Stops the process, and returns when it was asked to and when it was gone. It is killed after the grace.
async fn stop_entry(entry: &mut Process, disturbance: Disturbance) -> (Instant, Instant) {
    if let Disturbance::Share(percent) = disturbance {
        run_in_shares(entry, percent, Duration::from_millis(1500)).await;
    }
    let stopped_at = Instant::now();
    entry.signal(Signal::SIGTERM);
    match disturbance {
        Disturbance::Nothing => {}
        Disturbance::Pause { after, time } => {
            sleep(after).await;
            entry.signal(Signal::SIGSTOP);
            sleep(time).await;
            entry.signal(Signal::SIGCONT);
        }
        Disturbance::Share(percent) => run_in_shares(entry, percent, GRACE).await,
    }
    while entry.exit_success().is_none() && stopped_at.elapsed() < GRACE {
        sleep(Duration::from_millis(5)).await;
    }
    if entry.exit_success().is_none() {
        entry.signal(Signal::SIGKILL);
        while entry.exit_success().is_none() {
            sleep(Duration::from_millis(5)).await;
        }
    }
    (stopped_at, Instant::now())
}

/// Lets the process run for its share of each period only, until `time` has passed or it is gone.
async fn run_in_shares(entry: &mut Process, percent: u32, time: Duration) {
    const PERIOD: Duration = Duration::from_millis(100);
    let running = PERIOD * percent / 100;
    let until = Instant::now() + time;
    while Instant::now() < until && entry.exit_success().is_none() {
        sleep(running).await;
        entry.signal(Signal::SIGSTOP);
        sleep(PERIOD - running).await;
        entry.signal(Signal::SIGCONT);
    }
}

fn find_losses(
    case: &Case,
    observed: &Observed,
    stopped_at: Instant,
    exited_at: Instant,
) -> Vec<String> {
    let requests = observed.requests.lock().unwrap();
    let passed_on = observed.passed_on.lock().unwrap();
    let served = requests.iter().filter(|r| r.end == End::Answer(200));
    let mut losses = Vec::new();
    if served.count() < CALLERS {
        losses.push(format!("only a few of {} were served", requests.len()));
    }
    for request in requests.iter() {
        let was_passed_on = passed_on.contains_key(&request.id);
        let held = request.ended_at - request.sent_at;
        let is_loss = match request.end {
            End::Answer(200) => false,
            // A failure is an answer, but none that a sound target and a planned stop call for.
            End::Answer(503) => was_passed_on,
            End::Answer(_) => held + LOSS_SLACK < TIMEOUT,
            End::Cut { has_begun } => {
                // A caller that reads late sees the end of its connection late.
                let seen_after = request.ended_at.saturating_duration_since(request.read_at);
                let crossed_the_end = !was_passed_on && !has_begun && seen_after <= LOSS_SLACK;
                let at_work_until = request.ended_at.saturating_duration_since(stopped_at);
                let is_excused = case.may_outlast_grace
                    && at_work_until >= EXCUSED_WORK_TIME
                    && request.sent_at <= stopped_at + EXCUSED_SENDING_TIME
                    && !request.path.starts_with("/order/6000");
                let timed_out = held + LOSS_SLACK >= TIMEOUT;
                !crossed_the_end && !is_excused && !timed_out
            }
            End::TimedOut => held + LOSS_SLACK < TIMEOUT,
        };
        if is_loss {
            let after_stop = request.sent_at.saturating_duration_since(stopped_at);
            losses.push(format!(
                "{} {} sent {after_stop:?} after the stop: {:?} after {held:?}, passed on: {was_passed_on}, \
                 {:?} before the exit",
                request.id,
                request.path,
                request.end,
                exited_at.saturating_duration_since(request.ended_at),
            ));
        }
    }
    losses
}
