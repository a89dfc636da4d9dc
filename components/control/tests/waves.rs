//! Switching in waves: never more targets out than the sheet allows, though facts arrive late or
//! not at all, and every target arrives at the version.

use std::time::Duration;

use control::agent::{
    EngineState,
    Rollout,
    RolloutEffect,
    RolloutOptions,
    Version, //
};
use proptest::prelude::*;
use protocol::{
    Phase,
    TargetStatus, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::digest::Digest;
use utils::Name;

/// A rollout and the engine that it brings to the version.
struct Target {
    rollout: Rollout,
    version: Name,
    loads_until: Option<Duration>,
    warm_at: Duration,
    staged_at: Duration,
    paused_until: Duration,
}

/// A fact on its way: to whom, of whom, and what.
type Fact = (Duration, usize, usize, Option<TargetStatus>);

struct Net {
    targets: Vec<Target>,
    facts: Vec<Fact>,
    rng: Pcg64Mcg,
    now: Duration,
    loss: f64,
}

fn name(index: usize) -> Name {
    format!("t{index}").into()
}

fn wanted() -> Version {
    Version {
        model: "m".into(),
        version: "v2".into(),
        manifest: Digest::ZERO,
    }
}

fn net(count: usize, width: usize, seed: u64, loss: f64) -> Net {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let targets = (0..count).map(|index| {
        let mut rollout = Rollout::new(RolloutOptions::default());
        let before = (0..index).rev().skip(width - 1).step_by(width).map(name);
        rollout.want(Some(wanted()), before.collect(), 7);
        Target {
            rollout,
            version: "v1".into(),
            loads_until: None,
            warm_at: Duration::ZERO,
            staged_at: Duration::from_millis(rng.random_range(0..5000)),
            paused_until: Duration::ZERO,
        }
    });
    let targets = targets.collect();
    Net {
        targets,
        facts: Vec::new(),
        rng,
        now: Duration::ZERO,
        loss,
    }
}

impl Target {
    fn is_warm(&self, now: Duration) -> bool {
        now >= self.warm_at
    }

    fn status(&self, now: Duration) -> TargetStatus {
        TargetStatus {
            workload: Some("m".into()),
            version: self.rollout.serving().cloned(),
            phase: self.rollout.phase(self.is_warm(now)),
            ready: self.rollout.serving().is_some(),
            running: 0,
            queued: 0,
            limit: 1,
        }
    }
}

impl Net {
    fn step(&mut self) {
        self.now += Duration::from_millis(100);
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.facts)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.facts = rest;
        let due: Vec<Fact> = due;
        for (_, to, of, status) in due {
            self.targets[to].rollout.heard(now, &name(of), status);
        }
        for index in 0..self.targets.len() {
            if self.targets[index].paused_until <= now {
                self.step_target(index);
            }
        }
    }

    fn step_target(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        if target.loads_until.is_some_and(|until| until <= now) {
            target.loads_until = None;
            target.version = "v2".into();
            target.warm_at = now + Duration::from_millis(900);
        }
        let engine = EngineState {
            version: Some(target.version.clone()),
            loading: target.loads_until.is_some(),
            start: 1,
        };
        let mut effects = target.rollout.read(Some(engine));
        if target.staged_at <= now {
            effects.extend(target.rollout.spread(now));
        }
        effects.extend(target.rollout.tick(now, 0, true, |_| false));
        let is_warm = target.is_warm(now);
        effects.extend(target.rollout.set_warm(is_warm));
        for effect in effects {
            self.apply(index, effect);
        }
    }

    fn apply(&mut self, index: usize, effect: RolloutEffect) {
        let now = self.now;
        match effect {
            RolloutEffect::Stage(version) => {
                self.targets[index].rollout.staged(now, &version, true);
            }
            RolloutEffect::Order { fence, .. } => {
                assert_eq!(fence, 7);
                let takes = Duration::from_millis(self.rng.random_range(100..2000));
                self.targets[index].loads_until = Some(now + takes);
            }
            RolloutEffect::AskStatus(asked) => {
                let of: usize = asked[1..].parse().unwrap();
                let delay = Duration::from_millis(self.rng.random_range(0..800));
                let is_paused = self.targets[of].paused_until > now;
                let is_lost = is_paused || self.rng.random_bool(self.loss);
                // The state at the time of the question, told later.
                let status = (!is_lost).then(|| self.targets[of].status(now));
                self.facts.push((now + delay, index, of, status));
            }
            RolloutEffect::TurnCold | RolloutEffect::Step(..) => {}
        }
    }

    fn out(&self) -> usize {
        let phases = self.targets.iter().map(|t| t.status(self.now).phase);
        phases
            .filter(|p| matches!(p, Phase::Draining | Phase::Loading | Phase::Cold))
            .count()
    }

    fn done(&self) -> usize {
        let versions = self.targets.iter().map(|t| &t.version);
        versions.filter(|v| &***v == "v2").count()
    }
}

proptest! {
    #[test]
    fn never_above_the_floor_and_everyone_arrives(
        seed: u64,
        count in 1_usize..16,
        width in 1_usize..5,
        loss in 0.0..0.3,
        pauses in prop::collection::vec((any::<prop::sample::Index>(), 0_u64..20_000, 100_u64..5000), 0..4),
    ) {
        let mut net = net(count, width, seed, loss);
        while net.now < Duration::from_secs(180) && net.done() < count {
            for (index, from, length) in &pauses {
                let from = Duration::from_millis(*from);
                if from <= net.now && net.now < from + Duration::from_millis(100) {
                    let until = net.now + Duration::from_millis(*length);
                    net.targets[index.index(count)].paused_until = until;
                }
            }
            net.step();
            prop_assert!(net.out() <= width, "{} out of {count}, {width} allowed", net.out());
        }
        prop_assert_eq!(net.done(), count);
    }
}

#[test]
fn a_dead_member_is_passed_over_once_it_is_known_to_have_failed() {
    let mut net = net(3, 1, 1, 0.0);
    net.targets[1].paused_until = Duration::from_secs(3600);
    while net.now < Duration::from_secs(60) {
        net.step();
    }
    assert_eq!(net.done(), 2);
    assert_eq!(&*net.targets[2].version, "v2");
}

#[test]
fn a_version_that_was_not_ordered_here_is_not_served() {
    let mut rollout = Rollout::new(RolloutOptions::default());
    rollout.want(Some(wanted()), Vec::new(), 7);
    let runs = |version: &str| {
        Some(EngineState {
            version: Some(version.into()),
            loading: false,
            start: 1,
        })
    };
    rollout.read(runs("v1"));
    assert_eq!(rollout.serving().map(|v| &**v), Some("v1"));
    rollout.read(runs("v9"));
    assert_eq!(rollout.serving(), None);
    rollout.read(runs("v2"));
    assert_eq!(rollout.serving().map(|v| &**v), Some("v2"));
    rollout.read(runs("v9"));
    assert_eq!(rollout.serving(), None);
    rollout.read(runs("v1"));
    assert_eq!(rollout.serving(), None);
}
