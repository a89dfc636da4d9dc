//! Writes the decision record of one process.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use record::{
    Decision,
    LineWriter,
    RecordChain, //
};
use utils::clock::Clock;
use utils::Name;

/// Adds decisions to the hash chain of the record and writes them.
///
/// A line for which the output has no room is counted and dropped before it gets into the chain,
/// so that the chain has no gap.
pub struct RecordWriter {
    chain: Mutex<RecordChain>,
    clock: Arc<dyn Clock>,
    output: LineWriter,
}

impl std::fmt::Debug for RecordWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RecordWriter").finish_non_exhaustive()
    }
}

impl RecordWriter {
    /// Starts the record of the process on `instance`.
    pub fn new(instance: Name, clock: Arc<dyn Clock>, output: LineWriter) -> Self {
        let incarnation = clock.now().unix_ms();
        Self {
            chain: Mutex::new(RecordChain::new(instance, incarnation)),
            clock,
            output,
        }
    }

    /// Writes a decision that was made with version `config_version` of the configuration.
    pub fn record(&self, config_version: u64, decision: Decision) {
        if !self.output.has_room_or_drop() {
            return;
        }
        let lines = self.output.take_dropped_lines();
        if lines > 0 {
            self.append(config_version, Decision::Dropped { lines });
        }
        self.append(config_version, decision);
    }

    /// The output to which lines are written.
    pub fn output(&self) -> &LineWriter {
        &self.output
    }

    fn append(&self, config_version: u64, decision: Decision) {
        let at_ms = self.clock.now().unix_ms();
        metrics::counter!("medlarproxy_decisions_total", "kind" => decision.kind()).increment(1);
        let mut chain = self.chain.lock().unwrap_or_else(PoisonError::into_inner);
        let line = chain.append(at_ms, config_version, decision);
        self.output.write(&line.to_json());
    }
}
