//! Consistent hashing of prompt prefixes over the targets of a model or service.

use sheet::{
    InstancesByDataCentre,
    Sheet, //
};
use utils::{
    rank,
    Name, //
};

/// The number of points of each target on the ring.
const POINTS_PER_TARGET: u64 = 16;

/// One target on a ring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The instance.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// The targets of one model or service that the sheet has in service.
///
/// A lookup is a binary search and takes logarithmic time. Building the ring sorts all points, so
/// it is done only when a sheet is adopted.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    targets: Vec<Target>,
    /// Pairs of the hash of a point and the index of its target, in ascending order.
    points: Vec<(u64, u32)>,
}

impl Ring {
    /// Builds the ring of those `instances` that may get new work according to `sheet`.
    pub fn new(sheet: &Sheet, instances: &InstancesByDataCentre) -> Self {
        let mut targets = Vec::new();
        for (data_centre, names) in instances {
            if !sheet.is_in_service(data_centre) {
                continue;
            }
            let staying = names.iter().filter(|name| !sheet.is_leaving(name));
            targets.extend(staying.map(|name| Target {
                name: name.clone(),
                data_centre: data_centre.clone(),
            }));
        }
        let mut points = Vec::with_capacity(targets.len() * POINTS_PER_TARGET as usize);
        for (index, target) in targets.iter().enumerate() {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            points.extend(
                (0..POINTS_PER_TARGET).map(|point| (rank::weight(point, &target.name), index)),
            );
        }
        points.sort_unstable();
        Self { targets, points }
    }

    /// The number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether the ring has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The first `count` distinct targets, clockwise from `key`, for which `accept` returns true.
    pub fn first_targets(
        &self,
        key: u64,
        count: usize,
        mut accept: impl FnMut(&Target) -> bool,
    ) -> Vec<&Target> {
        let start = self.points.partition_point(|(point, _)| *point < key);
        let (before, after) = self.points.split_at(start);
        let mut seen: Vec<u32> = Vec::with_capacity(2 * count);
        let mut found = Vec::with_capacity(count);
        for (_, index) in after.iter().chain(before) {
            if found.len() >= count || seen.len() >= self.targets.len() {
                break;
            }
            if seen.contains(index) {
                continue;
            }
            seen.push(*index);
            let target = &self.targets[*index as usize];
            if accept(target) {
                found.push(target);
            }
        }
        found
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    fn ring(count: usize) -> Ring {
        let text = "{version: 1, published: 2026-01-01T00:00:00Z, origin_region: r, \
                    data_centres: {a: {region: r, state: in}, b: {region: r, state: out}}}";
        let sheet = sheet::parse(text).unwrap();
        let names = |prefix: &str| {
            (0..count)
                .map(|i| Name::from(format!("{prefix}{i}")))
                .collect()
        };
        let instances = BTreeMap::from([("a".into(), names("in")), ("b".into(), names("out"))]);
        Ring::new(&sheet, &instances)
    }

    proptest! {
        #[test]
        fn a_full_walk_returns_each_target_in_service_once(key: u64, count in 0_usize..30) {
            let ring = ring(count);
            let found = ring.first_targets(key, 100, |_| true);
            prop_assert_eq!(found.len(), count);
            prop_assert!(found.iter().all(|t| t.name.starts_with("in")));
            let mut names: Vec<_> = found.iter().map(|t| &t.name).collect();
            names.sort_unstable();
            names.dedup();
            prop_assert_eq!(names.len(), count);
        }
    }

    #[test]
    fn keys_are_distributed_over_all_targets() {
        let ring = ring(10);
        let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
        for key in 0..10_000_u64 {
            let key = rank::hash_key(&key.to_be_bytes());
            *counts
                .entry(&ring.first_targets(key, 1, |_| true)[0].name)
                .or_default() += 1;
        }
        assert_eq!(counts.len(), 10);
        assert!(
            counts.values().all(|c| (300..3000).contains(c)),
            "{counts:?}"
        );
    }
}
