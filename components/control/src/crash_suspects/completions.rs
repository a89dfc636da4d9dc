//! The requests, and parts of prompts, that ran to completion.

use std::hash::Hash;
use std::time::Duration;

use lru::LruCache;
use protocol::{
    Fingerprint,
    PromptPartId,
    Suspect, //
};

use super::SUSPICION_TIME;

/// The numbers of requests and of parts that are remembered.
const MAX_COMPLETIONS: usize = 4096;

/// When this process last saw requests and parts of prompts run to completion.
#[derive(Clone, Debug)]
pub(super) struct Completions {
    requests: LruCache<Fingerprint, Duration>,
    parts: LruCache<PromptPartId, Duration>,
}

impl Default for Completions {
    fn default() -> Self {
        Self {
            // A cache with a capacity allocates all of it at once.
            requests: LruCache::unbounded(),
            parts: LruCache::unbounded(),
        }
    }
}

impl Completions {
    pub fn add(&mut self, now: Duration, suspect: Suspect) {
        match suspect {
            Suspect::Request(fingerprint) => put(&mut self.requests, fingerprint, now),
            Suspect::PromptPart(part) => put(&mut self.parts, part, now),
        }
    }

    /// Whether it completed within [`SUSPICION_TIME`].
    pub fn contains(&self, now: Duration, suspect: Suspect) -> bool {
        let completed_at = match suspect {
            Suspect::Request(fingerprint) => self.requests.peek(&fingerprint),
            Suspect::PromptPart(part) => self.parts.peek(&part),
        };
        completed_at.is_some_and(|at| now.saturating_sub(*at) < SUSPICION_TIME)
    }
}

fn put<K: Hash + Eq>(cache: &mut LruCache<K, Duration>, key: K, now: Duration) {
    cache.put(key, now);
    if cache.len() > MAX_COMPLETIONS {
        cache.pop_lru();
    }
}
