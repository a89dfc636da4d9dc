//! Checks the guarantees against the observations of callers and targets.

mod lost;

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::Duration;

use tokio::time::Instant;

use crate::callers::{
    is_complete,
    LoggedRequest,
    RequestKind,
    RequestResult, //
};
use crate::environment::Environment;
use crate::standin::engine::Run;

/// How long a revoked API key may still work at any process.
const KEY_REVOCATION_TIME: Duration = Duration::from_secs(5);

/// How long after an answer that says that its target leaves a request may still reach the target.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// The statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The percentage of requests that must succeed once the system has recovered from the faults.
const MIN_SERVED_PERCENT: usize = 60;

/// Requests that are sent within this time before the end count for `MIN_SERVED_PERCENT`.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(4);

/// Lists the violations of the guarantees.
pub fn find_violations(environment: &Environment) -> Vec<String> {
    let requests = environment.requests.all();
    let runs = environment.runs.all();
    let runs_by_id = by_id(&runs);
    let mut violations = Vec::new();
    for request in &requests {
        let own_runs = runs_by_id
            .get(request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        violations.extend(check_response(request));
        violations.extend(check_runs(request, own_runs));
        violations.extend(check_key(environment, request, own_runs));
    }
    violations.extend(lost::check_lost(environment, &requests, &runs_by_id));
    violations.extend(check_leaving(environment, &requests, &runs_by_id));
    violations.extend(check_engines(environment, &runs));
    violations.extend(check_weights(environment, &runs));
    violations.extend(check_versions(environment, &runs));
    violations.extend(check_recovery(environment, &requests));
    for name in &environment.unexpected_exits {
        violations.push(format!("{name} exited unexpectedly"));
    }
    violations
}

/// The runs of each request.
fn by_id(runs: &[Run]) -> HashMap<&str, Vec<&Run>> {
    let mut runs_by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    runs_by_id
}

fn check_response(request: &LoggedRequest) -> Option<String> {
    match &request.result {
        RequestResult::Response(200, body) if !is_complete(request, body) => Some(format!(
            "the response is incomplete or belongs to another request: {request:?}"
        )),
        _ => None,
    }
}

fn check_runs(request: &LoggedRequest, runs: &[&Run]) -> Option<String> {
    if !request.kind.runs_at_most_once() {
        return None;
    }
    if runs.len() > 1 {
        return Some(format!("{} ran {} times", request.id, runs.len()));
    }
    match request.result {
        RequestResult::Response(status, _)
            if NOT_RUN_STATUSES.contains(&status) && !runs.is_empty() =>
        {
            Some(format!(
                "{} ran at {}, but its response had status {status}",
                request.id, runs[0].target
            ))
        }
        _ => None,
    }
}

fn check_key(environment: &Environment, request: &LoggedRequest, runs: &[&Run]) -> Option<String> {
    let (_, revoked_at) = environment
        .revoked_keys
        .iter()
        .find(|(key, _)| *key == request.key)?;
    let is_late = request.sent > *revoked_at + KEY_REVOCATION_TIME && !runs.is_empty();
    is_late.then(|| format!("{} ran with a key that was revoked long before", request.id))
}

/// When each entry first passed on an answer of the leaving target. A request that is not a stream may have run there
/// and have been answered by another target; then the entry has not passed on what this one said.
fn told_at(
    requests: &[LoggedRequest],
    target: &str,
    leaving_since: Instant,
    ran_there: impl Fn(&LoggedRequest) -> bool,
) -> HashMap<usize, Instant> {
    let is_from_target = |request: &&LoggedRequest| {
        let is_stream = matches!(request.kind, RequestKind::Stream | RequestKind::Talk);
        let is_answered = matches!(request.result, RequestResult::Response(200, _));
        let is_signed = request.signed_by.as_deref() == Some(target);
        is_answered
            && request.sent > leaving_since
            && ran_there(request)
            && (is_stream || is_signed)
    };
    let mut told_at: HashMap<usize, Instant> = HashMap::new();
    for request in requests.iter().filter(is_from_target) {
        let first = told_at.entry(request.entry).or_insert(request.ended);
        *first = request.ended.min(*first);
    }
    told_at
}

/// Finds requests that an entry sent to the leaving target long after it had passed on an answer that
/// says so.
fn check_leaving(
    environment: &Environment,
    requests: &[LoggedRequest],
    runs_by_id: &HashMap<&str, Vec<&Run>>,
) -> Vec<String> {
    let Some((target, leaving_since)) = &environment.leaving else {
        return Vec::new();
    };
    let ran_there = |request: &LoggedRequest| {
        let runs = runs_by_id.get(request.id.as_str());
        runs.is_some_and(|runs| runs.iter().any(|run| run.target == *target))
    };
    let told_at = told_at(requests, target, *leaving_since, ran_there);
    let is_late = |request: &&LoggedRequest| {
        let Some(told_at) = told_at.get(&request.entry) else {
            return false;
        };
        let mut disturbed = environment.disturbed_entries.iter();
        let is_excused = disturbed.any(|(entry, at)| *entry == request.entry && at > told_at);
        request.sent > *told_at + DRAIN_TIME && !is_excused && ran_there(request)
    };
    let late = requests.iter().filter(is_late);
    late.map(|request| format!("{} reached a target that leaves", request.id))
        .collect()
}

fn check_engines(environment: &Environment, runs: &[Run]) -> Vec<String> {
    let mut violations = Vec::new();
    let newest = environment.newest_version();
    let limit = environment.update_limit();
    for engine in environment.engines() {
        let id = &engine.id;
        // Pieces that became corrupt shortly before they were loaded do no harm, see `check_weights`.
        if engine.incomplete_loads > 0 && !engine.is_disturbed {
            violations.push(format!("{id} was ordered to load corrupt pieces"));
        }
        if !engine.runs_newest {
            violations.push(format!(
                "{id} runs {:?} at the end, not {newest}",
                engine.version
            ));
        }
        match engine.updated_at {
            Some(at) if at <= limit => {}
            at => violations.push(format!(
                "{id} runs {newest} {:?} after the faults, later than {:?}",
                at.map(|at| at - environment.faults_ended_at),
                limit - environment.faults_ended_at
            )),
        }
        let serves = |run: &Run| run.target == *id && run.version == newest;
        if !runs.iter().any(serves) {
            violations.push(format!("{id} has run no request on {newest}"));
        }
    }
    violations
}

/// Finds requests that ran on a layer of which a piece had been wrong for too long when the engine took it.
fn check_weights(environment: &Environment, runs: &[Run]) -> Vec<String> {
    let mut spoilt: BTreeMap<(&str, u64), Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.is_spoilt) {
        let of_version = spoilt.entry((&run.target, run.version));
        of_version.or_default().push(run);
    }
    let spoilt = spoilt.iter();
    spoilt
        .map(|((target, version), runs)| {
            let first = runs[0];
            let since = environment.faults_ended_at.checked_duration_since(first.started_at);
            format!(
                "{target} ran {} requests on spoilt layers of version {version}, first {}, {since:?} before the \
                 faults ended",
                runs.len(),
                first.id
            )
        })
        .collect()
}

