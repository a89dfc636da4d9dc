//! The short queue before a target: weighted fair queueing over teams and priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Name;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Names the request until it ends.
    pub token: u64,
    /// The caller's team.
    pub team: Name,
    /// When it gives up waiting.
    pub until: Duration,
    finish: f64,
}

/// Waiting requests in the order of their virtual finish times.
///
/// A request's finish time lies one unit of work, divided by its weight, after its team's last
/// one. A team that sends much so gets ever later times, and a team that sends little stays ahead
/// of it however many requests the large team has waiting.
#[derive(Clone, Debug, Default)]
pub struct Fair {
    waiting: Vec<Waiting>,
    last_finish: BTreeMap<Name, f64>,
    virtual_time: f64,
}

/// Weight of a request by its priority: low, normal and high.
const PRIORITY_WEIGHTS: [f64; 3] = [0.25, 1.0, 4.0];

impl Fair {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request. Returns the one that is shed if more than `limit` would wait.
    pub fn push(
        &mut self,
        token: u64,
        team: Name,
        share: u32,
        priority: u8,
        until: Duration,
        limit: usize,
    ) -> Option<Waiting> {
        let weight = f64::from(share.max(1)) * PRIORITY_WEIGHTS[usize::from(priority.min(2))];
        let last = self.last_finish.get(&team).copied().unwrap_or(0.0);
        let finish = last.max(self.virtual_time) + 1.0 / weight;
        self.last_finish.insert(team.clone(), finish);
        let request = Waiting {
            token,
            team,
            until,
            finish,
        };
        let at = self.waiting.partition_point(|w| w.finish <= finish);
        self.waiting.insert(at, request);
        if self.waiting.len() <= limit {
            return None;
        }
        let shed = self.waiting.pop()?;
        self.give_back(&shed);
        Some(shed)
    }

    /// Takes out the next request.
    pub fn pop(&mut self) -> Option<Waiting> {
        if self.waiting.is_empty() {
            return None;
        }
        let next = self.waiting.remove(0);
        self.virtual_time = self.virtual_time.max(next.finish);
        if self.waiting.is_empty() {
            self.last_finish.clear();
            self.virtual_time = 0.0;
        }
        Some(next)
    }

    /// Takes out the request `token`.
    pub fn remove(&mut self, token: u64) -> Option<Waiting> {
        let at = self.waiting.iter().position(|w| w.token == token)?;
        Some(self.waiting.remove(at))
    }

    /// Takes out the requests that have waited long enough.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting> {
        self.take(|w| w.until <= now)
    }

    /// Takes out every request.
    pub fn clear(&mut self) -> Vec<Waiting> {
        self.take(|_| true)
    }

    fn take(&mut self, chosen: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let (taken, kept) = self.waiting.drain(..).partition(|w| chosen(w));
        self.waiting = kept;
        taken
    }

    /// A request that was shed does not count against its team.
    fn give_back(&mut self, shed: &Waiting) {
        let mut theirs = self.waiting.iter().filter(|w| w.team == shed.team);
        let last = theirs.next_back().map(|w| w.finish);
        match last {
            Some(finish) => self.last_finish.insert(shed.team.clone(), finish),
            None => self.last_finish.remove(&shed.team),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG: Duration = Duration::from_secs(60);

    fn push(fair: &mut Fair, token: u64, team: &str, share: u32) -> Option<Waiting> {
        fair.push(token, team.into(), share, 1, LONG, 8)
    }

    #[test]
    fn a_small_team_is_not_behind_the_queue_of_a_large_one() {
        let mut fair = Fair::default();
        for token in 0..6 {
            push(&mut fair, token, "large", 1);
        }
        push(&mut fair, 100, "small", 1);
        let order: Vec<u64> = std::iter::from_fn(|| fair.pop().map(|w| w.token)).collect();
        assert_eq!(order[1], 100);
    }

    #[test]
    fn shares_set_the_order() {
        let mut fair = Fair::default();
        for token in 0..4 {
            push(&mut fair, token, "one", 1);
            push(&mut fair, 10 + token, "three", 3);
        }
        let first: Vec<u64> = (0..4).filter_map(|_| fair.pop()).map(|w| w.token).collect();
        let heavy = first.iter().filter(|t| **t >= 10).count();
        assert_eq!(heavy, 3, "{first:?}");
    }

    #[test]
    fn a_full_queue_sheds_the_team_that_is_most_over_its_share() {
        let mut fair = Fair::default();
        for token in 0..8 {
            assert_eq!(push(&mut fair, token, "large", 1), None);
        }
        let shed = push(&mut fair, 100, "small", 1).unwrap();
        assert_eq!(shed.token, 7);
        let shed = push(&mut fair, 8, "large", 1).unwrap();
        assert_eq!(shed.token, 8);
    }

    #[test]
    fn low_priority_is_shed_first() {
        let mut fair = Fair::default();
        for token in 0..4 {
            fair.push(token, "team".into(), 1, 1, LONG, 4);
        }
        let shed = fair.push(9, "other".into(), 1, 0, LONG, 4).unwrap();
        assert!(shed.token == 9 || shed.token == 3);
    }
}
