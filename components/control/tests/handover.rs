//! A silent target whose answer another target is asked to go on with, until one of them sends something.

mod routers;

use std::time::Duration;

use control::grace::Grace;
use control::router::{
    Effect,
    Event,
    Options,
    Outcome,
    Sending,
    State, //
};
use routers::{
    clock,
    config_of_both_services,
    options,
    request,
    target,
    AMPLE_RETRIES, //
};
use utils::Name;

const START: Duration = Duration::from_secs(10);

const TOKEN: u64 = 1;

/// What happens after a target of the stream fell silent.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Another target is asked.
    Ask,
    /// The exchange with the present target ends.
    Ended(Outcome),
    /// The silent target goes on.
    Spoke,
    /// The exchange with the silent target ends: it is lost, or another one has begun.
    SilentEnded(Outcome),
    /// The stream ends as a whole.
    Completed,
    CallerLeaves,
    /// The silent target is taken off the list.
    SilentUnlisted,
    /// The deadline of the request passes.
    Deadline,
}

/// What the task of the request is told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// To send the request to another target.
    Forward,
    /// To go on with the silent target.
    Keep,
    Reject,
    Nothing,
}

struct Case {
    name: &'static str,
    engines: usize,
    steps: &'static [(Step, Told)],
    /// Requests at the silent target and at all others in the end.
    load: (u32, u32),
    is_pending: bool,
}

const LOST: Outcome = Outcome::Broken {
    connection_lost: true,
};

const CASES: [Case; 16] = [
    Case {
        name: "the other is asked",
        engines: 2,
        steps: &[(Step::Ask, Told::Forward)],
        load: (1, 1),
        is_pending: true,
    },
    Case {
        name: "nobody else",
        engines: 1,
        steps: &[(Step::Ask, Told::Keep)],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other is full",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::Busy), Told::Keep),
        ],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other has another version",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::WrongVersion), Told::Keep),
        ],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other cannot be reached",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::NotSent), Told::Keep),
        ],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other is silent too",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::IdleTimeout), Told::Keep),
        ],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other breaks off, a third one is asked",
        engines: 3,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(LOST), Told::Forward),
        ],
        load: (1, 1),
        is_pending: true,
    },
    Case {
        name: "kept, then asked again for the last attempt, then whole",
        engines: 3,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Spoke, Told::Nothing),
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::Busy), Told::Keep),
            (Step::Ask, Told::Keep),
            (Step::Completed, Told::Nothing),
        ],
        load: (0, 0),
        is_pending: false,
    },
    Case {
        name: "the silent one goes on first",
        engines: 2,
        steps: &[(Step::Ask, Told::Forward), (Step::Spoke, Told::Nothing)],
        load: (1, 0),
        is_pending: true,
    },
    Case {
        name: "the other begins first",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::SilentEnded(Outcome::IdleTimeout), Told::Nothing),
        ],
        load: (0, 1),
        is_pending: true,
    },
    Case {
        name: "the other begins first and ends",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::SilentEnded(Outcome::IdleTimeout), Told::Nothing),
            (Step::Completed, Told::Nothing),
        ],
        load: (0, 0),
        is_pending: false,
    },
    Case {
        name: "the silent one is lost, the other refuses",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::SilentEnded(LOST), Told::Nothing),
            (Step::Ended(Outcome::Busy), Told::Reject),
        ],
        load: (0, 0),
        is_pending: false,
    },
    Case {
        name: "the caller leaves",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::CallerLeaves, Told::Nothing),
        ],
        load: (0, 0),
        is_pending: false,
    },
    Case {
        name: "the silent one is taken off the list, the other refuses",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::SilentUnlisted, Told::Nothing),
            (Step::Ended(Outcome::Busy), Told::Keep),
        ],
        load: (0, 0),
        is_pending: true,
    },
    Case {
        name: "the deadline passes",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Deadline, Told::Nothing),
            (Step::Ended(Outcome::DeadlineExceeded), Told::Reject),
        ],
        load: (0, 0),
        is_pending: false,
    },
    Case {
        name: "the process ends",
        engines: 2,
        steps: &[
            (Step::Ask, Told::Forward),
            (Step::Ended(Outcome::DeadlineExceeded), Told::Keep),
            (Step::Ended(Outcome::DeadlineExceeded), Told::Reject),
        ],
        load: (0, 0),
        is_pending: false,
    },
];

