//! Weighted fair queueing over teams and priorities, for requests that wait for a target.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Name;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Identifies the request until it ends.
    pub token: u64,
    /// The caller's team.
    pub team: Name,
    /// When the request is removed unless it has started.
    pub expires_at: Duration,
    virtual_finish: f64,
}

/// A queue in the order of virtual finish times.
///
/// The virtual finish time of a request is that of its team's previous request plus one unit of
/// work divided by the request's weight. A team that sends many requests gets ever later times, so
/// its backlog does not delay the requests of a team that sends few.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    requests: Vec<QueuedRequest>,
    last_virtual_finish: BTreeMap<Name, f64>,
    virtual_time: f64,
}

/// Request weights for low, normal and high priority.
const PRIORITY_WEIGHTS: [f64; 3] = [0.25, 1.0, 4.0];

impl FairQueue {
    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request. Returns the request that is shed if the queue would exceed `limit`.
    pub fn push(
        &mut self,
        token: u64,
        team: Name,
        share: u32,
        priority: u8,
        expires_at: Duration,
        limit: usize,
    ) -> Option<QueuedRequest> {
        let weight = f64::from(share.max(1)) * PRIORITY_WEIGHTS[usize::from(priority.min(2))];
        let previous_finish = self.last_virtual_finish.get(&team).copied().unwrap_or(0.0);
        let virtual_finish = previous_finish.max(self.virtual_time) + 1.0 / weight;
        self.last_virtual_finish
            .insert(team.clone(), virtual_finish);
        let request = QueuedRequest {
            token,
            team,
            expires_at,
            virtual_finish,
        };
        let index = self
            .requests
            .partition_point(|r| r.virtual_finish <= virtual_finish);
        self.requests.insert(index, request);
        if self.requests.len() <= limit {
            return None;
        }
        let shed = self.requests.pop()?;
        self.restore_last_finish(&shed);
        Some(shed)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        if self.requests.is_empty() {
            return None;
        }
        let next = self.requests.remove(0);
        self.virtual_time = self.virtual_time.max(next.virtual_finish);
        if self.requests.is_empty() {
            self.last_virtual_finish.clear();
            self.virtual_time = 0.0;
        }
        Some(next)
    }

    /// Removes and returns the request `token`.
    pub fn remove(&mut self, token: u64) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|r| r.token == token)?;
        Some(self.requests.remove(index))
    }

    /// Removes and returns the requests whose waiting time is over.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        self.remove_where(|r| r.expires_at <= now)
    }

    /// Removes and returns the requests of these teams.
    pub fn remove_teams(&mut self, is_removed: impl Fn(&Name) -> bool) -> Vec<QueuedRequest> {
        self.remove_where(|r| is_removed(&r.team))
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.remove_where(|_| true)
    }

    fn remove_where(&mut self, predicate: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let (removed, kept) = self.requests.drain(..).partition(|r| predicate(r));
        self.requests = kept;
        removed
    }

    /// Restores the last finish time of the team of a shed request, so that the request does not
    /// count against the team.
    fn restore_last_finish(&mut self, shed: &QueuedRequest) {
        let mut team_requests = self.requests.iter().filter(|r| r.team == shed.team);
        let last_finish = team_requests.next_back().map(|r| r.virtual_finish);
        match last_finish {
            Some(virtual_finish) => self
                .last_virtual_finish
                .insert(shed.team.clone(), virtual_finish),
            None => self.last_virtual_finish.remove(&shed.team),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_QUEUE_TIME: Duration = Duration::from_secs(60);

    fn push(queue: &mut FairQueue, token: u64, team: &str, share: u32) -> Option<QueuedRequest> {
        queue.push(token, team.into(), share, 1, MAX_QUEUE_TIME, 8)
    }

    #[test]
    fn small_team_is_not_delayed_by_backlog_of_large_team() {
        let mut queue = FairQueue::default();
        for token in 0..6 {
            push(&mut queue, token, "large", 1);
        }
        push(&mut queue, 100, "small", 1);
        let order: Vec<u64> = std::iter::from_fn(|| queue.pop().map(|r| r.token)).collect();
        assert_eq!(order[1], 100);
    }

    #[test]
    fn requests_are_ordered_by_team_share() {
        let mut queue = FairQueue::default();
        for token in 0..4 {
            push(&mut queue, token, "one", 1);
            push(&mut queue, 10 + token, "three", 3);
        }
        let first: Vec<u64> = (0..4)
            .filter_map(|_| queue.pop())
            .map(|r| r.token)
            .collect();
        let heavy = first.iter().filter(|t| **t >= 10).count();
        assert_eq!(heavy, 3, "{first:?}");
    }

    #[test]
    fn full_queue_sheds_the_team_furthest_over_its_share() {
        let mut queue = FairQueue::default();
        for token in 0..8 {
            assert_eq!(push(&mut queue, token, "large", 1), None);
        }
        let shed = push(&mut queue, 100, "small", 1).unwrap();
        assert_eq!(shed.token, 7);
        let shed = push(&mut queue, 8, "large", 1).unwrap();
        assert_eq!(shed.token, 8);
    }

    #[test]
    fn low_priority_request_is_shed_first() {
        let mut queue = FairQueue::default();
        for token in 0..4 {
            queue.push(token, "team".into(), 1, 1, MAX_QUEUE_TIME, 4);
        }
        let shed = queue
            .push(9, "other".into(), 1, 0, MAX_QUEUE_TIME, 4)
            .unwrap();
        assert!(shed.token == 9 || shed.token == 3);
    }
}
