//! Followers against each other: the sheet never reverts, and is in force everywhere once links and
//! the service work again, under loss, partition, staleness, pause and restart.

#[expect(dead_code, reason = "the other tests of reducers use the rest")]
mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use control::follow::{
    Answer,
    Effect,
    Event,
    Follow,
    Intervals, //
};
use proptest::prelude::*;
use protocol::{
    Instance,
    InstanceState,
    News,
    Role, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use sheet::{
    pack,
    Packed, //
};
use utils::digest::Digest;
use utils::Name;

/// The configuration service and the list, with their faults.
struct Service {
    published: Vec<Packed>,
    list: News,
    down: bool,
    stale: bool,
    calls: u64,
}

impl Service {
    fn index(&self) -> Option<Bytes> {
        let shown = self
            .published
            .len()
            .checked_sub(1 + usize::from(self.stale))?;
        Some(self.published[shown].index.clone().into())
    }

    fn section(&self, digest: &Digest) -> Option<Bytes> {
        let found = self.published.iter().find_map(|p| p.sections.get(digest));
        found.map(|text| text.clone().into())
    }
}

/// Followers joined by a queue of events.
struct Net {
    followers: BTreeMap<Name, Follow>,
    queue: Vec<(Duration, Name, Event)>,
    watches: Vec<(Name, Option<Digest>)>,
    paused: BTreeMap<Name, Duration>,
    service: Service,
    now: Duration,
    rng: Pcg64Mcg,
    loss: f64,
    parted: bool,
    seed: u64,
}

/// The data centre of an instance, by its name.
fn data_centre(name: &str) -> Name {
    if name.starts_with('a') { "a" } else { "b" }.into()
}

fn net(each: usize, seed: u64) -> Net {
    let names: Vec<Name> = ["a", "b"]
        .iter()
        .flat_map(|dc| (0..each).map(move |i| Name::from(format!("{dc}{i}"))))
        .collect();
    let instances = (1..).zip(&names).map(|(revision, name)| Instance {
        name: name.clone(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: data_centre(name),
        role: Role::Agent,
        state: InstanceState::Live,
        revision,
    });
    let list = News {
        revision: names.len() as u64,
        instances: instances.collect(),
    };
    let mut net = Net {
        followers: BTreeMap::new(),
        queue: Vec::new(),
        watches: Vec::new(),
        paused: BTreeMap::new(),
        service: Service {
            published: Vec::new(),
            list,
            down: false,
            stale: false,
            calls: 0,
        },
        now: Duration::ZERO,
        rng: Pcg64Mcg::seed_from_u64(seed),
        loss: 0.0,
        parted: false,
        seed,
    };
    net.publish(1);
    for name in names {
        net.start(&name);
    }
    net
}

impl Net {
    fn publish(&mut self, version: u64) {
        self.service
            .published
            .push(pack(&common::sheet(version, "in")));
    }

    fn start(&mut self, name: &Name) {
        self.seed += 1;
        let follow = Follow::new(
            name.clone(),
            data_centre(name),
            Intervals::default(),
            self.seed,
        );
        self.followers.insert(name.clone(), follow);
        self.queue.retain(|(_, to, _)| to != name);
        self.watches.retain(|(of, _)| of != name);
        self.paused.remove(name);
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.answer_watches();
            let now = self.now;
            let (due, rest) = std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|(at, _, _)| *at <= now);
            self.queue = rest;
            let due: Vec<(Duration, Name, Event)> = due;
            for (_, to, event) in due {
                self.step(&to, event);
            }
            let names: Vec<Name> = self.followers.keys().cloned().collect();
            for name in names {
                self.step(&name, Event::Tick);
            }
        }
    }

    fn step(&mut self, name: &Name, event: Event) {
        if let Some(until) = self.paused.get(name).copied() {
            if until > self.now {
                if !matches!(event, Event::Tick) {
                    self.queue.push((until, name.clone(), event));
                }
                return;
            }
        }
        let follow = self.followers.get_mut(name).unwrap();
        let before = follow.acceptance().version();
        let effects = follow.step(self.now, event);
        assert!(follow.acceptance().version() >= before, "{name} reverted");
        for effect in effects {
            self.apply(name, effect);
        }
    }

    fn post(&mut self, to: &Name, event: Event) {
        let delay = Duration::from_millis(self.rng.random_range(1..200));
        self.queue.push((self.now + delay, to.clone(), event));
    }

    fn reaches(&mut self, from: &Name, to: &Name) -> bool {
        let apart = self.parted && data_centre(from) != data_centre(to);
        let is_paused = self.paused.get(to).is_some_and(|until| *until > self.now);
        !apart && !is_paused && !self.rng.random_bool(self.loss)
    }

    /// Asks another follower. Both sides hear of the other's versions.
    fn ask(&mut self, from: &Name, to: &Name, reply: impl FnOnce(&Follow) -> Option<Event>) {
        if !self.reaches(from, to) {
            self.post(from, Event::Silent(to.clone()));
            return;
        }
        let heard = |name: &Name, follow: &Follow| Event::Heard {
            from: name.clone(),
            sheet: follow.acceptance().version(),
            list: follow.members().revision(),
        };
        let asks = heard(from, &self.followers[from]);
        let told = heard(to, &self.followers[to]);
        let answer = reply(&self.followers[to]);
        self.post(to, asks);
        self.post(from, told);
        if let Some(answer) = answer {
            self.post(from, answer);
        }
    }

    fn apply(&mut self, me: &Name, effect: Effect) {
        let down = self.service.down;
        match effect {
            Effect::Watch(known) => {
                self.service.calls += 1;
                self.watches.push((me.clone(), known));
            }
            Effect::ReadIndex => {
                self.service.calls += 1;
                let index = self.service.index().filter(|_| !down);
                let answer = index.map_or(Answer::Failed, Answer::Index);
                self.post(me, Event::Index(answer));
            }
            Effect::ReadSection(digest) => {
                self.service.calls += 1;
                let text = self.service.section(&digest).filter(|_| !down);
                self.post(me, Event::Section(digest, text));
            }
            Effect::ReadList(_) => {
                self.service.calls += 1;
                let news = Some(self.service.list.clone()).filter(|_| !down);
                self.post(me, Event::List(news));
            }
            Effect::Heartbeat(peer) => self.ask(me, &peer, |_| None),
            Effect::AskIndex(peer) => {
                let from = peer.clone();
                self.ask(me, &peer, move |f| {
                    let text = f.acceptance().index().map(|t| Bytes::copy_from_slice(t));
                    Some(Event::PeerIndex(from, text))
                });
            }
            Effect::AskSection(peer, digest) => self.ask(me, &peer, move |f| {
                let text = f.acceptance().section(&digest);
                let text = text.map(|t| Bytes::copy_from_slice(t));
                Some(Event::PeerSection(digest, text))
            }),
            Effect::AskList(peer, after) => self.ask(me, &peer, move |f| {
                Some(Event::PeerList(f.members().since(after)))
            }),
            Effect::Adopted(..) | Effect::Refused(_) | Effect::ListChanged | Effect::Resumed(_) => {
            }
        }
    }

    fn answer_watches(&mut self) {
        for (name, known) in std::mem::take(&mut self.watches) {
            if self.service.down {
                self.post(&name, Event::Index(Answer::Failed));
                continue;
            }
            match self.service.index() {
                Some(text) if Some(Digest::of(&text)) != known => {
                    self.post(&name, Event::Index(Answer::Index(text)));
                }
                _ => self.watches.push((name, known)),
            }
        }
    }

    fn versions(&self) -> Vec<u64> {
        let followers = self.followers.values();
        followers.map(|f| f.acceptance().version()).collect()
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Publish,
    Down(bool),
    Stale(bool),
    Part(bool),
    Restart(prop::sample::Index),
    Pause(prop::sample::Index),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Publish),
        1 => any::<bool>().prop_map(Fault::Down),
        1 => any::<bool>().prop_map(Fault::Stale),
        1 => any::<bool>().prop_map(Fault::Part),
        1 => any::<prop::sample::Index>().prop_map(Fault::Restart),
        1 => any::<prop::sample::Index>().prop_map(Fault::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn never_back_and_in_force_everywhere_after_the_faults(
        seed: u64,
        each in 1_usize..8,
        loss in 0.0..0.2,
        faults in prop::collection::vec((fault(), 50_u64..3000), 0..20),
    ) {
        let mut net = net(each, seed);
        net.loss = loss;
        net.run(Duration::from_secs(3));
        let names: Vec<Name> = net.followers.keys().cloned().collect();
        let mut version = 1;
        for (fault, millis) in faults {
            match fault {
                Fault::Publish => {
                    version += 1;
                    net.publish(version);
                }
                Fault::Down(down) => net.service.down = down,
                Fault::Stale(stale) => net.service.stale = stale,
                Fault::Part(parted) => net.parted = parted,
                Fault::Restart(index) => net.start(index.get(&names)),
                Fault::Pause(index) => {
                    let until = net.now + Duration::from_secs(4);
                    net.paused.insert(index.get(&names).clone(), until);
                }
            }
            net.run(Duration::from_millis(millis));
        }
        net.loss = 0.0;
        net.parted = false;
        net.service.down = false;
        net.service.stale = false;
        // The service is tried again after at most ten seconds and a quarter of jitter.
        net.run(Duration::from_secs(25));
        prop_assert_eq!(net.versions(), vec![version; names.len()]);
        prop_assert!(net.followers.values().all(Follow::is_settled));
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_eight_seconds_though_messages_are_lost() {
    for each in [2, 10, 40] {
        let mut net = net(each, 7);
        net.loss = 0.1;
        net.run(Duration::from_secs(5));
        for version in 2..6 {
            net.publish(version);
            net.run(Duration::from_secs(8));
            assert_eq!(net.versions(), vec![version; 2 * each], "{each} in each");
        }
    }
}

#[test]
fn calls_to_the_service_do_not_grow_with_the_processes() {
    let calls = |each| {
        let mut net = net(each, 7);
        net.run(Duration::from_secs(10));
        let before = net.service.calls;
        for version in 2..12 {
            net.publish(version);
            net.run(Duration::from_secs(2));
        }
        net.service.calls - before
    };
    let (few, many) = (calls(5), calls(50));
    assert!(many <= few + few / 4, "{few} calls of 10, {many} of 100");
}

#[test]
fn a_process_that_starts_while_the_service_is_down_learns_from_neighbours() {
    let mut net = net(4, 3);
    net.run(Duration::from_secs(5));
    let name = Name::from("a1");
    net.start(&name);
    // The platform's list still answers; only the configuration service is down.
    let list = Event::List(Some(net.service.list.clone()));
    net.service.down = true;
    net.step(&name, Event::Tick);
    net.step(&name, list);
    net.run(Duration::from_secs(5));
    assert_eq!(net.followers[&name].acceptance().version(), 1);
    assert!(net.followers[&name].is_settled());
}
