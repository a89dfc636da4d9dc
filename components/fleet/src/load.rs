//! A load generator: simulated callers that send requests to the entries of a fleet.

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use tokio::task::JoinSet;
use utils::clock::Clock;

use crate::client::{
    Client,
    Failure, //
};
use crate::tally::Tally;

/// Number and behaviour of the callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadShape {
    /// Number of callers of each team. Each caller sends one request at a time.
    pub callers: Vec<(String, usize)>,
    /// Number of tokens that each request asks for.
    pub tokens: usize,
    /// Time that a caller waits after a response.
    pub pause: Duration,
    /// Number of different prompts.
    pub prompts: u64,
}

impl LoadShape {
    /// Returns a load of `callers` callers of one team.
    pub fn of(callers: usize) -> Self {
        Self {
            callers: vec![("head-office".to_owned(), callers)],
            tokens: 8,
            pause: Duration::from_millis(20),
            prompts: 32,
        }
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the callers. Their requests go to `entries` in round-robin order.
    pub fn start(shape: &LoadShape, entries: Vec<SocketAddr>, clock: Arc<dyn Clock>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let next_request = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for (team, count) in &shape.callers {
            for _ in 0..*count {
                let caller = Caller {
                    client: Client::new(clock.clone()),
                    clock: clock.clone(),
                    team: team.clone(),
                    shape: shape.clone(),
                    entries: entries.clone(),
                    next_request: next_request.clone(),
                    stop: stop.clone(),
                    tally: tally.clone(),
                };
                tasks.spawn(caller.run());
            }
        }
        Self { stop, tally, tasks }
    }

    /// Returns the results so far.
    pub fn tally(&self) -> Tally {
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.clone()
    }

    /// Stops the callers after their current requests and returns the results.
    pub async fn finish(mut self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.tally()
    }
}

struct Caller {
    client: Client,
    clock: Arc<dyn Clock>,
    team: String,
    shape: LoadShape,
    entries: Vec<SocketAddr>,
    next_request: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
}

impl Caller {
    async fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next_request.fetch_add(1, Ordering::Relaxed);
            let entry = self.entries[number as usize % self.entries.len()];
            let prompt = format!("prompt {}", number % self.shape.prompts.max(1));
            let tokens = self.shape.tokens;
            let completion = self.client.complete(entry, &self.team, &prompt, tokens);
            let result = completion.await;
            let now = self.clock.now().elapsed;
            self.lock_tally().count(now, &self.team, &result);
            let pause = match &result {
                Err(Failure::NotRun { retry_after_ms, .. }) => {
                    Duration::from_millis(retry_after_ms.unwrap_or(100))
                }
                _ => self.shape.pause,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn lock_tally(&self) -> std::sync::MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
