//! The last tenant is removed, and its key goes on working.

use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::callers::{
    config,
    Callers,
    KEY, //
};
use crate::fleet::{
    Failure,
    Record, //
};
use crate::site::{
    sleep_until,
    Site, //
};
use crate::wire::name;
use crate::Verdict;

/// `revoke_timeout_ms`.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(5000);

const WORK: Duration = Duration::from_millis(15);
const PAUSE: Duration = Duration::from_millis(100);

/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "q3m8x0zr5t7w1v9y2u4p";

pub fn last_tenant(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let site = Site::start(record, WORK)?;
    let address = site.entry.callers();
    let tenant = Callers::new(KEY, "/order/1", record);
    let unknown = Callers::new(UNKNOWN_KEY, "/order/2", record);
    for _ in 0..10 {
        tenant.order(address);
        unknown.order(address);
        thread::sleep(PAUSE);
    }
    let count = |callers: &Callers, status| {
        let sent = callers.sent();
        sent.iter()
            .filter(|sent| sent.status == Some(status))
            .count()
    };
    if count(&tenant, 200) == 0 || count(&unknown, 401) == 0 {
        return Err("the keys do not decide at the beginning".into());
    }
    if has_trouble {
        site.store.put(name("config-key"), &config(5, false));
        record.line("the store has acknowledged a configuration that takes the key away: its tenant is removed");
    }
    let acknowledged_at = Instant::now();
    sleep_until(acknowledged_at + REVOKE_TIMEOUT + PAUSE);
    for _ in 0..30 {
        tenant.order(address);
        unknown.order(address);
        thread::sleep(PAUSE);
    }
    let runs = site.runs.lock().unwrap();
    let count_late = |callers: &Callers| {
        let sent = callers.sent();
        let late = sent
            .iter()
            .filter(|sent| sent.at > acknowledged_at + REVOKE_TIMEOUT);
        late.filter(|sent| runs.iter().any(|run| run.id == sent.id))
            .count()
    };
    let (revoked, unknown) = (count_late(&tenant), count_late(&unknown));
    let broken = unknown + if has_trouble { revoked } else { 0 };
    Ok(if broken == 0 {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "of 30 requests each, {revoked} with the key that was taken away and {unknown} with a key that no \
             configuration ever held ran more than {REVOKE_TIMEOUT:?} later"
        ))
    })
}
