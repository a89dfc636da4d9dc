//! Requests that may run at most once.
//!
//! One agent process decides for each ticket or key, from what it remembers itself. A ticket
//! names that process. A key names it through its issue time: the sheet that vouches for that
//! time names the home, and only a process that was up before that time knows that it has not
//! run the key.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    SystemTime, //
};

use protocol::{
    Guard,
    KeyState,
    Outcome,
    Refusal,
    Ticket, //
};
use sheet::{
    Service,
    Sheet, //
};
use utils::clock::Now;
use utils::Name;
use uuid::Uuid;

/// Settings of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceOptions {
    /// How long a key is remembered after its issue time.
    pub memory: Duration,
    /// How far the clocks of callers may be off.
    pub skew: Duration,
    /// Keys remembered at most.
    pub keys: usize,
}

impl Default for OnceOptions {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(3600),
            skew: Duration::from_secs(5),
            keys: 200_000,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    state: KeyState,
    since: Duration,
}

/// The table of one agent process.
#[derive(Clone, Debug)]
pub struct Once {
    me: Name,
    incarnation: u64,
    options: OnceOptions,
    started: Now,
    tickets: u64,
    keys: BTreeMap<Guard, Entry>,
}

impl Once {
    /// Makes the empty table of the process `incarnation` on the instance `me`.
    pub fn new(me: Name, incarnation: u64, options: OnceOptions, started: Now) -> Self {
        Self {
            me,
            incarnation,
            options,
            started,
            tickets: 0,
            keys: BTreeMap::new(),
        }
    }

    /// Issues a ticket.
    pub fn ticket(&mut self, now: Now) -> Ticket {
        self.tickets += 1;
        Ticket {
            agent: self.me.clone(),
            incarnation: self.incarnation,
            issued_ms: millis(now.elapsed),
            number: self.tickets,
        }
    }

    /// Whether a request with this guard may run here now, and what to answer if not.
    pub fn check(
        &self,
        now: Now,
        guard: &Guard,
        sheet: Option<&Sheet>,
        service: Option<&Service>,
    ) -> Result<(), Outcome> {
        if matches!(guard, Guard::Repeatable | Guard::Unmarked) {
            return Ok(());
        }
        if let Some(entry) = self.keys.get(guard) {
            return Err(Outcome::Before(entry.state));
        }
        match guard {
            Guard::Ticket(ticket) => self.check_ticket(now, ticket)?,
            Guard::Key(key) => {
                // Without a sheet it is not known whose key it is.
                let sheet = sheet.ok_or(Outcome::Before(KeyState::Unknown))?;
                self.check_key(now, key, sheet, service)?;
            }
            Guard::Repeatable | Guard::Unmarked => {}
        }
        if self.keys.len() >= self.options.keys {
            return Err(Outcome::NotRun(Refusal::KeysFull));
        }
        Ok(())
    }

    /// Notes that the request is about to run.
    pub fn begin(&mut self, now: Duration, guard: &Guard) {
        self.note(now, guard, KeyState::Running);
    }

    /// Notes what came of a request that ran.
    pub fn end(&mut self, now: Duration, guard: &Guard, outcome: Outcome) {
        match outcome {
            Outcome::Ran { status } => self.note(now, guard, KeyState::Ran { status }),
            Outcome::Unknown { .. } => self.note(now, guard, KeyState::Unknown),
            Outcome::NotRun(_) => {
                self.keys.remove(guard);
            }
            Outcome::Before(_) => {}
        }
    }

    /// Forgets keys whose issue time is so old that [`Once::check`] no longer takes them.
    pub fn expire(&mut self, now: Duration) {
        let age = self.options.memory + 2 * self.options.skew;
        self.keys.retain(|_, entry| {
            entry.state == KeyState::Running || now.saturating_sub(entry.since) <= age
        });
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn note(&mut self, now: Duration, guard: &Guard, state: KeyState) {
        if matches!(guard, Guard::Ticket(_) | Guard::Key(_)) {
            let since = now;
            self.keys.insert(guard.clone(), Entry { state, since });
        }
    }

    fn check_ticket(&self, now: Now, ticket: &Ticket) -> Result<(), Outcome> {
        let mine = ticket.agent == self.me && ticket.incarnation == self.incarnation;
        let age = millis(now.elapsed).saturating_sub(ticket.issued_ms);
        // Another process may have run it, and so may this one if it has forgotten the ticket.
        if !mine || ticket.number > self.tickets || age > millis(self.options.memory) {
            return Err(Outcome::Before(KeyState::Unknown));
        }
        Ok(())
    }

    fn check_key(
        &self,
        now: Now,
        key: &Uuid,
        sheet: &Sheet,
        service: Option<&Service>,
    ) -> Result<(), Outcome> {
        let Some(stamp) = key_stamp(key) else {
            return Err(Outcome::NotRun(Refusal::NotHome));
        };
        let home = service.and_then(|service| service.home(key.as_u128(), stamp));
        if home.as_ref() != Some(&self.me) {
            return Err(Outcome::NotRun(Refusal::NotHome));
        }
        if stamp > sheet.published + sheet.home_horizon {
            return Err(Outcome::NotRun(Refusal::SheetTooOld));
        }
        if stamp > now.wall + self.options.skew {
            return Err(Outcome::NotRun(Refusal::StampAhead));
        }
        let too_old = stamp + self.options.memory < now.wall;
        let before_start = stamp < self.started.wall + self.options.skew;
        if too_old || before_start {
            return Err(Outcome::Before(KeyState::Unknown));
        }
        Ok(())
    }
}

/// The issue time in a UUID of version 7.
pub fn key_stamp(key: &Uuid) -> Option<SystemTime> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
