//! Selects the instances that fetch a piece from the origin, those that fetch it into a region, and
//! the neighbours that exchange reports.
//!
//! Every choice is a pure function of the model's section of the sheet, so that processes that
//! hold the same section agree without communication. The list of live instances is not used: it
//! lags, and two views of it would yield two sets of candidates and so more copies fetched from the
//! origin.

use std::collections::BTreeMap;

use sheet::Sheet;
use utils::digest::Digest;
use utils::{
    rank,
    Name, //
};

use crate::Piece;

/// How many instances may fetch one piece from the origin, and how many may fetch it into a region.
pub const CANDIDATES_PER_PIECE: usize = 4;

/// Instances of the origin's region that a gateway asks besides the origin candidates.
const EXTRA_REMOTE_SOURCES: usize = 4;

/// An instance that takes part in a transfer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its region.
    pub region: Name,
}

/// The roles of a model's instances in the transfer of one manifest's pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    manifest: Digest,
    origin_region: Name,
    region: Name,
    members: Vec<Member>,
    /// The region of each member, which is looked up for each peer and piece with each event.
    regions: BTreeMap<Name, Name>,
    /// The instances of this region in rotation order: piece `i` is fetched into the region first
    /// by the instance at `i` modulo their number.
    rotation: Vec<Name>,
}

