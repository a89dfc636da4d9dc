//! The places at one engine that processes have reserved.
//!
//! Every process that sends requests to an engine knows only its own. The agent beside the engine
//! counts them all, so that each learns exactly what stands before its next request.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use protocol::Backlog;

/// The time over which a rate of requests is judged.
const RATE_TIME: Duration = Duration::from_secs(1);

/// The reservations that are in force.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    next: u64,
    /// Tokens that the engine has yet to read, by reservation.
    unread: BTreeMap<u64, u32>,
    /// When the places of the last second were reserved.
    recent: VecDeque<Duration>,
}

impl Reservations {
    /// Places that were reserved in the last second.
    pub fn in_last_second(&mut self, now: Duration) -> u32 {
        let is_old = |at: &Duration| now.saturating_sub(*at) >= RATE_TIME;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        u32::try_from(self.recent.len()).unwrap_or(u32::MAX)
    }

    /// Reserves a place for a prompt of `tokens`. Returns its number and what stands before it.
    pub fn reserve(&mut self, now: Duration, tokens: u32) -> (u64, Backlog) {
        let ahead = self.backlog();
        let number = self.next;
        self.next += 1;
        self.in_last_second(now);
        self.recent.push_back(now);
        self.unread.insert(number, tokens);
        (number, ahead)
    }

    /// The engine has read the prompt. Does nothing if the reservation has ended.
    pub fn read(&mut self, number: u64) {
        if let Some(tokens) = self.unread.get_mut(&number) {
            *tokens = 0;
        }
    }

    /// Ends a reservation.
    pub fn release(&mut self, number: u64) {
        self.unread.remove(&number);
    }

    /// What the engine has to do.
    pub fn backlog(&self) -> Backlog {
        let unread = self.unread.values().copied();
        Backlog {
            requests: u32::try_from(self.unread.len()).unwrap_or(u32::MAX),
            unread: unread.fold(0, u32::saturating_add),
        }
    }
}
