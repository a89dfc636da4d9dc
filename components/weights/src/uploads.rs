//! Upload slots and the requests that wait for one.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::Piece;

/// Deferred requests allowed for each place in the queue.
const DEFERRED_PER_QUEUE_PLACE: usize = 8;

/// Why a piece is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// Every upload slot is in use and the queue is full.
    Busy,
    /// This instance does not hold the piece yet.
    PieceNotHeld,
    /// This instance does not distribute this manifest.
    ManifestMismatch,
}

/// A request for a piece by another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// Identifies the request until it ends.
    pub token: u64,
    /// The piece.
    pub piece: Piece,
    /// Whether it comes from another region. Such requests are served first, since a whole region
    /// waits for the piece.
    pub is_from_other_region: bool,
    /// How many positions after this instance the requester comes in the rotation of the region.
    /// Uploads start with the nearest, so that the instances do not all send to the same one first.
    pub rotation_distance: u32,
}

/// A request for a piece that is not held yet.
#[derive(Clone, Debug)]
struct DeferredRequest {
    request: PieceRequest,
    until: Duration,
}

/// The requests of other instances for pieces: active uploads, those queued for a slot, and those
/// deferred until the piece arrives.
#[derive(Clone, Debug)]
pub struct Uploads {
    slots: usize,
    queue_limit: usize,
    active: Vec<u64>,
    queue: VecDeque<PieceRequest>,
    deferred: Vec<DeferredRequest>,
}