impl Plan {
    /// Makes the plan for the instance `me`. `None` if the sheet does not list it for the model.
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
        Self::from_members(model.manifest, sheet.origin_region.clone(), members, me)
    }

    /// Makes the plan for the instance `me`. `None` if it is not among the members.
    pub fn from_members(
        manifest: Digest,
        origin_region: Name,
        members: Vec<Member>,
        me: &str,
    ) -> Option<Self> {
        let region = members.iter().find(|m| &*m.name == me)?.region.clone();
        let mut regions = BTreeMap::new();
        for member in &members {
            let region = regions.entry(member.name.clone());
            region.or_insert_with(|| member.region.clone());
        }
        let mut plan = Self {
            manifest,
            origin_region,
            region,
            members,
            regions,
            rotation: Vec::new(),
        };
        plan.rotation = plan.rotation_of(&plan.region);
        Some(plan)
    }

    /// The digest of the manifest.
    pub fn manifest(&self) -> &Digest {
        &self.manifest
    }

    /// The region of this instance.
    pub fn region(&self) -> &Name {
        &self.region
    }

    /// Whether `name` is in the same region as this instance.
    pub fn is_same_region(&self, name: &str) -> bool {
        self.region_of(name) == Some(&self.region)
    }

    /// Whether this instance is in the origin's region.
    pub fn in_origin_region(&self) -> bool {
        self.region == self.origin_region
    }

    /// The region of `name`.
    pub fn region_of(&self, name: &str) -> Option<&Name> {
        self.regions.get(name)
    }

    /// The number of instances in this instance's region.
    pub fn region_size(&self) -> usize {
        self.members
            .iter()
            .filter(|m| m.region == self.region)
            .count()
    }

    /// The instances that may fetch `piece` from the origin, in order of priority (rank).
    ///
    /// The first two are in the origin's region, in two data centres if there are two. The third is
    /// in another region and the fourth in a data centre not chosen yet, so that the loss of a data
    /// centre or a region leaves a candidate. The first candidate rotates with the piece, so that
    /// the instances fetch equally many pieces and none finishes much later than the others.
    pub fn origin_candidates(&self, piece: Piece) -> Vec<Name> {
        let mut remaining = self.sorted_by_weight(piece, |_| true);
        let origin = &self.origin_region;
        let mut chosen: Vec<&Member> = Vec::with_capacity(CANDIDATES_PER_PIECE);
        for index in 0..CANDIDATES_PER_PIECE {
            let is_data_centre_used =
                |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
            let is_in_origin_region = |m: &&Member| m.region == *origin;
            let position = match index {
                0 => self.position_by_rotation(piece, origin, &remaining),
                1 => remaining
                    .iter()
                    .position(|m| is_in_origin_region(m) && !is_data_centre_used(m))
                    .or_else(|| remaining.iter().position(is_in_origin_region)),
                2 => remaining.iter().position(|m| !is_in_origin_region(m)),
                _ => remaining.iter().position(|m| !is_data_centre_used(m)),
            };
            if remaining.is_empty() {
                break;
            }
            chosen.push(remaining.remove(position.unwrap_or(0)));
        }
        chosen.into_iter().map(|m| m.name.clone()).collect()
    }

    /// The position in `remaining` of the instance that the rotation of `region` selects for
    /// `piece`.
    fn position_by_rotation(
        &self,
        piece: Piece,
        region: &Name,
        remaining: &[&Member],
    ) -> Option<usize> {
        let rotation = self.rotation_of(region);
        let selected = rotation.get(piece as usize % rotation.len().max(1))?;
        remaining.iter().position(|m| m.name == *selected)
    }

    /// The instances of a region in rotation order.
    fn rotation_of(&self, region: &Name) -> Vec<Name> {
        let key = rank::hash_key(self.manifest.as_bytes());
        let members = self.members.iter().filter(|m| m.region == *region);
        rank::rank_names(key, members.map(|m| &m.name))
    }

    /// The position of `me` in the rotation of this region, zero if it is not there.
    pub fn rotation_index(&self, me: &str) -> u32 {
        let index = self.rotation.iter().position(|name| &**name == me);
        let index = index.unwrap_or(0);
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    /// How many positions after `me` the instance `other` comes in the rotation of this region.
    /// Instances of other regions count as the first of the rotation.
    pub fn rotation_distance(&self, me: &str, other: &str) -> u32 {
        let count = u32::try_from(self.rotation.len())
            .unwrap_or(u32::MAX)
            .max(1);
        (self.rotation_index(other) + count - self.rotation_index(me)) % count
    }

    /// The sort key of `piece` in the order in which `me` requests pieces. Pieces that are fetched
    /// into the region first come first, and each instance of the region starts with a different
    /// one.
    pub fn fetch_order(&self, piece: Piece, me: &str) -> (usize, usize) {
        let count = self.region_size().max(1);
        let own_index = self.rotation_index(me) as usize;
        let piece = piece as usize;
        (piece / count, (piece + count - own_index) % count)
    }

    /// The instances that may fetch `piece` from other regions into this one, in order of priority.
    /// As with the origin candidates, the first one rotates with the piece, since an instance that
    /// fetches more pieces than the others takes longer to upload them to its region.
    pub fn gateways(&self, piece: Piece) -> Vec<Name> {
        let mut remaining = self.sorted_by_weight(piece, |m| m.region == self.region);
        let mut chosen: Vec<&Member> = Vec::with_capacity(CANDIDATES_PER_PIECE);
        while chosen.len() < CANDIDATES_PER_PIECE && !remaining.is_empty() {
            let is_data_centre_used =
                |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
            let position = if chosen.is_empty() {
                self.position_by_rotation(piece, &self.region, &remaining)
            } else {
                remaining.iter().position(|m| !is_data_centre_used(m))
            };
            chosen.push(remaining.remove(position.unwrap_or(0)));
        }
        chosen.into_iter().map(|m| m.name.clone()).collect()
    }

    /// The instances that may fetch `piece` from outside this instance's region, in order of
    /// priority: the origin candidates in the region, if it is the origin's, then the gateways.
    pub fn region_fetchers(&self, piece: Piece) -> Vec<Name> {
        let mut fetchers = Vec::new();
        if self.in_origin_region() {
            fetchers = self.origin_candidates(piece);
            fetchers.retain(|name| self.is_same_region(name));
        }
        for name in self.gateways(piece) {
            if !fetchers.contains(&name) {
                fetchers.push(name);
            }
        }
        fetchers
    }

    /// Instances in other regions that a gateway asks for `piece`, in the order to ask. Origin
    /// candidates outside the origin's region come last: they may get the piece through a gateway
    /// themselves, and two gateways could wait for each other.
    pub fn remote_sources(&self, piece: Piece) -> Vec<Name> {
        let mut sources: Vec<Name> = self.fetcher_of_previous_region(piece).into_iter().collect();
        let candidates = self.origin_candidates(piece);
        let in_other_regions = candidates
            .into_iter()
            .filter(|name| !self.is_same_region(name));
        let (in_origin_region, elsewhere): (Vec<Name>, Vec<Name>) =
            in_other_regions.partition(|name| self.region_of(name) == Some(&self.origin_region));
        let extra = self.sorted_by_weight(piece, |m| {
            m.region == self.origin_region && m.region != self.region
        });
        let extra = extra.into_iter().map(|m| m.name.clone());
        let extra = extra.take(EXTRA_REMOTE_SOURCES);
        for name in in_origin_region.into_iter().chain(extra).chain(elsewhere) {
            if !sources.contains(&name) {
                sources.push(name);
            }
        }
        sources
    }

    /// The instance that first fetches `piece` into the region before this one. Regions pass a
    /// piece on in a chain, so that the origin's region does not upload more copies than the
    /// others.
    fn fetcher_of_previous_region(&self, piece: Piece) -> Option<Name> {
        let mut regions: Vec<&Name> = self.members.iter().map(|m| &m.region).collect();
        regions.sort_unstable_by_key(|region| (**region != self.origin_region, *region));
        regions.dedup();
        let own_index = regions.iter().position(|region| **region == self.region)?;
        let previous = regions.get(own_index.checked_sub(1)?)?;
        let rotation = self.rotation_of(previous);
        rotation
            .get(piece as usize % rotation.len().max(1))
            .cloned()
    }

    /// The instances of the region with which `me` exchanges reports.
    pub fn neighbours(&self, me: &str) -> Vec<Name> {
        let key = rank::hash_key(self.manifest.as_bytes());
        let members = self.members.iter().filter(|m| m.region == self.region);
        rank::ring_neighbours(key, members.map(|m| &m.name), me, rank::NEIGHBOURS_PER_SIDE)
    }

    /// The instances of the region, `me` included, in a pseudo-random order that depends on
    /// `piece`.
    pub fn region_peers(&self, piece: Piece) -> Vec<Name> {
        let members = self.sorted_by_weight(piece, |m| m.region == self.region);
        members.into_iter().map(|m| m.name.clone()).collect()
    }

    /// The instances of the data centre of `me`, `me` included, in the order in which they switch
    /// to a new version.
    pub fn data_centre_peers(&self, me: &str) -> Vec<Name> {
        let Some(own) = self.members.iter().find(|m| &*m.name == me) else {
            return Vec::new();
        };
        let peers = self
            .members
            .iter()
            .filter(|m| m.data_centre == own.data_centre);
        rank::rank_names(
            rank::hash_key(self.manifest.as_bytes()),
            peers.map(|m| &m.name),
        )
    }

    fn sorted_by_weight(&self, piece: Piece, keep: impl Fn(&Member) -> bool) -> Vec<&Member> {
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
        rank::hash_key(&bytes)
    }
}
