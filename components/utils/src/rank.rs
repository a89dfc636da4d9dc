//! Rendezvous (highest random weight) hashing, which lets processes choose the same members without
//! communication.

use xxhash_rust::xxh3::{
    xxh3_64_with_seed,
    Xxh3, //
};

use crate::Name;

/// Multiplier that spreads small keys over all bits of the seed. XXH3 combines short inputs and the
/// seed by exclusive or, so names and keys that differ only in a few low bits would otherwise have
/// the same weight.
const KEY_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the weight of `name` for `key`. The value is the same on every machine and must stay the
/// same in every version.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key.wrapping_mul(KEY_MULTIPLIER))
}

/// Hashes bytes to a key for [`weight`].
pub fn hash_key(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Hashes the concatenation of parts to a key for [`weight`].
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Xxh3::with_seed(0);
    for part in parts {
        hasher.update(part);
    }
    hasher.digest()
}

/// Sorts `names` by descending weight for `key`; the first name has rank zero.
pub fn rank_names<'a>(key: u64, names: impl IntoIterator<Item = &'a Name>) -> Vec<Name> {
    let mut weighted: Vec<(u64, &Name)> = names
        .into_iter()
        .map(|name| (weight(key, name), name))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns the `count` names of highest weight for `key`, in rank order, without sorting all names.
pub fn highest_ranked<'a>(
    key: u64,
    names: impl IntoIterator<Item = &'a Name>,
    count: usize,
) -> Vec<Name> {
    let mut best: Vec<(u64, &Name)> = Vec::with_capacity(count + 1);
    for name in names {
        let entry = (weight(key, name), name);
        let rank = best.partition_point(|other| *other > entry);
        if rank < count {
            best.insert(rank, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Neighbours of a name on each side of the ring; a name has at most twice as many in total.
pub const NEIGHBOURS_PER_SIDE: u32 = 5;

/// Returns the neighbours of `own_name` on a ring over `names`: up to `steps` in each direction, at
/// geometrically growing distances. Returns no names if `own_name` is not on the ring.
///
/// The relation is symmetric. Because distances grow by a constant factor, a message reaches every
/// name in a number of hops that is logarithmic in the size of the ring.
pub fn ring_neighbours<'a>(
    key: u64,
    names: impl IntoIterator<Item = &'a Name>,
    own_name: &str,
    steps: u32,
) -> Vec<Name> {
    let ring = rank_names(key, names);
    let Some(own_index) = ring.iter().position(|name| &**name == own_name) else {
        return Vec::new();
    };
    let mut neighbours: Vec<Name> = Vec::new();
    for distance in ring_distances(ring.len(), steps) {
        for index in [own_index + distance, own_index + ring.len() - distance] {
            let name = &ring[index % ring.len()];
            if &**name != own_name && !neighbours.contains(name) {
                neighbours.push(name.clone());
            }
        }
    }
    neighbours
}

/// Returns up to `steps` distances from 1 to half the ring size, growing by a constant factor.
fn ring_distances(size: usize, steps: u32) -> Vec<usize> {
    let half = size / 2;
    if half <= steps as usize {
        return (1..=half).collect();
    }
    let factor = (half as f64).powf(1.0 / f64::from(steps.max(2) - 1));
    let mut distances: Vec<usize> = (0..steps)
        .map(|step| factor.powf(f64::from(step)).round() as usize)
        .map(|distance| distance.clamp(1, half))
        .collect();
    distances.dedup();
    distances
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn names(count: usize) -> Vec<Name> {
        (0..count)
            .map(|i| Name::from(format!("draft-{i}")))
            .collect()
    }

    #[test]
    fn short_names_and_small_keys_have_distinct_weights() {
        let mut weights: Vec<u64> = (0..16)
            .flat_map(|key| names(10).into_iter().map(move |name| weight(key, &name)))
            .collect();
        weights.sort_unstable();
        weights.dedup();
        assert_eq!(weights.len(), 160);
    }

    proptest! {
        #[test]
        fn highest_ranked_returns_the_first_names(
            key: u64,
            size in 0_usize..40,
            count in 0_usize..10,
        ) {
            let names = names(size);
            let mut all = rank_names(key, &names);
            all.truncate(count);
            prop_assert_eq!(highest_ranked(key, &names, count), all);
        }

        #[test]
        fn removing_a_name_keeps_the_order_of_the_others(key: u64, size in 2_usize..40) {
            let names = names(size);
            let before = rank_names(key, &names);
            let after = rank_names(key, names.iter().filter(|name| **name != before[size - 1]));
            prop_assert_eq!(&before[..size - 1], &after[..]);
        }
    }

    #[test]
    fn ring_neighbours_are_symmetric_bounded_and_connected() {
        for size in [1, 2, 3, 10, 64, 630] {
            let names = names(size);
            let neighbours_of = |name: &Name| ring_neighbours(9, &names, name, NEIGHBOURS_PER_SIDE);
            let mut reached = vec![names[0].clone()];
            let mut next = 0;
            while next < reached.len() {
                let neighbours = neighbours_of(&reached[next]);
                assert!(
                    neighbours.len() <= 2 * NEIGHBOURS_PER_SIDE as usize,
                    "{size}"
                );
                for name in neighbours {
                    assert!(
                        neighbours_of(&name).contains(&reached[next]),
                        "{size}: {name}"
                    );
                    if !reached.contains(&name) {
                        reached.push(name);
                    }
                }
                next += 1;
            }
            assert_eq!(reached.len(), size);
        }
    }
}
