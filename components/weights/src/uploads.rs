//! Upload slots and the queue before them.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::Piece;

/// Why a piece is not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// Every slot and the queue are taken.
    Busy,
    /// The piece is not here yet.
    NotYet,
    /// Another manifest is spread here.
    OtherManifest,
}

#[derive(Clone, Debug)]
struct Waiting {
    token: u64,
    piece: Piece,
    until: Duration,
}

/// Requests for pieces that other instances make of this one.
#[derive(Clone, Debug)]
pub struct Uploads {
    slots: usize,
    queue_limit: usize,
    running: Vec<u64>,
    queue: VecDeque<Waiting>,
    parked: Vec<Waiting>,
}

impl Uploads {
    /// Makes the state with `slots` uploads at once and `queue_limit` more that wait.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            running: Vec::new(),
            queue: VecDeque::new(),
            parked: Vec::new(),
        }
    }

    /// How many uploads run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes a request for a piece that is held. Returns whether it may start at once.
    pub fn request(&mut self, token: u64, piece: Piece) -> Result<bool, Denial> {
        if self.running.len() < self.slots {
            self.running.push(token);
            return Ok(true);
        }
        if self.queue.len() >= self.queue_limit {
            return Err(Denial::Busy);
        }
        let until = Duration::MAX;
        self.queue.push_back(Waiting {
            token,
            piece,
            until,
        });
        Ok(false)
    }

    /// Holds a request for a piece that is still to come.
    pub fn park(&mut self, token: u64, piece: Piece, until: Duration) -> Result<(), Denial> {
        if self.parked.len() >= self.queue_limit.max(1) * 8 {
            return Err(Denial::NotYet);
        }
        self.parked.push(Waiting {
            token,
            piece,
            until,
        });
        Ok(())
    }

    /// Takes out the parked requests for `piece`.
    pub fn unpark(&mut self, piece: Piece) -> Vec<u64> {
        let (ready, rest) = self.parked.drain(..).partition(|w| w.piece == piece);
        self.parked = rest;
        let ready: Vec<Waiting> = ready;
        ready.into_iter().map(|w| w.token).collect()
    }

    /// Takes out the parked requests that have waited long enough.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let (late, rest) = self.parked.drain(..).partition(|w| w.until <= now);
        self.parked = rest;
        let late: Vec<Waiting> = late;
        late.into_iter().map(|w| w.token).collect()
    }

    /// Ends the upload or request `token`. Returns the one that takes over its slot.
    pub fn end(&mut self, token: u64) -> Option<(u64, Piece)> {
        self.parked.retain(|w| w.token != token);
        self.queue.retain(|w| w.token != token);
        let before = self.running.len();
        self.running.retain(|t| *t != token);
        if self.running.len() == before {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next.token);
        Some((next.token, next.piece))
    }

    /// Takes out every request that has not started.
    pub fn clear_waiting(&mut self) -> Vec<u64> {
        let queued = self.queue.drain(..);
        queued
            .chain(self.parked.drain(..))
            .map(|w| w.token)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slots_queue_and_denial_in_order() {
        let mut uploads = Uploads::new(1, 1);
        assert_eq!(uploads.request(1, 5), Ok(true));
        assert_eq!(uploads.request(2, 6), Ok(false));
        assert_eq!(uploads.request(3, 7), Err(Denial::Busy));
        assert_eq!(uploads.end(1), Some((2, 6)));
        assert_eq!(uploads.end(2), None);
        assert_eq!(uploads.running(), 0);
    }

    #[test]
    fn a_queued_request_that_ends_frees_no_slot() {
        let mut uploads = Uploads::new(1, 4);
        assert_eq!(uploads.request(1, 5), Ok(true));
        assert_eq!(uploads.request(2, 6), Ok(false));
        assert_eq!(uploads.end(2), None);
        assert_eq!(uploads.running(), 1);
    }

    #[test]
    fn parked_requests_leave_by_piece_or_by_time() {
        let mut uploads = Uploads::new(1, 1);
        uploads.park(1, 5, Duration::from_secs(1)).unwrap();
        uploads.park(2, 6, Duration::from_secs(1)).unwrap();
        uploads.park(3, 6, Duration::from_secs(2)).unwrap();
        assert_eq!(uploads.unpark(5), vec![1]);
        assert_eq!(uploads.expire(Duration::from_secs(1)), vec![2]);
        assert_eq!(uploads.unpark(6), vec![3]);
    }
}
