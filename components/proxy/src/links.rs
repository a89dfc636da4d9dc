//! Rate limits of network links: live requests have priority, weights get the remaining rate.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use utils::clock::Clock;
use utils::Name;

/// The longest time for which unused rate is accumulated.
const MAX_BURST_TIME: Duration = Duration::from_millis(20);

/// Bytes that are sent or received between two checks of the pacers.
pub(crate) const TRANSFER_SLICE_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Bucket {
    bytes_per_second: f64,
    /// Bytes that may be sent now; negative if more were sent than the rate has allowed so far.
    available_bytes: f64,
    refilled_at: Duration,
    total_bytes: u64,
}

/// A token bucket that limits the rate of weights on one link.
pub struct Pacer {
    clock: Arc<dyn Clock>,
    bucket: Mutex<Bucket>,
}

impl fmt::Debug for Pacer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pacer")
            .field("bucket", &self.bucket)
            .finish_non_exhaustive()
    }
}

impl Pacer {
    /// Makes a pacer for a rate in bytes per second.
    pub fn new(clock: Arc<dyn Clock>, bytes_per_second: f64) -> Self {
        let bucket = Bucket {
            bytes_per_second,
            available_bytes: 0.0,
            refilled_at: clock.now().elapsed,
            total_bytes: 0,
        };
        Self {
            clock,
            bucket: Mutex::new(bucket),
        }
    }

    /// Changes the rate, in bytes per second.
    pub fn set_rate(&self, bytes_per_second: f64) {
        self.with_refilled_bucket(|bucket| bucket.bytes_per_second = bytes_per_second);
    }

    /// Bytes of weights that were sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.with_refilled_bucket(|bucket| bucket.total_bytes)
    }

    /// Records bytes of live requests. These do not wait, but weights sent later wait longer.
    pub fn record_live_bytes(&self, bytes: usize) {
        self.with_refilled_bucket(|bucket| bucket.available_bytes -= bytes as f64);
    }

    /// Waits until `bytes` bytes of weights may be sent.
    pub async fn acquire(&self, bytes: usize) {
        let wait = self.with_refilled_bucket(|bucket| {
            bucket.available_bytes -= bytes as f64;
            bucket.total_bytes += bytes as u64;
            let wait_seconds = -bucket.available_bytes / bucket.bytes_per_second;
            Duration::from_secs_f64(wait_seconds.max(0.0))
        });
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn with_refilled_bucket<R>(&self, access: impl FnOnce(&mut Bucket) -> R) -> R {
        let now = self.clock.now().elapsed;
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed_seconds = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        let max_bytes = bucket.bytes_per_second * MAX_BURST_TIME.as_secs_f64();
        let refilled_bytes = bucket.available_bytes + elapsed_seconds * bucket.bytes_per_second;
        bucket.available_bytes = refilled_bytes.min(max_bytes);
        bucket.refilled_at = now;
        access(&mut bucket)
    }
}

/// The rate limits of the network links of one instance.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The outgoing direction of the instance's link.
    pub outgoing: Option<Arc<Pacer>>,
    /// The incoming direction of the instance's link.
    pub incoming: Option<Arc<Pacer>>,
    /// This instance's share of the link to another region, if `between_regions` has no entry for
    /// it.
    pub other_regions: Option<Arc<Pacer>>,
    /// The links between regions, by sending and receiving region.
    pub between_regions: BTreeMap<(Name, Name), Arc<Pacer>>,
}

impl Links {
    /// Waits until `bytes` bytes may be sent from this instance, in region `from`, to region `to`.
    pub async fn wait_to_send(&self, bytes: usize, from: &Name, to: &Name) {
        if let Some(pacer) = self.inter_region_link(from, to) {
            pacer.acquire(bytes).await;
        }
        if let Some(pacer) = &self.outgoing {
            pacer.acquire(bytes).await;
        }
    }

    /// Waits until `bytes` bytes may be received by this instance.
    pub async fn wait_to_receive(&self, bytes: usize) {
        if let Some(pacer) = &self.incoming {
            pacer.acquire(bytes).await;
        }
    }

    /// Records bytes of live requests, in both directions of the instance's link.
    pub fn record_live_bytes(&self, bytes: usize) {
        for pacer in self.outgoing.iter().chain(&self.incoming) {
            pacer.record_live_bytes(bytes);
        }
    }

    /// The pacer of the link between two regions, if that link is limited.
    pub fn inter_region_link(&self, from: &Name, to: &Name) -> Option<&Arc<Pacer>> {
        if from == to {
            return None;
        }
        let link = self.between_regions.get(&(from.clone(), to.clone()));
        link.or(self.other_regions.as_ref())
    }
}

#[cfg(test)]
mod tests {
    use std::time::SystemTime;

    use utils::clock::ManualClock;

    use super::*;

    #[tokio::test(start_paused = true)]
    async fn weights_get_the_rate_that_live_bytes_leave() {
        let clock = Arc::new(ManualClock::new(SystemTime::UNIX_EPOCH));
        let pacer = Pacer::new(clock.clone(), 1000.0);
        let before = tokio::time::Instant::now();
        pacer.acquire(100).await;
        assert_eq!(before.elapsed().as_millis(), 100);
        pacer.record_live_bytes(300);
        pacer.acquire(100).await;
        // The manual clock does not advance, so the bucket still lacks the first 100 bytes.
        assert_eq!(before.elapsed().as_millis(), 600);
        clock.advance(Duration::from_secs(10));
        pacer.acquire(20).await;
        assert_eq!(before.elapsed().as_millis(), 600);
        assert_eq!(pacer.sent_bytes(), 220);
    }
}
