//! Who may draw a piece from the origin, who brings it into a region, and who exchanges with whom.
//!
//! Every choice is a pure function of the model's section of the sheet, so that processes that
//! hold the same section agree without talking. The live list plays no part: it lags, and two
//! views of it would yield two sets of ranks and so more copies from the origin.

use sheet::Sheet;
use utils::digest::Digest;
use utils::{
    rank,
    Name, //
};

use crate::Piece;

/// How many instances may draw one piece from the origin, and how many may bring it into a region.
pub const RANKS: usize = 4;

/// Remote holders that a gateway asks beyond the origin ranks.
const MORE_REMOTE_SOURCES: usize = 4;

/// An instance that takes part in spreading weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
}

/// The roles of a model's instances in spreading one manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    manifest: Digest,
    origin_region: Name,
    region: Name,
    members: Vec<Member>,
    /// The instances of this region in the order in which they bring pieces into it.
    turns: Vec<Name>,
}

impl Plan {
    /// Makes the plan for `me`, or `None` if the sheet names no such instance of the model.
    pub fn new(sheet: &Sheet, model: &str, me: &str) -> Option<Self> {
        let model = sheet.models.get(model)?;
        let mut members = Vec::new();
        for (data_centre, names) in &model.instances {
            let region = sheet.region(data_centre)?;
            members.extend(names.iter().map(|name| Member {
                name: name.clone(),
                data_centre: data_centre.clone(),
                region: region.clone(),
            }));
        }
        Self::of(model.manifest, sheet.origin_region.clone(), members, me)
    }

    /// Makes the plan for `me`, or `None` if it is not among the members.
    pub fn of(
        manifest: Digest,
        origin_region: Name,
        members: Vec<Member>,
        me: &str,
    ) -> Option<Self> {
        let region = members.iter().find(|m| &*m.name == me)?.region.clone();
        let mut plan = Self {
            manifest,
            origin_region,
            region,
            members,
            turns: Vec::new(),
        };
        plan.turns = plan.turns_of(&plan.region);
        Some(plan)
    }

    /// The manifest that is spread.
    pub fn manifest(&self) -> &Digest {
        &self.manifest
    }

    /// The region of this instance.
    pub fn region(&self) -> &Name {
        &self.region
    }

    /// Whether `name` stands in the same region as this instance.
    pub fn is_near(&self, name: &str) -> bool {
        self.region_of(name) == Some(&self.region)
    }

    /// Whether this instance stands in the origin's region.
    pub fn in_origin_region(&self) -> bool {
        self.region == self.origin_region
    }

    /// The region of `name`.
    pub fn region_of(&self, name: &str) -> Option<&Name> {
        let member = self.members.iter().find(|m| &*m.name == name)?;
        Some(&member.region)
    }

    /// How many instances share this instance's region.
    pub fn region_size(&self) -> usize {
        self.members
            .iter()
            .filter(|m| m.region == self.region)
            .count()
    }

    /// The instances that may draw `piece` from the origin, in rank order.
    ///
    /// The first two stand in the origin's region, in two data centres if there are two; the
    /// others elsewhere, so that neither a data centre nor a region takes all ranks with it. The
    /// first rank goes round, so that each instance draws as many pieces as any other and none is
    /// the last to finish by far.
    pub fn origin_ranks(&self, piece: Piece) -> Vec<Name> {
        let mut rest = self.by_weight(piece, |_| true);
        let origin = &self.origin_region;
        let mut chosen: Vec<&Member> = Vec::with_capacity(RANKS);
        for rank in 0..RANKS {
            let used = |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
            let home = |m: &&Member| m.region == *origin;
            let pick = match rank {
                0 => self.first_in_turn(piece, origin, &rest),
                1 => rest
                    .iter()
                    .position(|m| home(m) && !used(m))
                    .or_else(|| rest.iter().position(home)),
                2 => rest.iter().position(|m| !home(m)),
                _ => rest.iter().position(|m| !used(m)),
            };
            if rest.is_empty() {
                break;
            }
            chosen.push(rest.remove(pick.unwrap_or(0)));
        }
        chosen.into_iter().map(|m| m.name.clone()).collect()
    }

    /// The place in `rest` of the instance of `region` whose turn `piece` is.
    fn first_in_turn(&self, piece: Piece, region: &Name, rest: &[&Member]) -> Option<usize> {
        let turns = self.turns_of(region);
        let turn = turns.get(piece as usize % turns.len().max(1))?;
        rest.iter().position(|m| m.name == *turn)
    }

    /// The instances of a region in the order in which they bring pieces into it.
    fn turns_of(&self, region: &Name) -> Vec<Name> {
        let key = rank::key(self.manifest.as_bytes());
        let members = self.members.iter().filter(|m| m.region == *region);
        rank::ranked(key, members.map(|m| &m.name))
    }

    /// The place of `me` in the order in which the instances of its region bring pieces into it.
    pub fn turn(&self, me: &str) -> u32 {
        let place = self.turns.iter().position(|name| &**name == me);
        let place = place.unwrap_or(0);
        u32::try_from(place).unwrap_or(u32::MAX)
    }

    /// How many turns after `me` the turn of `other` comes. Zero for instances of other regions.
    pub fn distance(&self, me: &str, other: &str) -> u32 {
        let count = u32::try_from(self.turns.len()).unwrap_or(u32::MAX).max(1);
        (self.turn(other) + count - self.turn(me)) % count
    }

