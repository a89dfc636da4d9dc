//! Follows what operators and targets publish, and tells the process of it.
//!
//! The source can be down, slow, refuse this process or forget its history. What was told before
//! stays in force then; the reducer's lease bounds for how long.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use control::router::config::Config;
use control::router::targets::TargetEntry;
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;
use thiserror::Error;
use utils::clock::Clock;
use utils::Name;

/// One thing that was published.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The newest configuration.
    Config(Arc<Config>),
    /// A target is there.
    Target(TargetEntry),
    /// The entry of a target is gone or names no target.
    NoTarget(Name),
    /// A data centre is to get nothing.
    Out(Name),
    /// A data centre may get requests again.
    In(Name),
    /// A version of a model's weights is to be served.
    Version(Name, u64),
}

/// Facts, and the revision of the source up to which they are whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// The facts in the order in which they were published.
    pub facts: Vec<Fact>,
    /// The revision.
    pub revision: u64,
}

/// Why the source told nothing.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum SourceError {
    /// the history since the last call is no longer there
    Compacted,
    /// refused with status {0}
    Refused(u16),
    /// unreachable: {0}
    Unreachable(String),
    /// cannot be read: {0}
    Unreadable(String),
}

type Answer = LocalBoxFuture<'static, Result<News, SourceError>>;

/// Where facts come from.
pub struct Source {
    /// Reads everything.
    pub read_all: Box<dyn Fn() -> Answer>,
    /// Waits for changes after a revision, for the time given at most.
    pub watch: Box<dyn Fn(u64, Duration) -> Answer>,
}

impl std::fmt::Debug for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

/// How the source is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedOptions {
    /// How long a call waits for changes. Each answer proves that the configuration is current, so
    /// this is well below the lease.
    pub wait: Duration,
    /// The pause after an answer, so that changes are told together. Each call is paid for.
    pub pause: Duration,
    /// The pause after a failure; spread by as much again.
    pub retry: Duration,
    /// How long entries may be missing that went while the source was away. They are back within
    /// two seconds of its return.
    pub outage_grace: Duration,
    /// How long entries may be missing that went soon after its return, or while its history was
    /// dropped. They may also have gone for good, so this is short.
    pub return_grace: Duration,
    /// How long after its return the latter holds.
    pub return_time: Duration,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(1000),
            pause: Duration::from_millis(600),
            retry: Duration::from_millis(250),
            outage_grace: Duration::from_millis(2500),
            return_grace: Duration::from_millis(800),
            return_time: Duration::from_millis(1500),
        }
    }
}

/// What the feed tells its process.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A fact.
    Fact {
        /// The fact.
        fact: Fact,
        /// How long a target whose entry is gone may still come back.
        grace: Duration,
        /// The fact was there when the process started.
        at_start: bool,
    },
    /// Everything was read: there are no other targets than these.
    AllTargets {
        /// The targets.
        names: Vec<Name>,
        /// How long others may still come back.
        grace: Duration,
    },
    /// All that was published before this time has been told.
    Current(Duration),
    /// The source was lost or is back.
    Source {
        /// Whether it answers.
        up: bool,
        /// What was seen.
        detail: Name,
    },
}

/// What was heard of the source so far.
struct Feed<F> {
    clock: Arc<dyn Clock>,
    tell: F,
    source: Source,
    options: FeedOptions,
    revision: Option<u64>,
    out: BTreeSet<Name>,
    started: bool,
    /// The source was away since the last answer.
    was_away: bool,
    /// When it first answered after it was away, or dropped its history.
    returned_at: Option<Duration>,
    is_up: bool,
}

/// Follows the source for as long as the future is polled, and hands what it says to `tell`.
pub async fn follow(
    clock: Arc<dyn Clock>,
    source: Source,
    options: FeedOptions,
    tell: impl FnMut(Told),
) {
    let mut feed = Feed {
        clock,
        tell,
        source,
        options,
        revision: None,
        out: BTreeSet::new(),
        started: false,
        was_away: false,
        returned_at: None,
        is_up: true,
    };
    loop {
        let pause = feed.ask().await;
        tokio::time::sleep(pause).await;
    }
}

impl<F: FnMut(Told)> Feed<F> {
    fn elapsed(&self) -> Duration {
        self.clock.now().elapsed
    }

    /// Asks once, and returns how long to pause then.
    async fn ask(&mut self) -> Duration {
        let sent = self.elapsed();
        let result = match self.revision {
            None => (self.source.read_all)().await,
            Some(revision) => (self.source.watch)(revision, self.options.wait).await,
        };
        match result {
            Ok(news) => {
                let whole = self.revision.is_none();
                self.take(news, whole);
                self.was_away = false;
                (self.tell)(Told::Current(sent));
                self.note_up();
                self.options.pause
            }
            Err(SourceError::Compacted) => {
                // Entries that went while the history was dropped are found missing by the next
                // reading, which may itself be in the middle of changes.
                self.returned_at = Some(self.elapsed());
                self.revision = None;
                Duration::ZERO
            }
            Err(e) => {
                self.was_away = true;
                self.note_down(&e);
                self.options.retry.mul_f64(1.0 + rand::random::<f64>())
            }
        }
    }

    fn take(&mut self, news: News, whole: bool) {
        let grace = self.grace();
        let mut listed: Vec<Name> = Vec::new();
        let mut out: BTreeSet<Name> = BTreeSet::new();
        for fact in news.facts {
            match &fact {
                Fact::Target(entry) => listed.push(entry.id.clone()),
                Fact::Out(name) => {
                    out.insert(name.clone());
                }
                _ => {}
            }
            self.tell_fact(fact, grace);
        }
        if whole {
            (self.tell)(Told::AllTargets {
                names: listed,
                grace,
            });
            let back: Vec<Name> = self.out.difference(&out).cloned().collect();
            for name in back {
                self.tell_fact(Fact::In(name), grace);
            }
        }
        self.started = true;
        self.revision = Some(news.revision.max(self.revision.unwrap_or_default()));
    }

    /// How long a target whose entry is gone by this answer may still come back.
    fn grace(&mut self) -> Duration {
        let now = self.elapsed();
        if self.was_away {
            self.returned_at = Some(now);
            return self.options.outage_grace;
        }
        let is_back = |at: Duration| now.saturating_sub(at) < self.options.return_time;
        if self.returned_at.is_some_and(is_back) {
            self.options.return_grace
        } else {
            Duration::ZERO
        }
    }

    fn tell_fact(&mut self, fact: Fact, grace: Duration) {
        match &fact {
            Fact::Out(name) => {
                self.out.insert(name.clone());
            }
            Fact::In(name) => {
                self.out.remove(name);
            }
            _ => {}
        }
        (self.tell)(Told::Fact {
            fact,
            grace,
            at_start: !self.started,
        });
    }

    fn note_up(&mut self) {
        if !self.is_up {
            self.is_up = true;
            let detail = "answers again".into();
            (self.tell)(Told::Source { up: true, detail });
        }
    }

    fn note_down(&mut self, e: &SourceError) {
        metrics::counter!("medlarproxy_platform_failures_total").increment(1);
        if self.is_up {
            self.is_up = false;
            let detail = e.to_string().into();
            (self.tell)(Told::Source { up: false, detail });
        }
    }
}