/// Guards against streams that are cut, requests that stay for ever and targets that look busy, because another
/// target was asked to go on with an answer.
#[test]
fn silent_target_is_left_only_when_another_has_begun() {
    for case in CASES {
        let mut now = START;
        let mut state = router(case.engines);
        let received = Event::RequestReceived(request(TOKEN, "/chat/"));
        let effects = state.step(clock(now), received);
        let silent = forwarded_to(&effects).expect(case.name);
        begin_answer(&mut state, now);
        now += Duration::from_millis(1500);
        for (number, (step, told)) in case.steps.iter().enumerate() {
            if matches!(step, Step::Deadline) {
                now += Duration::from_secs(10);
            }
            let effects = event(*step, &silent).map(|event| state.step(clock(now), event));
            let effects = effects.unwrap_or_default();
            assert_eq!(
                last_told(&effects),
                *told,
                "{}, step {number}: {effects:?}",
                case.name
            );
        }
        let load_of = |is_silent: bool| -> u32 {
            let targets = state.targets().iter();
            let targets = targets.filter(|target| (target.entry.id == silent) == is_silent);
            targets.map(|target| target.load.own_requests()).sum()
        };
        assert_eq!((load_of(true), load_of(false)), case.load, "{}", case.name);
        let pending = state.summary(now).pending_requests;
        assert_eq!(pending, usize::from(case.is_pending), "{}", case.name);
        assert_eq!(state.summary(now).queued_requests, 0, "{}", case.name);
    }
}

fn router(engines: usize) -> State {
    let mut state = State::new(Options {
        uses_reservations: false,
        ..options(AMPLE_RETRIES, 1)
    });
    state.step(clock(START), Event::ConfigRead(config_of_both_services()));
    state.step(clock(START), Event::ConfigConfirmed(START));
    for number in 0..engines {
        let entry = target(&format!("e{number}"), "engines", "a");
        let reported = Event::EngineReported {
            id: entry.id.clone(),
            version: Some(1),
            is_switching: false,
            process_count: 1,
        };
        state.step(clock(START), Event::TargetListed(entry));
        state.step(clock(START), reported);
    }
    state
}

fn begin_answer(state: &mut State, now: Duration) {
    let head = Event::ResponseHead {
        token: TOKEN,
        load: None,
        cold_remaining: None,
        version: Some(1),
        notice: None,
    };
    state.step(clock(now), head);
    state.step(clock(now), Event::ResponseStarted(TOKEN));
}

fn event(step: Step, silent: &Name) -> Option<Event> {
    let (token, sending, longest_pause) = (TOKEN, Sending::default(), Duration::ZERO);
    let ended = |outcome| Event::ExchangeEnded {
        token,
        outcome,
        longest_pause,
        sending,
    };
    let event = match step {
        Step::Ask => Event::AskAnotherTarget(token),
        Step::Ended(outcome) => ended(outcome),
        Step::Spoke => Event::SilentTargetSpoke { token, sending },
        Step::SilentEnded(outcome) => Event::SilentTargetEnded {
            token,
            outcome,
            longest_pause,
            sending,
        },
        Step::Completed => ended(Outcome::Answered { is_error: false }),
        Step::CallerLeaves => Event::CallerDisconnected(token),
        Step::SilentUnlisted => Event::TargetUnlisted {
            id: silent.clone(),
            grace: Grace::NONE,
        },
        Step::Deadline => return None,
    };
    Some(event)
}

fn forwarded_to(effects: &[Effect]) -> Option<Name> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward(TOKEN, forward) => Some(forward.target.clone()),
        _ => None,
    })
}

fn last_told(effects: &[Effect]) -> Told {
    let mut told = effects.iter().filter_map(|effect| match effect {
        Effect::Forward(TOKEN, _) => Some(Told::Forward),
        Effect::KeepTarget(TOKEN) => Some(Told::Keep),
        Effect::Reject(TOKEN, _) => Some(Told::Reject),
        _ => None,
    });
    told.next_back().unwrap_or(Told::Nothing)
}
