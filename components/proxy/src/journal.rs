//! The record of one process on its way to the output.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use record::{
    Chain,
    Decision,
    Output, //
};
use utils::clock::Clock;
use utils::Name;

/// Chains decisions and writes them. Lines that the output has no room for are counted and left
/// out before they are chained, so that the chain stays whole.
pub struct Journal {
    chain: Mutex<Chain>,
    clock: Arc<dyn Clock>,
    output: Output,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Journal").finish_non_exhaustive()
    }
}

impl Journal {
    /// Starts the record of the process on `instance`.
    pub fn new(instance: Name, clock: Arc<dyn Clock>, output: Output) -> Self {
        let incarnation = clock.now().unix_ms();
        Self {
            chain: Mutex::new(Chain::new(instance, incarnation)),
            clock,
            output,
        }
    }

    /// Writes a decision that was made under version `sheet` of the configuration.
    pub fn record(&self, sheet: u64, decision: Decision) {
        if !self.output.has_room() {
            return;
        }
        let lines = self.output.take_dropped();
        if lines > 0 {
            self.append(sheet, Decision::Dropped { lines });
        }
        self.append(sheet, decision);
    }

    /// The output that the lines go to.
    pub fn output(&self) -> &Output {
        &self.output
    }

    fn append(&self, sheet: u64, decision: Decision) {
        let at_ms = self.clock.now().unix_ms();
        metrics::counter!("medlarproxy_decisions_total", "kind" => decision.kind()).increment(1);
        let mut chain = self.chain.lock().unwrap_or_else(PoisonError::into_inner);
        let line = chain.append(at_ms, sheet, decision);
        self.output.write(&line.to_json());
    }
}