/// Finds requests that began on an older version after the time that operators allow for it, which counts
/// from the end of the faults.
fn check_versions(environment: &Environment, runs: &[Run]) -> Vec<String> {
    let newest = environment.newest_version();
    let limit = environment.update_limit();
    let is_late = |run: &&Run| {
        let is_stream = ["/chat", "/talk"]
            .iter()
            .any(|path| run.path.starts_with(path));
        is_stream && run.version < newest && run.started_at > limit
    };
    let late = runs.iter().filter(is_late);
    late.map(|run| {
        format!(
            "{} began at {} on version {}, {:?} after the faults",
            run.id,
            run.target,
            run.version,
            run.started_at - environment.faults_ended_at
        )
    })
    .collect()
}

fn check_recovery(environment: &Environment, requests: &[LoggedRequest]) -> Option<String> {
    let check_start = environment.faults_ended_at + crate::RECOVERY_TIME - RECOVERY_CHECK_TIME;
    let revoked: Vec<&str> = environment
        .revoked_keys
        .iter()
        .map(|(key, _)| *key)
        .collect();
    let counted: Vec<&LoggedRequest> = requests
        .iter()
        .filter(|request| request.sent >= check_start && request.sent < environment.full_load_at)
        .filter(|request| !revoked.contains(&request.key))
        .collect();
    let served = counted
        .iter()
        .filter(|request| matches!(request.result, RequestResult::Response(200, _)));
    let served = served.count();
    let too_few = counted.is_empty() || served * 100 < counted.len() * MIN_SERVED_PERCENT;
    too_few.then(|| {
        format!(
            "only {served} of {} requests succeeded after the recovery time",
            counted.len()
        )
    })
}

