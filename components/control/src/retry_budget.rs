//! A retry budget: a token bucket that limits retries to a share of the requests.

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// The number of retries that each request adds to the budget.
    pub retries_per_request: f64,
    /// The maximum number of unused retries in the budget.
    pub max_available: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            retries_per_request: 0.3,
            max_available: 50.0,
        }
    }
}

/// The state of a retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        let available = options.max_available;
        Self { options, available }
    }

    /// Creates an empty budget.
    pub fn empty(options: RetryBudgetOptions) -> Self {
        Self {
            options,
            available: 0.0,
        }
    }

    /// Adds the share of one request to the budget.
    pub fn record_request(&mut self) {
        self.add(self.options.retries_per_request);
    }

    /// Adds retries to the budget.
    pub fn add(&mut self, retries: f64) {
        self.available = (self.available + retries).min(self.options.max_available);
    }

    /// Changes the maximum number of unused retries.
    pub fn set_max_available(&mut self, max_available: f64) {
        self.options.max_available = max_available;
        self.available = self.available.min(max_available);
    }

    /// Whether there is a retry in the budget.
    pub fn has_retry(&self) -> bool {
        self.available >= 1.0
    }

    /// Removes one retry from the budget. Returns whether there was one.
    pub fn try_take_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_limited_to_a_share_of_requests() {
        let mut budget = RetryBudget::new(RetryBudgetOptions {
            retries_per_request: 0.25,
            max_available: 2.0,
        });
        let retries_at_start = (0..10).filter(|_| budget.try_take_retry()).count();
        assert_eq!(retries_at_start, 2);
        let mut retries = 0;
        for _ in 0..40 {
            budget.record_request();
            retries += u32::from(budget.try_take_retry());
        }
        assert_eq!(retries, 10);
    }
}
