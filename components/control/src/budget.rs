//! A retry budget: a token bucket that limits retries to a share of the requests.

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOptions {
    /// The number of retries that each request adds to the budget.
    pub share: f64,
    /// The maximum number of unused retries in the budget.
    pub burst: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            share: 0.3,
            burst: 50.0,
        }
    }
}

/// The state of a retry budget.
#[derive(Clone, Debug)]
pub struct Budget {
    options: BudgetOptions,
    available: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(options: BudgetOptions) -> Self {
        let available = options.burst;
        Self { options, available }
    }

    /// Adds the share of one request to the budget.
    pub fn earn(&mut self) {
        self.available = (self.available + self.options.share).min(self.options.burst);
    }

    /// Removes one retry from the budget. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.available < 1.0 {
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
        let mut budget = Budget::new(BudgetOptions {
            share: 0.25,
            burst: 2.0,
        });
        let spent_at_start = (0..10).filter(|_| budget.spend()).count();
        assert_eq!(spent_at_start, 2);
        let mut spent = 0;
        for _ in 0..40 {
            budget.earn();
            spent += u32::from(budget.spend());
        }
        assert_eq!(spent, 10);
    }
}
