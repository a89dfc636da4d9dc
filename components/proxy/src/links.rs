//! Pacing of links: live requests go first, weights take what is left.

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

/// The longest time of unused rate that is saved up.
const BURST: Duration = Duration::from_millis(20);

/// Bytes that are sent between two looks at the pacers.
pub(crate) const SLICE_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Level {
    rate: f64,
    /// Bytes that may go now; negative while bytes already sent are paid off.
    available: f64,
    at: Duration,
    total: u64,
}

/// A token bucket.
pub struct Pacer {
    clock: Arc<dyn Clock>,
    level: Mutex<Level>,
}

impl fmt::Debug for Pacer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pacer")
            .field("level", &self.level)
            .finish_non_exhaustive()
    }
}

impl Pacer {
    /// Makes a pacer for `rate` bytes a second.
    pub fn new(clock: Arc<dyn Clock>, rate: f64) -> Self {
        let level = Level {
            rate,
            available: 0.0,
            at: clock.now().elapsed,
            total: 0,
        };
        Self {
            clock,
            level: Mutex::new(level),
        }
    }

    /// Changes the rate.
    pub fn set_rate(&self, rate: f64) {
        self.refilled(|level| level.rate = rate);
    }

    /// Bytes that went through.
    pub fn total(&self) -> u64 {
        self.refilled(|level| level.total)
    }

    /// Notes bytes of live requests, which do not wait. Weights wait for them.
    pub fn note_live(&self, bytes: usize) {
        self.refilled(|level| level.available -= bytes as f64);
    }

    /// Waits until `bytes` of weights may go.
    pub async fn take(&self, bytes: usize) {
        let wait = self.refilled(|level| {
            level.available -= bytes as f64;
            level.total += bytes as u64;
            Duration::from_secs_f64((-level.available / level.rate).max(0.0))
        });
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn refilled<R>(&self, change: impl FnOnce(&mut Level) -> R) -> R {
        let now = self.clock.now().elapsed;
        let mut level = self.level.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = now.saturating_sub(level.at).as_secs_f64();
        let most = level.rate * BURST.as_secs_f64();
        level.available = (level.available + passed * level.rate).min(most);
        level.at = now;
        change(&mut level)
    }
}

/// The links of one instance.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The instance's link, outwards.
    pub up: Option<Arc<Pacer>>,
    /// The instance's link, inwards.
    pub down: Option<Arc<Pacer>>,
    /// This instance's part of the link to other regions, where the link itself is not known.
    pub region: Option<Arc<Pacer>>,
    /// The links between regions, by the region that sends and the one that receives.
    pub between: BTreeMap<(Name, Name), Arc<Pacer>>,
}

impl Links {
    /// Waits until `bytes` may leave this instance in `from` for the region `to`.
    pub async fn send(&self, bytes: usize, from: &Name, to: &Name) {
        if let Some(pacer) = self.link_between(from, to) {
            pacer.take(bytes).await;
        }
        if let Some(pacer) = &self.up {
            pacer.take(bytes).await;
        }
    }

    /// Waits until `bytes` may reach this instance.
    pub async fn receive(&self, bytes: usize) {
        if let Some(pacer) = &self.down {
            pacer.take(bytes).await;
        }
    }

    /// Notes bytes of live requests that passed this instance.
    pub fn note_live(&self, bytes: usize) {
        for pacer in self.up.iter().chain(&self.down) {
            pacer.note_live(bytes);
        }
    }

    /// The link between two regions, if it is paced.
    pub fn link_between(&self, from: &Name, to: &Name) -> Option<&Arc<Pacer>> {
        if from == to {
            return None;
        }
        let link = self.between.get(&(from.clone(), to.clone()));
        link.or(self.region.as_ref())
    }
}

#[cfg(test)]
mod tests {
    use std::time::SystemTime;

    use utils::clock::ManualClock;

    use super::*;

    #[tokio::test(start_paused = true)]
    async fn weights_wait_for_their_rate_and_for_live_bytes() {
        let clock = Arc::new(ManualClock::new(SystemTime::UNIX_EPOCH));
        let pacer = Pacer::new(clock.clone(), 1000.0);
        let before = tokio::time::Instant::now();
        pacer.take(100).await;
        assert_eq!(before.elapsed().as_millis(), 100);
        pacer.note_live(300);
        pacer.take(100).await;
        // 100 of the first take are not paid off, since the manual clock stands still.
        assert_eq!(before.elapsed().as_millis(), 600);
        clock.advance(Duration::from_secs(10));
        pacer.take(20).await;
        assert_eq!(before.elapsed().as_millis(), 600);
        assert_eq!(pacer.total(), 220);
    }
}
