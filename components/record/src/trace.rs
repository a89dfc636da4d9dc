//! Reconstructs the history of one request from the lines of all processes that handled it.

use serde::Serialize;
use utils::Name;

use crate::chain::RecordLine;
use crate::decision::Decision;

/// Maximum number of prior decisions shown with a step.
const MAX_PRIOR_DECISIONS: usize = 4;

/// Maximum age of a prior decision shown with a step, in milliseconds.
const MAX_PRIOR_DECISION_AGE_MS: u64 = 10_000;

/// Lines of several processes, ordered by time.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<RecordLine>,
    unreadable_lines: u64,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceStep {
    /// Milliseconds since the Unix epoch, by the clock of the process.
    pub at_ms: u64,
    /// The name of the instance on which the process runs.
    pub process: Name,
    /// The version of the process's active configuration.
    pub configuration: u64,
    /// The decision.
    pub decision: Decision,
    /// Recent decisions of the same process that may have led to this one, oldest first.
    #[serde(rename = "beliefs")]
    pub prior_decisions: Vec<PriorDecision>,
}

/// An earlier decision that may have led to a step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PriorDecision {
    /// How long before the step it was recorded, in milliseconds.
    pub age_ms: u64,
    /// The decision.
    pub decision: Decision,
}

impl Trace {
    /// Reads collected output. Lines of the record may have a prefix, and other lines are ignored.
    pub fn add_lines(&mut self, text: &str) {
        for output_line in text.lines() {
            let Some(start) = output_line.find("{\"at_ms\"") else {
                continue;
            };
            let json = &output_line[start..];
            let mut values = serde_json::Deserializer::from_str(json).into_iter::<RecordLine>();
            match values.next() {
                Some(Ok(line)) => self.lines.push(line),
                _ => self.unreadable_lines += 1,
            }
        }
        self.lines.sort_by_key(|line| (line.at_ms, line.sequence));
    }

    /// Returns the number of record lines that could not be parsed.
    pub fn unreadable_lines(&self) -> u64 {
        self.unreadable_lines
    }

    /// Returns the steps of a request, ordered by time.
    pub fn steps_of_request(&self, request: &str) -> Vec<TraceStep> {
        let lines = self.lines.iter().enumerate();
        let matching = lines.filter(|(_, line)| line.decision.request_name() == Some(request));
        matching
            .map(|(index, line)| TraceStep {
                at_ms: line.at_ms,
                process: line.process.clone(),
                configuration: line.sheet,
                decision: line.decision.clone(),
                prior_decisions: self.prior_decisions(index),
            })
            .collect()
    }

    /// Returns the latest decisions of the same process that may have led to the one at `index`.
    fn prior_decisions(&self, index: usize) -> Vec<PriorDecision> {
        let step = &self.lines[index];
        let mut found: Vec<PriorDecision> = self.lines[..index]
            .iter()
            .rev()
            .take_while(|line| step.at_ms.saturating_sub(line.at_ms) <= MAX_PRIOR_DECISION_AGE_MS)
            .filter(|line| line.process == step.process)
            .filter(|line| may_lead_to(&line.decision, &step.decision))
            .take(MAX_PRIOR_DECISIONS)
            .map(|line| PriorDecision {
                age_ms: step.at_ms.saturating_sub(line.at_ms),
                decision: line.decision.clone(),
            })
            .collect();
        found.reverse();
        found
    }
}

/// Returns whether a prior decision may have led to a later one.
fn may_lead_to(prior: &Decision, decision: &Decision) -> bool {
    match (prior, decision) {
        (
            Decision::Target { target, .. }
            | Decision::Engine { target, .. }
            | Decision::Rest { target, .. }
            | Decision::TargetMissing { target, .. }
            | Decision::TargetGone { target, .. },
            Decision::Forward {
                target: later_target,
                ..
            }
            | Decision::Exchange {
                target: later_target,
                ..
            },
        ) => target == later_target,
        (_, Decision::TurnAway { reason, .. }) => may_lead_to_rejection(prior, reason),
        _ => false,
    }
}

fn may_lead_to_rejection(prior: &Decision, reason: &str) -> bool {
    match prior {
        Decision::Lease { .. } | Decision::Dependency { .. } | Decision::StoreAnswer { .. } => {
            matches!(reason, "stale_configuration" | "no_configuration")
        }
        Decision::Configure { .. } => matches!(reason, "no_route" | "unknown_key"),
        Decision::Engine { .. }
        | Decision::DataCentre { .. }
        | Decision::VersionNamed { .. }
        | Decision::TargetGone { .. }
        | Decision::Rest { .. } => {
            matches!(reason, "no_target" | "overload" | "waited_too_long")
        }
        _ => false,
    }
}

impl std::fmt::Display for TraceStep {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for prior in &self.prior_decisions {
            let text = decision_json(&prior.decision);
            writeln!(f, "    {} ms before: {text}", prior.age_ms)?;
        }
        let text = decision_json(&self.decision);
        write!(
            f,
            "{} {} configuration {}: {text}",
            self.at_ms, self.process, self.configuration
        )
    }
}

/// Formats a decision as JSON.
fn decision_json(decision: &Decision) -> String {
    // Serialization cannot fail: decisions contain only strings, numbers and enums.
    serde_json::to_string(decision).unwrap_or_default()
}
