//! The store comes back from a copy, which has what was taken away since.

use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::callers::{
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
use crate::Verdict;

/// `drain_timeout_ms` and `touch_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
const TOUCH_TIME: Duration = Duration::from_millis(3000);

/// The store removes an entry after three heartbeat intervals of silence.
const EXPIRY: Duration = Duration::from_millis(3600);

/// How long the store is away in the drill, and how old its copy is when it comes back.
const AWAY: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_millis(5000);

/// How long an engine works on an order, and how soon after the last orders come the one that has left exits. The
/// sheet has orders of 15 ms in the mean and 110 ms at most.
const WORK: Duration = Duration::from_millis(40);
const EXIT_TIME: Duration = Duration::from_millis(25);

/// The store goes away and comes back from its copy.
fn drill(site: &Site, record: &Record) {
    site.store.set_away(true);
    record.line("drill: the store is away");
    thread::sleep(AWAY);
    site.store.restore();
    site.store.set_away(false);
    record.line("drill: the store is back from its copy, and has not got what was written since");
}

/// An engine that has left, and serves on for a while, is named by the copy.
pub fn leaving_engine(record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let site = Site::start(record, WORK)?;
    let callers = Callers::new(KEY, "/order/1", record);
    let address = site.entry.callers();
    callers.order_for(address, Duration::from_secs(4), Duration::from_millis(40));
    site.store.take_copy();
    record.line("the store's copy is taken");
    let copied_at = Instant::now();
    // Clients are quiet around the moment, so that no answer tells the entry that the engine leaves.
    thread::sleep(Duration::from_millis(500));
    let leaving = &site.engines[0];
    leaving.leave(&site.store);
    let left_at = Instant::now();
    record.line("i-0 leaves without a report: the store has acknowledged that its entry is gone");
    thread::sleep(Duration::from_millis(1000));
    callers.order_for(
        address,
        Duration::from_millis(500),
        Duration::from_millis(40),
    );
    // A quiet time of the clients.
    sleep_until(copied_at + COPY_AGE - AWAY);
    if has_trouble {
        drill(&site, record);
    } else {
        thread::sleep(AWAY);
    }
    let back_at = Instant::now();
    sleep_until(back_at + TOUCH_TIME + Duration::from_millis(150));
    record.line("the store has been without disruption for touch_ms: the entry is in touch");
    let burst_at = Instant::now();
    let (exiting, exit_record) = (leaving.clone(), record.clone());
    thread::spawn(move || {
        sleep_until(burst_at + EXIT_TIME);
        exiting.exit();
        exit_record.line("i-0 exits");
    });
    callers.order_at_once(address, 12)?;
    sleep_until(back_at + EXPIRY);
    leaving.remove_entry(&site.store);
    record.line("the entry of i-0 has expired, as i-0 does not write it");
    thread::sleep(Duration::from_millis(500));
    let served = callers
        .sent()
        .iter()
        .filter(|sent| sent.status == Some(200))
        .count();
    if served * 2 < callers.sent().len() {
        return Err("most requests were not served".into());
    }
    let runs = site.runs.lock().unwrap();
    let late = runs.iter().filter(|run| {
        run.engine == leaving.id() && run.at > left_at + DRAIN_TIMEOUT && run.at >= burst_at
    });
    let ids: Vec<&str> = late.map(|run| run.id.as_str()).collect();
    let sent = callers.sent();
    let is_lost = |id: &&&str| sent.iter().any(|s| s.id == **id && s.status != Some(200));
    let lost = ids.iter().filter(is_lost).count();
    Ok(if ids.is_empty() {
        Verdict::Held
    } else {
        let after = burst_at - left_at;
        Verdict::Broken(format!(
            "{} requests reached i-0 {after:?} after it left, {lost} of them were lost as it exited: {ids:?}",
            ids.len()
        ))
    })
}