/// Counts of the requests and faults, to notice a run that passes only because little happened.
pub fn summary(environment: &Environment) -> String {
    let requests = environment.requests.all();
    let served_of_kind = |kind| {
        let of_kind = requests
            .iter()
            .filter(|request: &&LoggedRequest| request.kind == kind);
        let served = of_kind
            .clone()
            .filter(|request| matches!(request.result, RequestResult::Response(200, _)));
        format!("{kind:?} {}/{}", served.count(), of_kind.count())
    };
    format!(
        "{}; served {}, {}, {}, {}; {}; {} versions named, {} keys revoked",
        environment.case_name(),
        served_of_kind(RequestKind::Stream),
        served_of_kind(RequestKind::Lookup),
        served_of_kind(RequestKind::Order),
        served_of_kind(RequestKind::Talk),
        lost::summary(environment, &requests, &by_id(&environment.runs.all())),
        environment.named_versions.len(),
        environment.revoked_keys.len()
    )
}

/// Guards against alarms for entries that dropped the answer of a leaving target (seed 710021), and against entries
/// that passed it on and are not told so.
#[test]
fn entry_is_told_that_a_target_leaves_by_the_answer_that_it_passes_on() {
    struct Case {
        name: &'static str,
        kind: RequestKind,
        status: u16,
        signed_by: Option<&'static str>,
        ran_there: bool,
        expected: bool,
    }
    let case = |name, kind, status, signed_by, ran_there, expected| Case {
        name,
        kind,
        status,
        signed_by,
        ran_there,
        expected,
    };
    use RequestKind::{
        Lookup,
        Order,
        Stream, //
    };
    let cases = [
        case("its answer", Lookup, 200, Some("d-0"), true, true),
        case(
            "its answer to an order",
            Order,
            200,
            Some("d-0"),
            true,
            true,
        ),
        case(
            "its answer was dropped",
            Lookup,
            200,
            Some("d-1"),
            true,
            false,
        ),
        case(
            "an answer of another",
            Lookup,
            200,
            Some("d-1"),
            false,
            false,
        ),
        case("a failure of the entry", Lookup, 502, None, true, false),
        case(
            "a stream that it went on with",
            Stream,
            200,
            Some("d-1"),
            true,
            true,
        ),
        case("its stream", Stream, 200, Some("d-0"), true, true),
    ];
    let began = Instant::now();
    for case in cases {
        let request = LoggedRequest {
            id: "c1-1".to_owned(),
            kind: case.kind,
            path: "/look/x",
            key: "k1",
            deadline: Duration::from_secs(3),
            sent: began + Duration::from_secs(1),
            ended: began + Duration::from_secs(2),
            entry: 4,
            idle: None,
            signed_by: case.signed_by.map(str::to_owned),
            result: RequestResult::Response(case.status, String::new()),
        };
        let told = told_at(&[request], "d-0", began, |_| case.ran_there);
        assert_eq!(told.contains_key(&4), case.expected, "{}", case.name);
    }
}
