//! Processes that are short of processor time or stand still.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

/// A time in which a process runs only in a part of each period.
struct Stall {
    process: usize,
    began: Instant,
    ends: Instant,
    period: Duration,
    /// How long it runs at the end of each period.
    running: Duration,
}

impl Stall {
    fn stops_process(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.began).as_millis();
        now < self.ends
            && since % self.period.as_millis() < (self.period - self.running).as_millis()
    }
}

/// The stalls of all processes, which may overlap.
#[derive(Default)]
pub struct Stalls(Vec<Stall>);

impl Stalls {
    /// Lets the process run in a small part of the time only, as on an instance with a share of a core.
    pub fn starve(&mut self, rng: &mut Pcg64Mcg, process: usize) -> Instant {
        let running = Duration::from_millis(rng.random_range(10..40));
        let period = Duration::from_millis(rng.random_range(80..500));
        let time = Duration::from_millis(rng.random_range(500..6000));
        self.add(process, period, running, time)
    }

    /// Lets the process stand still once for up to seven seconds.
    pub fn halt(&mut self, rng: &mut Pcg64Mcg, process: usize) -> Instant {
        let time = Duration::from_millis(rng.random_range(500..7000));
        self.add(process, time, Duration::ZERO, time)
    }

    fn add(
        &mut self,
        process: usize,
        period: Duration,
        running: Duration,
        time: Duration,
    ) -> Instant {
        let began = Instant::now();
        let ends = began + time;
        self.0.push(Stall {
            process,
            began,
            ends,
            period,
            running,
        });
        ends
    }

    pub fn is_stopped(&self, process: usize, now: Instant) -> bool {
        let mut own = self.0.iter().filter(|stall| stall.process == process);
        own.any(|stall| stall.stops_process(now))
    }

    pub fn end_all(&mut self) {
        self.0.clear();
    }
}
