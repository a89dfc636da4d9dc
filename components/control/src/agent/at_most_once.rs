//! At-most-once execution of requests that carry a ticket or an idempotency key.
//!
//! One agent process decides for each ticket or key, from its own table alone. A ticket names the
//! process that issued it. A key is a version 7 UUID: its issue time selects the home instance in
//! a sheet that covers that time. Only a process that started before the key was issued can know
//! that it has not run the key, so any other process answers "unknown".

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
use utils::clock::ClockReading;
use utils::millis::millis;
use utils::Name;
use uuid::Uuid;

/// Settings of the table of tickets and keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AtMostOnceOptions {
    /// How long a ticket or key is remembered after its issue time.
    pub retention: Duration,
    /// The maximum clock skew between callers and agents.
    pub max_clock_skew: Duration,
    /// The maximum number of remembered tickets and keys.
    pub max_keys: usize,
}

impl Default for AtMostOnceOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3600),
            max_clock_skew: Duration::from_secs(5),
            max_keys: 200_000,
        }
    }
}

#[derive(Clone, Debug)]
struct StoredState {
    state: KeyState,
    updated_at: Duration,
}

/// The tickets and keys that one agent process has accepted.
#[derive(Clone, Debug)]
pub struct AtMostOnceTable {
    instance: Name,
    incarnation: u64,
    options: AtMostOnceOptions,
    started_at: ClockReading,
    tickets_issued: u64,
    states: BTreeMap<Guard, StoredState>,
}

impl AtMostOnceTable {
    /// Creates an empty table for the agent process `incarnation` on `instance`.
    pub fn new(
        instance: Name,
        incarnation: u64,
        options: AtMostOnceOptions,
        started_at: ClockReading,
    ) -> Self {
        Self {
            instance,
            incarnation,
            options,
            started_at,
            tickets_issued: 0,
            states: BTreeMap::new(),
        }
    }

    /// Issues a new ticket.
    pub fn issue_ticket(&mut self, now: ClockReading) -> Ticket {
        self.tickets_issued += 1;
        Ticket {
            agent: self.instance.clone(),
            incarnation: self.incarnation,
            issued_ms: millis(now.elapsed),
            number: self.tickets_issued,
        }
    }

    /// Checks whether a request with this guard may run here now.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report to the caller if the request must not run.
    pub fn check(
        &self,
        now: ClockReading,
        guard: &Guard,
        sheet: Option<&Sheet>,
        service: Option<&Service>,
    ) -> Result<(), Outcome> {
        if matches!(guard, Guard::Repeatable | Guard::Unmarked) {
            return Ok(());
        }
        if let Some(stored) = self.states.get(guard) {
            return Err(Outcome::Before(stored.state));
        }
        match guard {
            Guard::Ticket(ticket) => self.check_ticket(now, ticket)?,
            Guard::Key(key) => {
                // Without a sheet the home instance of the key is not known.
                let sheet = sheet.ok_or(Outcome::Before(KeyState::Unknown))?;
                self.check_key(now, key, sheet, service)?;
            }
            Guard::Repeatable | Guard::Unmarked => {}
        }
        if self.states.len() >= self.options.max_keys {
            return Err(Outcome::NotRun(Refusal::KeysFull));
        }
        Ok(())
    }

    /// Marks the ticket or key of a request as running.
    pub fn mark_running(&mut self, now: Duration, guard: &Guard) {
        self.set_state(now, guard, KeyState::Running);
    }

    /// Stores the outcome of a request. A request that was not run may be sent again.
    pub fn record_outcome(&mut self, now: Duration, guard: &Guard, outcome: Outcome) {
        match outcome {
            Outcome::Ran { status } => self.set_state(now, guard, KeyState::Ran { status }),
            Outcome::Unknown { .. } => self.set_state(now, guard, KeyState::Unknown),
            Outcome::NotRun(_) => {
                self.states.remove(guard);
            }
            Outcome::Before(_) => {}
        }
    }

    /// Removes tickets and keys so old that [`AtMostOnceTable::check`] rejects them by age.
    pub fn expire(&mut self, now: Duration) {
        let max_age = self.options.retention + 2 * self.options.max_clock_skew;
        self.states.retain(|_, stored| {
            stored.state == KeyState::Running || now.saturating_sub(stored.updated_at) <= max_age
        });
    }

    /// The number of remembered tickets and keys.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no ticket or key is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn set_state(&mut self, now: Duration, guard: &Guard, state: KeyState) {
        if matches!(guard, Guard::Ticket(_) | Guard::Key(_)) {
            let stored = StoredState {
                state,
                updated_at: now,
            };
            self.states.insert(guard.clone(), stored);
        }
    }

    fn check_ticket(&self, now: ClockReading, ticket: &Ticket) -> Result<(), Outcome> {
        let is_issued_here =
            ticket.agent == self.instance && ticket.incarnation == self.incarnation;
        let age = millis(now.elapsed).saturating_sub(ticket.issued_ms);
        // Another process may have run it, or this one may have run and already forgotten it.
        if !is_issued_here
            || ticket.number > self.tickets_issued
            || age > millis(self.options.retention)
        {
            return Err(Outcome::Before(KeyState::Unknown));
        }
        Ok(())
    }

    fn check_key(
        &self,
        now: ClockReading,
        key: &Uuid,
        sheet: &Sheet,
        service: Option<&Service>,
    ) -> Result<(), Outcome> {
        let Some(issued_at) = key_issue_time(key) else {
            return Err(Outcome::NotRun(Refusal::NotHome));
        };
        let home = service.and_then(|service| service.home_of_key(key.as_u128(), issued_at));
        if home.as_ref() != Some(&self.instance) {
            return Err(Outcome::NotRun(Refusal::NotHome));
        }
        if issued_at > sheet.published + sheet.home_horizon {
            return Err(Outcome::NotRun(Refusal::SheetTooOld));
        }
        if issued_at > now.wall_clock + self.options.max_clock_skew {
            return Err(Outcome::NotRun(Refusal::StampAhead));
        }
        let is_too_old = issued_at + self.options.retention < now.wall_clock;
        let is_issued_before_start =
            issued_at < self.started_at.wall_clock + self.options.max_clock_skew;
        // This process cannot know whether an earlier one ran a key issued before its start.
        if is_too_old || is_issued_before_start {
            return Err(Outcome::Before(KeyState::Unknown));
        }
        Ok(())
    }
}

/// The issue time of a version 7 UUID; `None` for other versions.
pub fn key_issue_time(key: &Uuid) -> Option<SystemTime> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
}
