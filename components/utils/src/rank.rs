//! Rendezvous (highest random weight) hashing, which lets processes agree without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// Spreads small keys over all bits: the hash combines short names and seeds by exclusive or, so
/// that names and keys that differ in a few low bits would yield the same weight.
const KEY_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The weight of `name` for `key`. The same on every machine and in every version.
pub fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key.wrapping_mul(KEY_FACTOR))
}

/// Folds bytes to a key for [`weight`].
pub fn key(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Sorts `names` by falling weight for `key`; the first is rank zero.
pub fn ranked<'a>(key: u64, names: impl IntoIterator<Item = &'a Name>) -> Vec<Name> {
    let mut weighted: Vec<(u64, &Name)> = names
        .into_iter()
        .map(|name| (weight(key, name), name))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The `count` heaviest of `names` for `key`, in rank order, without sorting them all.
pub fn top<'a>(key: u64, names: impl IntoIterator<Item = &'a Name>, count: usize) -> Vec<Name> {
    let mut best: Vec<(u64, &Name)> = Vec::with_capacity(count + 1);
    for name in names {
        let entry = (weight(key, name), name);
        let place = best.partition_point(|other| *other > entry);
        if place < count {
            best.insert(place, entry);
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Steps around a ring on each side of a name, so there are at most twice as many neighbours.
pub const RING_STEPS: u32 = 5;

/// The neighbours of `me` on a ring over `names`, at geometric distances both ways.
///
/// Two names are neighbours of each other or not at all. Distances grow by a fixed factor, so
/// news crosses the ring in a number of hops that grows with the logarithm of its size.
pub fn ring_neighbours<'a>(
    key: u64,
    names: impl IntoIterator<Item = &'a Name>,
    me: &str,
    steps: u32,
) -> Vec<Name> {
    let ring = ranked(key, names);
    let Some(at) = ring.iter().position(|name| &**name == me) else {
        return Vec::new();
    };
    let mut found: Vec<Name> = Vec::new();
    for distance in ring_distances(ring.len(), steps) {
        for place in [at + distance, at + ring.len() - distance] {
            let name = &ring[place % ring.len()];
            if &**name != me && !found.contains(name) {
                found.push(name.clone());
            }
        }
    }
    found
}

/// Distances from one step to half the ring, each the same factor longer than the one before.
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
    fn short_names_and_small_keys_have_weights_of_their_own() {
        let mut weights: Vec<u64> = (0..16)
            .flat_map(|key| names(10).into_iter().map(move |name| weight(key, &name)))
            .collect();
        weights.sort_unstable();
        weights.dedup();
        assert_eq!(weights.len(), 160);
    }

    proptest! {
        #[test]
        fn top_is_the_head_of_the_ranking(key: u64, size in 0_usize..40, count in 0_usize..10) {
            let names = names(size);
            let mut all = ranked(key, &names);
            all.truncate(count);
            prop_assert_eq!(top(key, &names, count), all);
        }

        #[test]
        fn losing_one_name_moves_only_its_own_keys(key: u64, size in 2_usize..40) {
            let names = names(size);
            let before = ranked(key, &names);
            let after = ranked(key, names.iter().filter(|name| **name != before[size - 1]));
            prop_assert_eq!(&before[..size - 1], &after[..]);
        }
    }

    #[test]
    fn neighbours_are_mutual_bounded_and_connected() {
        for size in [1, 2, 3, 10, 64, 630] {
            let names = names(size);
            let of = |me: &Name| ring_neighbours(9, &names, me, RING_STEPS);
            let mut reached = vec![names[0].clone()];
            let mut next = 0;
            while next < reached.len() {
                let near = of(&reached[next]);
                assert!(near.len() <= 2 * RING_STEPS as usize, "{size}");
                for name in near {
                    assert!(of(&name).contains(&reached[next]), "{size}: {name}");
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
