//! Simulates the transfers of several instances with random event order, message loss, corruption,
//! pauses and crashes.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use proptest::prelude::*;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use utils::digest::Digest;
use utils::Name;
use weights::{
    Effect,
    Event,
    FailureCause,
    Limits,
    Manifest,
    Piece,
    Plan,
    Source,
    Transfer,
    CANDIDATES_PER_PIECE, //
};

const CHUNKS: usize = 12;

/// A message to an instance.
#[derive(Clone, Debug)]
enum Message {
    Event(Event),
    /// A request of another instance for a piece.
    PieceRequest {
        from: Name,
        piece: Piece,
        wait: bool,
    },
    /// The request of an exchange of reports; the receiver records the sender's report.
    Exchange {
        from: Name,
    },
}

struct Node {
    transfer: Transfer,
    is_alive: bool,
    paused_until: Duration,
    is_complete: bool,
    uploads: BTreeMap<u64, Name>,
}

/// Transfers connected by a queue of messages with random delays. Links have no bandwidth limit.
struct Network {
    nodes: BTreeMap<Name, Node>,
    queue: Vec<(Duration, Name, Message)>,
    now: Duration,
    rng: Pcg64Mcg,
    manifest: Manifest,
    digest: Digest,
    loss: f64,
    corruption: f64,
    origin_fetchers: BTreeMap<Piece, BTreeSet<Name>>,
    tokens: u64,
}

fn network(
    regions: usize,
    instances_per_region: usize,
    seed: u64,
    loss: f64,
    corruption: f64,
) -> Network {
    let content: Vec<u8> = (0..CHUNKS * 4).map(|i| i as u8).collect();
    let manifest = Manifest::from_content("m".into(), "v1".into(), &content, 4);
    let digest = Digest::of(&manifest.to_text());
    let mut data_centres = String::new();
    let mut instances = String::new();
    for region in 0..regions {
        data_centres.push_str(&format!("dc{region}: {{region: r{region}, state: in}}, "));
        let names: Vec<String> = (0..instances_per_region)
            .map(|i| format!("n{region}-{i}"))
            .collect();
        instances.push_str(&format!("dc{region}: [{}], ", names.join(", ")));
    }
    let text = format!(
        "{{version: 1, published: 2026-12-03T06:00:00Z, origin_region: r0, \
         data_centres: {{{data_centres}}}, models: {{m: {{version: v1, manifest: {digest}, \
         cold_limit: 1, full_limit: 2, max_out_percent: 50, instances: {{{instances}}}}}}}}}"
    );
    let sheet = sheet::parse(&text).unwrap();
    let mut nodes = BTreeMap::new();
    for names in sheet.models["m"].instances.values() {
        for name in names {
            let plan = Plan::new(&sheet, "m", name).unwrap();
            let mut transfer = Transfer::new(name.clone(), plan, Limits::default(), Duration::ZERO);
            transfer.set_needs_pieces(Duration::ZERO, true);
            let node = Node {
                transfer,
                is_alive: true,
                paused_until: Duration::ZERO,
                is_complete: false,
                uploads: BTreeMap::new(),
            };
            nodes.insert(name.clone(), node);
        }
    }
    Network {
        nodes,
        queue: Vec::new(),
        now: Duration::ZERO,
        rng: Pcg64Mcg::seed_from_u64(seed),
        manifest,
        digest,
        loss,
        corruption,
        origin_fetchers: BTreeMap::new(),
        tokens: 0,
    }
}

impl Network {
    fn send(&mut self, to: &Name, message: Message) {
        let delay = Duration::from_millis(self.rng.random_range(1..80));
        self.queue.push((self.now + delay, to.clone(), message));
    }

    fn send_event(&mut self, to: &Name, event: Event) {
        self.send(to, Message::Event(event));
    }

