//! Tests of followers in a simulated network with loss, partitions, outdated reads, pauses and
//! restarts: no follower reverts to an older sheet, and the newest one is active everywhere once
//! the network and the service work again.

#[expect(dead_code, reason = "other tests use the rest")]
mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use control::follower::{
    Effect,
    Event,
    Follower,
    IndexResult,
    Intervals, //
};
use proptest::prelude::*;
use protocol::{
    Instance,
    InstanceListUpdate,
    InstanceState,
    Role, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use sheet::{
    pack,
    PublishedSheet, //
};
use utils::digest::Digest;
use utils::Name;

/// The configuration service and the platform's list, with injected faults.
struct Service {
    published: Vec<PublishedSheet>,
    list: InstanceListUpdate,
    is_down: bool,
    is_stale: bool,
    calls: u64,
}

impl Service {
    fn index(&self) -> Option<Bytes> {
        let index = self
            .published
            .len()
            .checked_sub(1 + usize::from(self.is_stale))?;
        Some(self.published[index].index.clone().into())
    }

    fn section(&self, digest: &Digest) -> Option<Bytes> {
        let found = self.published.iter().find_map(|p| p.sections.get(digest));
        found.map(|text| text.clone().into())
    }
}

/// Followers connected by a queue of delayed events.
struct Network {
    followers: BTreeMap<Name, Follower>,
    queue: Vec<(Duration, Name, Event)>,
    watches: Vec<(Name, Option<Digest>)>,
    paused: BTreeMap<Name, Duration>,
    service: Service,
    now: Duration,
    rng: Pcg64Mcg,
    loss_rate: f64,
    is_partitioned: bool,
    seed: u64,
}

/// The data centre of an instance, given by the first letter of its name.
fn data_centre(name: &str) -> Name {
    if name.starts_with('a') { "a" } else { "b" }.into()
}

fn network(per_data_centre: usize, seed: u64) -> Network {
    let names: Vec<Name> = ["a", "b"]
        .iter()
        .flat_map(|dc| (0..per_data_centre).map(move |i| Name::from(format!("{dc}{i}"))))
        .collect();
    let instances = (1..).zip(&names).map(|(revision, name)| Instance {
        name: name.clone(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: data_centre(name),
        role: Role::Agent,
        state: InstanceState::Live,
        revision,
    });
    let list = InstanceListUpdate {
        revision: names.len() as u64,
        instances: instances.collect(),
    };
    let mut network = Network {
        followers: BTreeMap::new(),
        queue: Vec::new(),
        watches: Vec::new(),
        paused: BTreeMap::new(),
        service: Service {
            published: Vec::new(),
            list,
            is_down: false,
            is_stale: false,
            calls: 0,
        },
        now: Duration::ZERO,
        rng: Pcg64Mcg::seed_from_u64(seed),
        loss_rate: 0.0,
        is_partitioned: false,
        seed,
    };
    network.publish(1);
    for name in names {
        network.start(&name);
    }
    network
}

impl Network {
    fn publish(&mut self, version: u64) {
        self.service
            .published
            .push(pack(&common::sheet(version, "in")));
    }

    fn start(&mut self, name: &Name) {
        self.seed += 1;
        let follower = Follower::new(
            name.clone(),
            data_centre(name),
            Intervals::default(),
            self.seed,
        );
        self.followers.insert(name.clone(), follower);
        self.queue.retain(|(_, to, _)| to != name);
        self.watches.retain(|(watcher, _)| watcher != name);
        self.paused.remove(name);
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.answer_watches();
            let now = self.now;
            let (due, pending) = std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|(arrives_at, _, _)| *arrives_at <= now);
            self.queue = pending;
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
        let follower = self.followers.get_mut(name).unwrap();
        let version_before = follower.sheet_collector().version();
        let effects = follower.step(self.now, event);
        assert!(
            follower.sheet_collector().version() >= version_before,
            "{name} reverted to an older sheet"
        );
        for effect in effects {
            self.apply(name, effect);
        }
    }

    fn enqueue(&mut self, to: &Name, event: Event) {
        let delay = Duration::from_millis(self.rng.random_range(1..200));
        self.queue.push((self.now + delay, to.clone(), event));
    }

    fn is_delivered(&mut self, from: &Name, to: &Name) -> bool {
        let is_cut_off = self.is_partitioned && data_centre(from) != data_centre(to);
        let is_paused = self.paused.get(to).is_some_and(|until| *until > self.now);
        !is_cut_off && !is_paused && !self.rng.random_bool(self.loss_rate)
    }

    /// Sends a request to another follower. Each side learns the versions of the other.
    fn request(&mut self, from: &Name, to: &Name, reply: impl FnOnce(&Follower) -> Option<Event>) {
        if !self.is_delivered(from, to) {
            self.enqueue(from, Event::PeerUnresponsive(to.clone()));
            return;
        }
        let versions = |name: &Name, follower: &Follower| Event::PeerVersions {
            from: name.clone(),
            sheet: follower.sheet_collector().version(),
            list: follower.instances().revision(),
        };
        let request_versions = versions(from, &self.followers[from]);
        let reply_versions = versions(to, &self.followers[to]);
        let answer = reply(&self.followers[to]);
        self.enqueue(to, request_versions);
        self.enqueue(from, reply_versions);
        if let Some(answer) = answer {
            self.enqueue(from, answer);
        }
    }

    fn apply(&mut self, name: &Name, effect: Effect) {
        let is_down = self.service.is_down;
        match effect {
            Effect::WatchIndex(known) => {
                self.service.calls += 1;
                self.watches.push((name.clone(), known));
            }
            Effect::ReadIndex => {
                self.service.calls += 1;
                let index = self.service.index().filter(|_| !is_down);
                let result = index.map_or(IndexResult::Failed, IndexResult::Index);
                self.enqueue(name, Event::ServiceIndex(result));
            }
            Effect::ReadSection(digest) => {
                self.service.calls += 1;
                let text = self.service.section(&digest).filter(|_| !is_down);
                self.enqueue(name, Event::ServiceSection(digest, text));
            }
            Effect::ReadList(_) => {
                self.service.calls += 1;
                let update = Some(self.service.list.clone()).filter(|_| !is_down);
                self.enqueue(name, Event::PlatformList(update));
            }
            Effect::SendHeartbeat(peer) => self.request(name, &peer, |_| None),
            Effect::RequestPeerIndex(peer) => {
                let from = peer.clone();
                self.request(name, &peer, move |f| {
                    let text = f
                        .sheet_collector()
                        .index()
                        .map(|t| Bytes::copy_from_slice(t));
                    Some(Event::PeerIndex(from, text))
                });
            }
            Effect::RequestPeerSection(peer, digest) => self.request(name, &peer, move |f| {
                let text = f.sheet_collector().section(&digest);
                let text = text.map(|t| Bytes::copy_from_slice(t));
                Some(Event::PeerSection(digest, text))
            }),
            Effect::RequestPeerList(peer, after) => self.request(name, &peer, move |f| {
                Some(Event::PeerList(f.instances().changes_after(after)))
            }),
            Effect::SheetAdopted(..)
            | Effect::SheetRefused(_)
            | Effect::ListChanged
            | Effect::ResumedAfterPause(_) => {}
        }
    }

    fn answer_watches(&mut self) {
        for (name, known) in std::mem::take(&mut self.watches) {
            if self.service.is_down {
                self.enqueue(&name, Event::ServiceIndex(IndexResult::Failed));
                continue;
            }
            match self.service.index() {
                Some(text) if Some(Digest::of(&text)) != known => {
                    self.enqueue(&name, Event::ServiceIndex(IndexResult::Index(text)));
                }
                _ => self.watches.push((name, known)),
            }
        }
    }

    fn versions(&self) -> Vec<u64> {
        let followers = self.followers.values();
        followers.map(|f| f.sheet_collector().version()).collect()
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Publish,
    Down(bool),
    Stale(bool),
    Partition(bool),
    Restart(prop::sample::Index),
    Pause(prop::sample::Index),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Publish),
        1 => any::<bool>().prop_map(Fault::Down),
        1 => any::<bool>().prop_map(Fault::Stale),
        1 => any::<bool>().prop_map(Fault::Partition),
        1 => any::<prop::sample::Index>().prop_map(Fault::Restart),
        1 => any::<prop::sample::Index>().prop_map(Fault::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn no_follower_reverts_and_all_converge_after_the_faults(
        seed: u64,
        per_data_centre in 1_usize..8,
        loss_rate in 0.0..0.2,
        faults in prop::collection::vec((fault(), 50_u64..3000), 0..20),
    ) {
        let mut network = network(per_data_centre, seed);
        network.loss_rate = loss_rate;
        network.run(Duration::from_secs(3));
        let names: Vec<Name> = network.followers.keys().cloned().collect();
        let mut version = 1;
        for (fault, millis) in faults {
            match fault {
                Fault::Publish => {
                    version += 1;
                    network.publish(version);
                }
                Fault::Down(is_down) => network.service.is_down = is_down,
                Fault::Stale(is_stale) => network.service.is_stale = is_stale,
                Fault::Partition(is_partitioned) => network.is_partitioned = is_partitioned,
                Fault::Restart(index) => network.start(index.get(&names)),
                Fault::Pause(index) => {
                    let until = network.now + Duration::from_secs(4);
                    network.paused.insert(index.get(&names).clone(), until);
                }
            }
            network.run(Duration::from_millis(millis));
        }
        network.loss_rate = 0.0;
        network.is_partitioned = false;
        network.service.is_down = false;
        network.service.is_stale = false;
        // The service is retried after a backoff of at most 10 s plus 25 % jitter.
        network.run(Duration::from_secs(25));
        prop_assert_eq!(network.versions(), vec![version; names.len()]);
        prop_assert!(network.followers.values().all(Follower::is_settled));
    }
}

#[test]
fn change_is_in_force_everywhere_within_eight_seconds_despite_message_loss() {
    for per_data_centre in [2, 10, 40] {
        let mut network = network(per_data_centre, 7);
        network.loss_rate = 0.1;
        network.run(Duration::from_secs(5));
        for version in 2..6 {
            network.publish(version);
            network.run(Duration::from_secs(8));
            assert_eq!(
                network.versions(),
                vec![version; 2 * per_data_centre],
                "{per_data_centre} in each data centre"
            );
        }
    }
}

#[test]
fn calls_to_the_service_do_not_grow_with_the_number_of_processes() {
    let calls = |per_data_centre| {
        let mut network = network(per_data_centre, 7);
        network.run(Duration::from_secs(10));
        let calls_before = network.service.calls;
        for version in 2..12 {
            network.publish(version);
            network.run(Duration::from_secs(2));
        }
        network.service.calls - calls_before
    };
    let (few, many) = (calls(5), calls(50));
    assert!(many <= few + few / 4, "{few} calls of 10, {many} of 100");
}

#[test]
fn process_started_during_service_outage_learns_from_neighbours() {
    let mut network = network(4, 3);
    network.run(Duration::from_secs(5));
    let name = Name::from("a1");
    network.start(&name);
    // The platform's list is still available; only the configuration service is down.
    let list = Event::PlatformList(Some(network.service.list.clone()));
    network.service.is_down = true;
    network.step(&name, Event::Tick);
    network.step(&name, list);
    network.run(Duration::from_secs(5));
    assert_eq!(network.followers[&name].sheet_collector().version(), 1);
    assert!(network.followers[&name].is_settled());
}
