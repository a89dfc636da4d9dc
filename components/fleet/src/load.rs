//! A load generator: concurrent callers that send requests to the entries of a fleet.

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
use crate::results::LoadResults;

/// Number and behaviour of the callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Number of callers of each team. Each caller sends one request at a time.
    pub callers_per_team: Vec<(String, usize)>,
    /// Number of tokens that each request asks for.
    pub tokens_per_request: usize,
    /// Time that a caller waits after a response.
    pub think_time: Duration,
    /// Number of different prompts.
    pub distinct_prompts: u64,
}

impl LoadOptions {
    /// Returns a load of `callers` callers of one team.
    pub fn with_callers(callers: usize) -> Self {
        Self {
            callers_per_team: vec![("head-office".to_owned(), callers)],
            tokens_per_request: 8,
            think_time: Duration::from_millis(20),
            distinct_prompts: 32,
        }
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<LoadResults>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the callers. Their requests go to `entries` in round-robin order.
    pub fn start(options: &LoadOptions, entries: Vec<SocketAddr>, clock: Arc<dyn Clock>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let results = Arc::new(Mutex::new(LoadResults::default()));
        let next_request = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for (team, count) in &options.callers_per_team {
            for _ in 0..*count {
                let caller = Caller {
                    client: Client::new(clock.clone()),
                    clock: clock.clone(),
                    team: team.clone(),
                    options: options.clone(),
                    entries: entries.clone(),
                    next_request: next_request.clone(),
                    stop: stop.clone(),
                    results: results.clone(),
                };
                tasks.spawn(caller.run());
            }
        }
        Self {
            stop,
            results,
            tasks,
        }
    }

    /// Returns the results so far.
    pub fn results(&self) -> LoadResults {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.clone()
    }

    /// Stops the callers after their current requests and returns the results.
    pub async fn finish(mut self) -> LoadResults {
        self.stop.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.results()
    }
}

struct Caller {
    client: Client,
    clock: Arc<dyn Clock>,
    team: String,
    options: LoadOptions,
    entries: Vec<SocketAddr>,
    next_request: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    results: Arc<Mutex<LoadResults>>,
}

impl Caller {
    async fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            let number = self.next_request.fetch_add(1, Ordering::Relaxed);
            let entry = self.entries[number as usize % self.entries.len()];
            let prompt = format!("prompt {}", number % self.options.distinct_prompts.max(1));
            let tokens = self.options.tokens_per_request;
            let completion = self.client.complete(entry, &self.team, &prompt, tokens);
            let result = completion.await;
            let now = self.clock.now().elapsed;
            self.lock_results().record(now, &self.team, &result);
            let pause = match &result {
                Err(Failure::NotRun { retry_after_ms, .. }) => {
                    Duration::from_millis(retry_after_ms.unwrap_or(100))
                }
                _ => self.options.think_time,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn lock_results(&self) -> std::sync::MutexGuard<'_, LoadResults> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
