//! Gauges of the learned limits of targets.

use control::capacity::{
    Cause,
    LimitStatus, //
};
use utils::Name;

/// Sets the gauges of one target.
pub(crate) fn update_gauges(target: &Name, status: &LimitStatus) {
    let label = || target.to_string();
    metrics::gauge!("medlarproxy_learned_limit", "target" => label()).set(status.limit);
    metrics::gauge!("medlarproxy_learned_limit_age_seconds", "target" => label())
        .set(status.age.as_secs_f64());
    for cause in Cause::ALL {
        let is_current = f64::from(u8::from(cause == status.cause));
        let gauge = metrics::gauge!(
            "medlarproxy_learned_limit_cause",
            "target" => label(),
            "cause" => cause.as_str()
        );
        gauge.set(is_current);
    }
}

/// Sets the gauges of a target whose limit is no longer known: a limit that is not a number, like the
/// other gauges, which keep their labels until the process ends.
pub(crate) fn clear_gauges(target: &Name) {
    let label = || target.to_string();
    metrics::gauge!("medlarproxy_learned_limit", "target" => label()).set(f64::NAN);
    metrics::gauge!("medlarproxy_learned_limit_age_seconds", "target" => label()).set(f64::NAN);
    for cause in Cause::ALL {
        let gauge = metrics::gauge!(
            "medlarproxy_learned_limit_cause",
            "target" => label(),
            "cause" => cause.as_str()
        );
        gauge.set(0.0);
    }
}
