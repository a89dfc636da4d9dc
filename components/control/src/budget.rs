//! A budget for retries, as a share of the traffic.

/// Settings of the budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries for each request.
    pub share: f64,
    /// Retries that may be saved up.
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

/// Retries that are left.
#[derive(Clone, Debug)]
pub struct Budget {
    options: BudgetOptions,
    left: f64,
}

impl Budget {
    /// Starts with all that may be saved up.
    pub fn new(options: BudgetOptions) -> Self {
        let left = options.burst;
        Self { options, left }
    }

    /// A request came.
    pub fn earn(&mut self) {
        self.left = (self.left + self.options.share).min(self.options.burst);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_a_share_of_requests() {
        let mut budget = Budget::new(BudgetOptions {
            share: 0.25,
            burst: 2.0,
        });
        let saved = (0..10).filter(|_| budget.spend()).count();
        assert_eq!(saved, 2);
        let mut spent = 0;
        for _ in 0..40 {
            budget.earn();
            spent += u32::from(budget.spend());
        }
        assert_eq!(spent, 10);
    }
}
