//! The story of one request, from the lines of every process that had to do with it.

use serde::Serialize;
use utils::Name;

use crate::chain::Line;
use crate::decision::Decision;

/// Beliefs of the same process that are shown beside a decision.
const MOST_BELIEFS: usize = 4;

/// How old a belief may be to be shown, in milliseconds.
const BELIEF_AGE_MS: u64 = 10_000;

/// Lines of several processes, in the order of their times.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<Line>,
    unreadable: u64,
}

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Milliseconds since the Unix epoch, by the clock of the process.
    pub at_ms: u64,
    /// The instance of the process.
    pub process: Name,
    /// The version of the configuration in force.
    pub configuration: u64,
    /// What was decided.
    pub decision: Decision,
    /// What the process believed then of what decided it, the oldest first.
    pub beliefs: Vec<Belief>,
}

/// Something that a process had come to believe before a step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Belief {
    /// How long before the step.
    pub age_ms: u64,
    /// What it believed.
    pub decision: Decision,
}

impl Trace {
    /// Reads collected lines. Other lines may stand between them, and words before them.
    pub fn read(&mut self, text: &str) {
        for text in text.lines() {
            let Some(start) = text.find("{\"at_ms\"") else {
                continue;
            };
            let text = &text[start..];
            let mut values = serde_json::Deserializer::from_str(text).into_iter::<Line>();
            match values.next() {
                Some(Ok(line)) => self.lines.push(line),
                _ => self.unreadable += 1,
            }
        }
        self.lines.sort_by_key(|line| (line.at_ms, line.sequence));
    }

    /// Lines that could not be read.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// The steps of a request, in order.
    pub fn steps(&self, request: &str) -> Vec<Step> {
        let lines = self.lines.iter().enumerate();
        let mine = lines.filter(|(_, line)| line.decision.request_name() == Some(request));
        mine.map(|(at, line)| Step {
            at_ms: line.at_ms,
            process: line.process.clone(),
            configuration: line.sheet,
            decision: line.decision.clone(),
            beliefs: self.beliefs(at),
        })
        .collect()
    }

    /// The latest beliefs of the process that bear on the decision at `at`.
    fn beliefs(&self, at: usize) -> Vec<Belief> {
        let step = &self.lines[at];
        let mut found: Vec<Belief> = self.lines[..at]
            .iter()
            .rev()
            .take_while(|line| step.at_ms.saturating_sub(line.at_ms) <= BELIEF_AGE_MS)
            .filter(|line| line.process == step.process)
            .filter(|line| bears_on(&line.decision, &step.decision))
            .take(MOST_BELIEFS)
            .map(|line| Belief {
                age_ms: step.at_ms.saturating_sub(line.at_ms),
                decision: line.decision.clone(),
            })
            .collect();
        found.reverse();
        found
    }
}

/// Whether a belief may have led to a decision.
fn bears_on(belief: &Decision, decision: &Decision) -> bool {
    match (belief, decision) {
        (
            Decision::Target { target, .. }
            | Decision::Engine { target, .. }
            | Decision::Rest { target, .. }
            | Decision::TargetGone { target, .. },
            Decision::Forward { target: of, .. } | Decision::Exchange { target: of, .. },
        ) => target == of,
        (_, Decision::TurnAway { reason, .. }) => bears_on_refusal(belief, reason),
        _ => false,
    }
}

fn bears_on_refusal(belief: &Decision, reason: &str) -> bool {
    match belief {
        Decision::Lease { .. } | Decision::Dependency { .. } => {
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

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for belief in &self.beliefs {
            let text = decision_text(&belief.decision);
            writeln!(f, "    {} ms before: {text}", belief.age_ms)?;
        }
        let text = decision_text(&self.decision);
        write!(
            f,
            "{} {} configuration {}: {text}",
            self.at_ms, self.process, self.configuration
        )
    }
}

/// A decision as the fields that it has.
fn decision_text(decision: &Decision) -> String {
    // Decisions hold strings, numbers and enums only, which JSON can always express.
    serde_json::to_string(decision).unwrap_or_default()
}