    /// Advances the simulation by `length` in steps of 20 ms.
    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += Duration::from_millis(20);
            self.deliver_due();
            let names: Vec<Name> = self.nodes.keys().cloned().collect();
            for name in names {
                self.step(&name, Event::Tick);
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(due_at, _, _)| *due_at <= now);
        self.queue = rest;
        let mut due: Vec<(Duration, Name, Message)> = due;
        // Messages that are due at the same time arrive in random order.
        while !due.is_empty() {
            let picked = self.rng.random_range(0..due.len());
            let (_, to, message) = due.swap_remove(picked);
            self.deliver(&to, message);
        }
    }

    fn is_reachable(&self, name: &Name) -> bool {
        let node = &self.nodes[name];
        node.is_alive && node.paused_until <= self.now
    }

    fn deliver(&mut self, to: &Name, message: Message) {
        if self.nodes[to].is_alive && self.nodes[to].paused_until > self.now {
            self.queue
                .push((self.nodes[to].paused_until, to.clone(), message));
            return;
        }
        match message {
            Message::Event(event) => self.step(to, event),
            Message::Exchange { from } => {
                let report = self.nodes[&from].transfer.report();
                self.step(to, Event::ReportReceived(from, report));
            }
            Message::PieceRequest { from, piece, wait } => {
                self.tokens += 1;
                let token = self.tokens;
                let manifest = self.digest;
                let uploads = &mut self.nodes.get_mut(to).unwrap().uploads;
                uploads.insert(token, from.clone());
                self.step(
                    to,
                    Event::PieceRequested {
                        token,
                        from,
                        manifest,
                        piece,
                        wait,
                    },
                );
            }
        }
    }

    fn step(&mut self, name: &Name, event: Event) {
        let now = self.now;
        let node = self.nodes.get_mut(name).unwrap();
        if !node.is_alive || node.paused_until > now {
            return;
        }
        for effect in node.transfer.step(now, event) {
            self.apply(name, effect);
        }
    }

    fn apply(&mut self, me: &Name, effect: Effect) {
        match effect {
            Effect::Fetch {
                piece,
                source,
                wait,
            } => self.fetch(me, piece, source, wait),
            Effect::Exchange(peer) => {
                if self.is_reachable(&peer) && !self.rng.random_bool(self.loss) {
                    self.send(&peer, Message::Exchange { from: me.clone() });
                    let report = self.nodes[&peer].transfer.report();
                    self.send_event(me, Event::ReportReceived(peer, report));
                } else {
                    self.send_event(me, Event::PeerUnreachable(peer));
                }
            }
            Effect::Upload(token, piece) => {
                let to = self
                    .nodes
                    .get_mut(me)
                    .unwrap()
                    .uploads
                    .remove(&token)
                    .unwrap();
                self.arrive(&to, piece, Source::Peer(me.clone()));
                self.send_event(me, Event::PieceRequestEnded(token));
            }
            Effect::Deny(token, denial) => {
                let to = self
                    .nodes
                    .get_mut(me)
                    .unwrap()
                    .uploads
                    .remove(&token)
                    .unwrap();
                // The denial names no piece, so it applies to one that is fetched from this peer.
                for piece in 0..=CHUNKS as Piece {
                    let source = Source::Peer(me.clone());
                    let failed = Event::FetchFailed(piece, source, FailureCause::Denied(denial));
                    if self.nodes[&to].transfer.is_fetching_from(piece, me) {
                        self.send_event(&to, failed);
                        break;
                    }
                }
            }
            Effect::Complete => {
                let node = self.nodes.get_mut(me).unwrap();
                assert!(!node.is_complete, "complete twice");
                node.is_complete = true;
                assert_eq!(node.transfer.progress(), (CHUNKS + 1, Some(CHUNKS + 1)));
            }
            Effect::Cancel(_) | Effect::TooLarge(_) => {}
        }
    }

    fn fetch(&mut self, me: &Name, piece: Piece, source: Source, wait: bool) {
        match &source {
            Source::Origin => {
                self.origin_fetchers
                    .entry(piece)
                    .or_default()
                    .insert(me.clone());
                self.arrive(me, piece, source);
            }
            Source::Peer(peer) if self.is_reachable(peer) => {
                let from = me.clone();
                self.send(peer, Message::PieceRequest { from, piece, wait });
            }
            Source::Peer(_) => {
                self.send_event(
                    me,
                    Event::FetchFailed(piece, source, FailureCause::Unreachable),
                );
            }
        }
    }

    /// Delivers a piece intact or corrupt, or loses it.
    fn arrive(&mut self, to: &Name, piece: Piece, source: Source) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let event = if self.rng.random_bool(self.corruption) {
            Event::FetchFailed(piece, source, FailureCause::Corrupt)
        } else if piece == 0 {
            Event::ManifestReceived(source, self.manifest.clone())
        } else {
            Event::ChunkReceived(piece, source)
        };
        self.send_event(to, event);
    }

    fn alive_nodes(&self) -> impl Iterator<Item = (&Name, &Node)> {
        self.nodes.iter().filter(|(_, node)| node.is_alive)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn alive_instances_complete_and_at_most_four_fetch_a_piece_from_the_origin(
        seed: u64,
        regions in 1_usize..4,
        instances_per_region in 2_usize..7,
        loss in 0.0..0.1,
        corruption in 0.0..0.1,
        faults in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..3),
    ) {
        let mut network = network(regions, instances_per_region, seed, loss, corruption);
        network.run(Duration::from_millis(150));
        let names: Vec<Name> = network.nodes.keys().cloned().collect();
        for (index, is_fatal) in faults {
            let name = index.get(&names);
            let same_region = network.alive_nodes().filter(|(n, _)| n[..2] == name[..2]);
            let has_others_alive = same_region.count() > 1;
            let node = network.nodes.get_mut(name).unwrap();
            if is_fatal && has_others_alive {
                node.is_alive = false;
            } else {
                node.paused_until = network.now + Duration::from_secs(5);
            }
        }
        network.run(Duration::from_secs(10));
        network.loss = 0.0;
        network.corruption = 0.0;
        network.run(Duration::from_secs(80));
        for (piece, origin_fetchers) in &network.origin_fetchers {
            prop_assert!(
                origin_fetchers.len() <= CANDIDATES_PER_PIECE,
                "piece {piece}: {origin_fetchers:?}"
            );
        }
        for (name, node) in network.alive_nodes() {
            prop_assert!(node.is_complete, "{name}: {:?}", node.transfer.progress());
        }
    }
}