    /// When `me` asks for `piece`, among all pieces: those that are brought first come first, and
    /// each instance of the region begins with another one.
    pub fn order(&self, piece: Piece, me: &str) -> (usize, usize) {
        let count = self.region_size().max(1);
        let mine = self.turn(me) as usize;
        let piece = piece as usize;
        (piece / count, (piece + count - mine) % count)
    }

    /// The instances that may bring `piece` into this instance's region, in rank order. The first
    /// rank goes round here too: who brings more pieces than others hands them on last.
    pub fn gateways(&self, piece: Piece) -> Vec<Name> {
        let mut rest = self.by_weight(piece, |m| m.region == self.region);
        let mut chosen: Vec<&Member> = Vec::with_capacity(RANKS);
        while chosen.len() < RANKS && !rest.is_empty() {
            let used = |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
            let pick = if chosen.is_empty() {
                self.first_in_turn(piece, &self.region, &rest)
            } else {
                rest.iter().position(|m| !used(m))
            };
            chosen.push(rest.remove(pick.unwrap_or(0)));
        }
        chosen.into_iter().map(|m| m.name.clone()).collect()
    }

    /// The instances that this instance's region has a piece from, in rank order: those with a rank
    /// at the origin, if it stands in the region, and those that fetch it from other regions.
    pub fn bringers(&self, piece: Piece) -> Vec<Name> {
        let mut bringers = Vec::new();
        if self.in_origin_region() {
            bringers = self.origin_ranks(piece);
            bringers.retain(|name| self.is_near(name));
        }
        for name in self.gateways(piece) {
            if !bringers.contains(&name) {
                bringers.push(name);
            }
        }
        bringers
    }

    /// Instances in other regions that a gateway asks for `piece`, in the order to ask. Those of
    /// regions that have it from the origin's region themselves come last, or two gateways could
    /// wait for each other.
    pub fn remote_sources(&self, piece: Piece) -> Vec<Name> {
        let mut sources: Vec<Name> = self.bringer_before(piece).into_iter().collect();
        let ranks = self.origin_ranks(piece);
        let far = ranks.into_iter().filter(|name| !self.is_near(name));
        let (at_origin, elsewhere): (Vec<Name>, Vec<Name>) =
            far.partition(|name| self.region_of(name) == Some(&self.origin_region));
        let more = self.by_weight(piece, |m| {
            m.region == self.origin_region && m.region != self.region
        });
        let more = more.into_iter().map(|m| m.name.clone());
        let more = more.take(MORE_REMOTE_SOURCES);
        for name in at_origin.into_iter().chain(more).chain(elsewhere) {
            if !sources.contains(&name) {
                sources.push(name);
            }
        }
        sources
    }

    /// Who brings `piece` into the region before this one. Regions hand a piece on one to the next,
    /// so that the instances of the origin's region have no more copies to send than others.
    fn bringer_before(&self, piece: Piece) -> Option<Name> {
        let mut regions: Vec<&Name> = self.members.iter().map(|m| &m.region).collect();
        regions.sort_unstable_by_key(|region| (**region != self.origin_region, *region));
        regions.dedup();
        let at = regions.iter().position(|region| **region == self.region)?;
        let before = regions.get(at.checked_sub(1)?)?;
        let turns = self.turns_of(before);
        turns.get(piece as usize % turns.len().max(1)).cloned()
    }

    /// The instances of the region with which `me` exchanges pieces.
    pub fn neighbours(&self, me: &str) -> Vec<Name> {
        let key = rank::key(self.manifest.as_bytes());
        let near = self.members.iter().filter(|m| m.region == self.region);
        rank::ring_neighbours(key, near.map(|m| &m.name), me, rank::RING_STEPS)
    }

    /// Other instances of the region, in an order of this piece's own.
    pub fn region_peers(&self, piece: Piece) -> Vec<Name> {
        let near = self.by_weight(piece, |m| m.region == self.region);
        near.into_iter().map(|m| m.name.clone()).collect()
    }

    /// Names by data centre, for the switch of version.
    pub fn data_centre_peers(&self, me: &str) -> Vec<Name> {
        let Some(mine) = self.members.iter().find(|m| &*m.name == me) else {
            return Vec::new();
        };
        let peers = self
            .members
            .iter()
            .filter(|m| m.data_centre == mine.data_centre);
        rank::ranked(rank::key(self.manifest.as_bytes()), peers.map(|m| &m.name))
    }

    fn by_weight(&self, piece: Piece, keep: impl Fn(&Member) -> bool) -> Vec<&Member> {
        let key = self.piece_key(piece);
        let mut members: Vec<(u64, &Member)> = self
            .members
            .iter()
            .filter(|m| keep(m))
            .map(|m| (rank::weight(key, &m.name), m))
            .collect();
        members.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| b.1.name.cmp(&a.1.name)));
        members.into_iter().map(|(_, m)| m).collect()
    }

    fn piece_key(&self, piece: Piece) -> u64 {
        let mut bytes = [0; 36];
        bytes[..32].copy_from_slice(self.manifest.as_bytes());
        bytes[32..].copy_from_slice(&piece.to_be_bytes());
        rank::key(&bytes)
    }
}
