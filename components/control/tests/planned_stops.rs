//! What an entry does with requests before a planned stop.

mod routers;

use std::time::Duration;

use control::router::{
    Effect,
    Event,
    Options,
    Outcome,
    RejectionReason,
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

const START: Duration = Duration::from_secs(10);

/// The time from SIGTERM until requests are cut off.
const GRACE: Duration = Duration::from_millis(7400);

fn router() -> State {
    let mut state = State::new(Options {
        uses_reservations: false,
        ..options(AMPLE_RETRIES, 1)
    });
    state.step(clock(START), Event::ConfigRead(config_of_both_services()));
    state.step(clock(START), Event::TargetListed(target("d1", "desk", "a")));
    state
}

fn is_sent(effects: &[Effect]) -> bool {
    let mut effects = effects.iter();
    effects.any(|effect| matches!(effect, Effect::Forward(..)))
}

/// Serves a request that takes this long.
fn serve(state: &mut State, now: Duration, time: Duration) {
    assert!(is_sent(
        &state.step(clock(now), Event::RequestReceived(request(1, "/look/")))
    ));
    let event = Event::ExchangeEnded {
        token: 1,
        outcome: Outcome::Answered { is_error: false },
        longest_pause: Duration::ZERO,
        sending: Sending::default(),
    };
    state.step(clock(now + time), event);
}

/// Guards against requests that are taken before a planned stop and cut off at its end. Those that cannot end in
/// time are rejected at once, so that their callers find another process.
#[test]
fn request_is_taken_before_a_stop_only_if_it_ends_in_time() {
    struct Case {
        name: &'static str,
        /// The caller's timeout; that of the route is 6 s.
        timeout: Option<Duration>,
        /// How long an earlier request of the route took.
        longest_answer: Option<Duration>,
        /// When the request comes, after SIGTERM.
        after: Duration,
        is_served: bool,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case {
            name: "its timeout ends before the stop",
            timeout: None,
            longest_answer: None,
            after: ms(1100),
            is_served: true,
        },
        Case {
            name: "it may take longer, and nothing is known",
            timeout: None,
            longest_answer: None,
            after: ms(1300),
            is_served: false,
        },
        Case {
            name: "answers are quick",
            timeout: None,
            longest_answer: Some(ms(900)),
            after: ms(2100),
            is_served: true,
        },
        Case {
            name: "answers are slow",
            timeout: None,
            longest_answer: Some(ms(5500)),
            after: ms(2100),
            is_served: false,
        },
        Case {
            name: "late in the grace, short timeout",
            timeout: Some(ms(600)),
            longest_answer: None,
            after: ms(6500),
            is_served: true,
        },
        Case {
            name: "late in the grace, quick answers",
            timeout: None,
            longest_answer: Some(ms(900)),
            after: ms(6500),
            is_served: false,
        },
    ];
    for case in cases {
        let mut state = router();
        let mut now = START;
        state.step(clock(now), Event::ConfigConfirmed(now));
        if let Some(time) = case.longest_answer {
            serve(&mut state, now, time);
            now += time;
        }
        let ends_at = now + GRACE;
        state.step(clock(now), Event::DrainRequested { ends_at });
        now += case.after;
        state.step(clock(now), Event::ConfigConfirmed(now));
        let mut late = request(2, "/look/");
        late.timeout = case.timeout;
        let effects = state.step(clock(now), Event::RequestReceived(late));
        assert_eq!(is_sent(&effects), case.is_served, "{}", case.name);
        let rejection = effects.iter().find_map(|effect| match effect {
            Effect::Reject(2, rejection) => Some(rejection),
            _ => None,
        });
        if let Some(rejection) = rejection {
            assert_eq!(rejection.reason, RejectionReason::Stopping);
            assert!(rejection.not_run, "{}", case.name);
            assert!(rejection.retry_after.is_some(), "{}", case.name);
        }
        assert_eq!(rejection.is_none(), case.is_served, "{}", case.name);
    }
}
