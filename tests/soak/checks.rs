//! The promises, from what callers and targets saw.

use std::collections::HashMap;
use std::time::Duration;

use crate::callers::{
    is_whole,
    Got,
    Kind,
    Try, //
};
use crate::standin::engine::Run;
use crate::world::World;

/// How long a key may work after it was taken away, at any process.
const KEY_REMOVAL: Duration = Duration::from_secs(5);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The share of requests that must be served once everything is calm, in percent.
const SERVED_PERCENT: usize = 60;

/// How long before the end requests count as sent in calm.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Lists the promises that were broken.
pub fn check(world: &World) -> Vec<String> {
    let tries = world.tries.all();
    let runs = world.runs.all();
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut broken = Vec::new();
    for one in &tries {
        let ran = by_id.get(one.id.as_str()).map_or(&[][..], Vec::as_slice);
        broken.extend(check_answer(one));
        broken.extend(check_runs(one, ran));
        broken.extend(check_key(world, one, ran));
    }
    broken.extend(check_engines(world));
    broken.extend(check_recovery(world, &tries));
    for name in &world.own_ends {
        broken.push(format!("{name} ended by itself"));
    }
    broken
}

fn check_answer(one: &Try) -> Option<String> {
    match &one.got {
        Got::Answer(200, body) if !is_whole(one, body) => {
            Some(format!("{one:?} is no whole answer to its request"))
        }
        _ => None,
    }
}

fn check_runs(one: &Try, ran: &[&Run]) -> Option<String> {
    if one.kind != Kind::Order {
        return None;
    }
    if ran.len() > 1 {
        return Some(format!("{} ran {} times", one.id, ran.len()));
    }
    match one.got {
        Got::Answer(status, _) if PROMISES.contains(&status) && !ran.is_empty() => Some(format!(
            "{} ran at {}, and got {status}",
            one.id, ran[0].target
        )),
        _ => None,
    }
}

fn check_key(world: &World, one: &Try, ran: &[&Run]) -> Option<String> {
    let (_, revoked_at) = world.revoked.iter().find(|(key, _)| *key == one.key)?;
    let late = one.sent > *revoked_at + KEY_REMOVAL && !ran.is_empty();
    late.then(|| format!("{} ran with a key that was taken away long before", one.id))
}

fn check_engines(world: &World) -> Vec<String> {
    let mut broken = Vec::new();
    for (id, version, incomplete_loads) in world.engines() {
        if incomplete_loads > 0 {
            broken.push(format!("{id} was ordered to load spoilt pieces"));
        }
        let newest = world.named.last().map_or(1, |(version, _)| *version);
        if version != Some(newest) {
            broken.push(format!("{id} runs {version:?} at the end, not {newest}"));
        }
    }
    broken
}

fn check_recovery(world: &World, tries: &[Try]) -> Option<String> {
    let from = world.calm_at + crate::RECOVERY - CALM_TIME;
    let revoked: Vec<&str> = world.revoked.iter().map(|(key, _)| *key).collect();
    let calm: Vec<&Try> = tries
        .iter()
        .filter(|one| one.sent >= from && !revoked.contains(&one.key))
        .collect();
    let served = calm
        .iter()
        .filter(|one| matches!(one.got, Got::Answer(200, _)));
    let served = served.count();
    let few = calm.is_empty() || served * 100 < calm.len() * SERVED_PERCENT;
    few.then(|| format!("{served} of {} requests were served in calm", calm.len()))
}

/// What the run was made of, so that one in which nothing happened does not pass for a good one.
pub fn summary(world: &World) -> String {
    let tries = world.tries.all();
    let of = |kind| {
        let mine = tries.iter().filter(|one: &&Try| one.kind == kind);
        let served = mine
            .clone()
            .filter(|one| matches!(one.got, Got::Answer(200, _)));
        format!("{kind:?} {}/{}", served.count(), mine.count())
    };
    format!(
        "served {}, {}, {}; {} versions named, {} keys taken away",
        of(Kind::Stream),
        of(Kind::Lookup),
        of(Kind::Order),
        world.named.len(),
        world.revoked.len()
    )
}
