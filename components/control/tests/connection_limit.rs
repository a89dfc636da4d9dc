//! Limits of callers' connections that change while a connection is open.

use std::time::Duration;

use control::router::config::CallerLimits;
use control::router::connection_limit::{
    Stage,
    StageLimit, //
};

const BEGAN_AT: Duration = Duration::from_secs(100);

fn limits(seconds: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout: Duration::from_secs(seconds),
        head_timeout: Duration::from_secs(seconds),
        ..CallerLimits::default()
    }
}

struct Case {
    name: &'static str,
    /// The limit when the stage begins, in seconds.
    first: u64,
    /// Later limits, and how many seconds after the start of the stage they come into force.
    changes: &'static [(u64, u64)],
    /// How many seconds after its start the stage must end.
    ends: u64,
}

/// Guards against connections that are closed at a limit that is not in force any more, or that was not in
/// force when their caller began to rely on it.
#[test]
fn connection_is_not_closed_before_the_limit_in_force() {
    let case = |name, first, changes, ends| Case {
        name,
        first,
        changes,
        ends,
    };
    let cases = [
        case("no change", 10, &[], 10),
        case("longer", 3, &[(2, 8)], 8),
        case("longer, at the last moment", 3, &[(3, 8)], 8),
        case("longer twice", 3, &[(1, 5), (4, 12)], 12),
        case("shorter, at once", 10, &[(0, 3)], 3),
        case("shorter, in the middle", 10, &[(4, 3)], 7),
        case("shorter, near the end", 10, &[(9, 3)], 10),
        case("shorter, then as before", 10, &[(4, 3), (5, 10)], 10),
        case("longer, then as before", 3, &[(1, 10), (2, 3)], 5),
        case("the same", 5, &[(1, 5), (4, 5)], 5),
    ];
    for case in cases {
        for stage in [Stage::Idle, Stage::Head] {
            let mut limit = StageLimit::new(BEGAN_AT, stage, &limits(case.first));
            for (after, seconds) in case.changes {
                limit.change(BEGAN_AT + Duration::from_secs(*after), &limits(*seconds));
            }
            let expected = BEGAN_AT + Duration::from_secs(case.ends);
            assert_eq!(limit.ends_at(), Some(expected), "{}, {stage:?}", case.name);
        }
        let mut limit = StageLimit::new(BEGAN_AT, Stage::Request, &limits(case.first));
        for (after, seconds) in case.changes {
            limit.change(BEGAN_AT + Duration::from_secs(*after), &limits(*seconds));
        }
        assert_eq!(limit.ends_at(), None, "{}", case.name);
        let limit = StageLimit::new(BEGAN_AT, Stage::Delivery, &limits(case.first));
        let expected = BEGAN_AT + Duration::from_secs(case.first.max(10));
        assert_eq!(limit.ends_at(), Some(expected), "{}", case.name);
    }
}
