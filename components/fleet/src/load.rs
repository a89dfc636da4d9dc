//! A load of callers on the entries of a fleet.

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

/// How callers behave.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadShape {
    /// Callers of each team, each with one request at a time.
    pub callers: Vec<(String, usize)>,
    /// Tokens that each request asks for.
    pub tokens: usize,
    /// The pause of a caller after an answer.
    pub pause: Duration,
    /// Prompts that the callers share.
    pub prompts: u64,
}

impl LoadShape {
    /// Callers of one team.
    pub fn of(callers: usize) -> Self {
        Self {
            callers: vec![("head-office".to_owned(), callers)],
            tokens: 8,
            pause: Duration::from_millis(20),
            prompts: 32,
        }
    }
}

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the callers. A balancer deals their requests out to `entries` in turn.
    pub fn start(shape: &LoadShape, entries: Vec<SocketAddr>, clock: Arc<dyn Clock>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let tally = Arc::new(Mutex::new(Tally::default()));
        let turn = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for (team, count) in &shape.callers {
            for _ in 0..*count {
                let caller = Caller {
                    client: Client::new(clock.clone()),
                    clock: clock.clone(),
                    team: team.clone(),
                    shape: shape.clone(),
                    entries: entries.clone(),
                    turn: turn.clone(),
                    stop: stop.clone(),
                    tally: tally.clone(),
                };
                tasks.spawn(caller.run());
            }
        }
        Self { stop, tally, tasks }
    }

    /// What was counted so far.
    pub fn tally(&self) -> Tally {
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.clone()
    }

    /// Lets every request end, and returns what was counted.
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
    turn: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
}

impl Caller {
    async fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let entry = self.entries[turn as usize % self.entries.len()];
            let prompt = format!("prompt {}", turn % self.shape.prompts.max(1));
            let tokens = self.shape.tokens;
            let answer = self.client.complete(entry, &self.team, &prompt, tokens);
            let result = answer.await;
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