#[test]
fn without_faults_each_piece_is_fetched_from_the_origin_once() {
    let mut network = network(3, 6, 1, 0.0, 0.0);
    network.run(Duration::from_secs(20));
    assert!(network.alive_nodes().all(|(_, node)| node.is_complete));
    for piece in 0..=CHUNKS as Piece {
        assert_eq!(network.origin_fetchers[&piece].len(), 1, "piece {piece}");
    }
}

struct CandidateCase {
    name: &'static str,
    regions: usize,
    instances_per_region: usize,
    candidates: usize,
}

#[test]
fn origin_candidates_are_limited_and_spread_over_regions() {
    let cases = [
        CandidateCase {
            name: "one instance",
            regions: 1,
            instances_per_region: 1,
            candidates: 1,
        },
        CandidateCase {
            name: "one region",
            regions: 1,
            instances_per_region: 9,
            candidates: CANDIDATES_PER_PIECE,
        },
        CandidateCase {
            name: "two regions of one",
            regions: 2,
            instances_per_region: 1,
            candidates: 2,
        },
        CandidateCase {
            name: "many",
            regions: 3,
            instances_per_region: 200,
            candidates: CANDIDATES_PER_PIECE,
        },
    ];
    for case in cases {
        let network = network(case.regions, case.instances_per_region, 1, 0.0, 0.0);
        let plan = network.nodes.values().next().unwrap().transfer.plan();
        for piece in 0..20 {
            let candidates = plan.origin_candidates(piece);
            assert_eq!(candidates.len(), case.candidates, "{}", case.name);
            assert!(candidates[0].starts_with("n0"), "{}", case.name);
            let regions: BTreeSet<&str> = candidates.iter().map(|name| &name[..2]).collect();
            let expected_regions = case.regions.min(2);
            assert!(
                regions.len() >= expected_regions,
                "{}: {candidates:?}",
                case.name
            );
        }
    }
}

/// Guards against a candidate that never counts as unavailable. A fetch from a dead peer fails each
/// time its backoff is over, before the next exchange is sent to it, so failed fetches must count
/// as unanswered requests too.
#[test]
fn a_dead_candidate_is_skipped_though_fetches_from_it_fail_before_an_exchange() {
    let network = network(1, 2, 1, 0.0, 0.0);
    let (me, node) = network.nodes.iter().next().unwrap();
    let mut transfer = node.transfer.clone();
    let plan = transfer.plan().clone();
    let is_second = |piece: &Piece| plan.origin_candidates(*piece)[0] != *me;
    let piece = (1..=CHUNKS as Piece).find(is_second).unwrap();
    let dead = plan.origin_candidates(piece)[0].clone();
    let mut report = transfer.report();
    report.held_pieces.grow(CHUNKS + 1);
    for other in (0..=CHUNKS).filter(|other| *other != piece as usize) {
        report.held_pieces.insert(other);
    }
    let mut events = vec![
        Event::ManifestReceived(Source::Peer(dead.clone()), network.manifest.clone()),
        Event::ReportReceived(dead.clone(), report),
    ];
    for millis in 0..20_000_u64 {
        let now = Duration::from_millis(millis);
        // Ticks never coincide with the end of a backoff. The other event only starts fetches,
        // since there is no piece 99.
        let is_tick = millis % 20 == 11;
        events.push(if is_tick {
            Event::Tick
        } else {
            Event::Progress(99)
        });
        for event in std::mem::take(&mut events) {
            for effect in transfer.step(now, event) {
                match effect {
                    Effect::Fetch {
                        piece: fetched,
                        source: Source::Origin,
                        ..
                    } if fetched == piece => return,
                    Effect::Fetch { piece, source, .. } => {
                        events.push(Event::FetchFailed(piece, source, FailureCause::Unreachable));
                    }
                    Effect::Exchange(peer) => events.push(Event::PeerUnreachable(peer)),
                    _ => {}
                }
            }
        }
    }
    panic!("piece {piece} was never fetched from the origin");
}