impl Uploads {
    /// Allows `slots` concurrent uploads and `queue_limit` queued ones.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            active: Vec::new(),
            queue: VecDeque::new(),
            deferred: Vec::new(),
        }
    }

    /// The number of active uploads.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Adds a request for a piece that is held. Returns whether its upload may start at once.
    pub fn submit(&mut self, request: PieceRequest) -> Result<bool, Denial> {
        if self.active.len() < self.slots {
            self.active.push(request.token);
            return Ok(true);
        }
        if self.queue.len() >= self.queue_limit {
            return Err(Denial::Busy);
        }
        if request.is_from_other_region {
            let position = self
                .queue
                .partition_point(|queued| queued.is_from_other_region);
            self.queue.insert(position, request);
        } else {
            self.queue.push_back(request);
        }
        Ok(false)
    }

    /// Keeps a request for a piece that is not held yet, until `until` at the latest.
    pub fn defer(&mut self, request: PieceRequest, until: Duration) -> Result<(), Denial> {
        if self.deferred.len() >= self.queue_limit.max(1) * DEFERRED_PER_QUEUE_PLACE {
            return Err(Denial::PieceNotHeld);
        }
        self.deferred.push(DeferredRequest { request, until });
        Ok(())
    }

    /// Removes and returns the deferred requests for `piece`: those of other regions first, then by
    /// rotation distance.
    pub fn take_deferred(&mut self, piece: Piece) -> Vec<PieceRequest> {
        let (ready, rest) = self
            .deferred
            .drain(..)
            .partition(|deferred| deferred.request.piece == piece);
        self.deferred = rest;
        let ready: Vec<DeferredRequest> = ready;
        let mut ready: Vec<PieceRequest> =
            ready.into_iter().map(|deferred| deferred.request).collect();
        ready.sort_by_key(|request| (!request.is_from_other_region, request.rotation_distance));
        ready
    }

    /// Removes the deferred requests whose time is over and returns their tokens.
    pub fn take_expired(&mut self, now: Duration) -> Vec<u64> {
        let (expired, rest) = self
            .deferred
            .drain(..)
            .partition(|deferred| deferred.until <= now);
        self.deferred = rest;
        let expired: Vec<DeferredRequest> = expired;
        expired
            .into_iter()
            .map(|deferred| deferred.request.token)
            .collect()
    }

    /// Ends the upload or request `token`. Returns the queued request that gets the freed slot.
    pub fn finish(&mut self, token: u64) -> Option<(u64, Piece)> {
        self.deferred
            .retain(|deferred| deferred.request.token != token);
        self.queue.retain(|queued| queued.token != token);
        let active_before = self.active.len();
        self.active.retain(|active| *active != token);
        if self.active.len() == active_before {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.active.push(next.token);
        Some((next.token, next.piece))
    }

    /// Removes every request whose upload has not started and returns their tokens.
    pub fn take_waiting(&mut self) -> Vec<u64> {
        let deferred = self.deferred.drain(..).map(|deferred| deferred.request);
        let waiting = self.queue.drain(..).chain(deferred);
        waiting.map(|request| request.token).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn from_same_region(token: u64, piece: Piece) -> PieceRequest {
        PieceRequest {
            token,
            piece,
            is_from_other_region: false,
            rotation_distance: 0,
        }
    }

    fn from_other_region(token: u64, piece: Piece) -> PieceRequest {
        PieceRequest {
            is_from_other_region: true,
            ..from_same_region(token, piece)
        }
    }

    #[test]
    fn requests_take_a_slot_then_queue_then_are_denied() {
        let mut uploads = Uploads::new(1, 1);
        assert_eq!(uploads.submit(from_same_region(1, 5)), Ok(true));
        assert_eq!(uploads.submit(from_same_region(2, 6)), Ok(false));
        assert_eq!(uploads.submit(from_same_region(3, 7)), Err(Denial::Busy));
        assert_eq!(uploads.finish(1), Some((2, 6)));
        assert_eq!(uploads.finish(2), None);
        assert_eq!(uploads.active(), 0);
    }

    #[test]
    fn a_queued_request_that_ends_frees_no_slot() {
        let mut uploads = Uploads::new(1, 4);
        assert_eq!(uploads.submit(from_same_region(1, 5)), Ok(true));
        assert_eq!(uploads.submit(from_same_region(2, 6)), Ok(false));
        assert_eq!(uploads.finish(2), None);
        assert_eq!(uploads.active(), 1);
    }

    #[test]
    fn deferred_requests_end_when_the_piece_arrives_or_on_expiry() {
        let mut uploads = Uploads::new(1, 1);
        uploads
            .defer(from_same_region(1, 5), Duration::from_secs(1))
            .unwrap();
        uploads
            .defer(from_same_region(2, 6), Duration::from_secs(1))
            .unwrap();
        uploads
            .defer(from_same_region(3, 6), Duration::from_secs(2))
            .unwrap();
        assert_eq!(uploads.take_deferred(5), vec![from_same_region(1, 5)]);
        assert_eq!(uploads.take_expired(Duration::from_secs(1)), vec![2]);
        assert_eq!(uploads.take_deferred(6), vec![from_same_region(3, 6)]);
    }

    #[test]
    fn requests_of_other_regions_are_served_first() {
        let mut uploads = Uploads::new(1, 9);
        assert_eq!(uploads.submit(from_same_region(1, 5)), Ok(true));
        for request in [
            from_same_region(2, 6),
            from_other_region(3, 6),
            from_same_region(4, 6),
            from_other_region(5, 7),
        ] {
            assert_eq!(uploads.submit(request), Ok(false));
        }
        let next = (1..5).map(|_| uploads.finish(uploads.active[0]).unwrap().0);
        assert_eq!(next.collect::<Vec<u64>>(), [3, 5, 2, 4]);
        let mut uploads = Uploads::new(1, 9);
        uploads
            .defer(from_same_region(1, 5), Duration::from_secs(1))
            .unwrap();
        uploads
            .defer(from_other_region(2, 5), Duration::from_secs(1))
            .unwrap();
        let at_distance = |token, rotation_distance| PieceRequest {
            rotation_distance,
            ..from_same_region(token, 5)
        };
        for request in [at_distance(3, 7), at_distance(4, 2)] {
            uploads.defer(request, Duration::from_secs(1)).unwrap();
        }
        let tokens = uploads
            .take_deferred(5)
            .into_iter()
            .map(|request| request.token);
        assert_eq!(tokens.collect::<Vec<u64>>(), [2, 1, 4, 3]);
    }
}
