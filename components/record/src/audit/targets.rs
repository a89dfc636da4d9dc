//! Checks loading, concurrency limits and quarantine of each target.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use protocol::Fingerprint;
use utils::digest::Digest;
use utils::Name;

use super::report::{
    Report,
    Rule, //
};
use super::LocatedLine;
use crate::decision::{
    Decision,
    SwitchStep, //
};

/// The state of one agent process and its target after the lines read so far.
#[derive(Default)]
struct TargetState {
    /// Manifests of which every piece is staged.
    staged: BTreeSet<Digest>,
    is_out_of_service: bool,
    version: Option<Name>,
    quarantined: BTreeSet<Fingerprint>,
}

pub(super) fn check(lines: &[LocatedLine], report: &mut Report) {
    let mut targets: BTreeMap<(&Name, u64), TargetState> = BTreeMap::new();
    for located in lines {
        let line = &located.line;
        let target = targets
            .entry((&line.process, line.incarnation))
            .or_default();
        if let Some((rule, cause)) = apply_decision(target, &line.decision) {
            report.add_finding(rule, &located.file, located.number, cause);
        }
    }
}

/// Applies one decision to the state. Returns the rule that the decision violates and the cause.
fn apply_decision(target: &mut TargetState, decision: &Decision) -> Option<(Rule, String)> {
    match decision {
        Decision::Switch {
            step,
            manifest,
            version,
            ..
        } => apply_switch_step(target, *step, manifest, version),
        Decision::Suspect {
            fingerprint,
            quarantined: true,
            ..
        } => {
            target.quarantined.insert(*fingerprint);
            None
        }
        Decision::Run {
            request,
            running,
            limit,
            version,
            fingerprint,
            ..
        } => {
            if running > limit {
                let cause = format!("request {request} is number {running}, the limit is {limit}");
                return Some((Rule::WithinLimit, cause));
            }
            if target.is_out_of_service {
                let cause = format!("request {request} ran while the target was taken out");
                return Some((Rule::NotWhileLoading, cause));
            }
            if target.quarantined.contains(fingerprint) {
                let cause = format!("request {request} is quarantined here");
                return Some((Rule::Quarantine, cause));
            }
            if target.version.is_some() && *version != target.version {
                let cause = format!(
                    "request {request} ran on {version:?} and not on {:?}",
                    target.version
                );
                return Some((Rule::VersionAsSwitched, cause));
            }
            None
        }
        _ => None,
    }
}

fn apply_switch_step(
    target: &mut TargetState,
    step: SwitchStep,
    manifest: &Digest,
    version: &Name,
) -> Option<(Rule, String)> {
    match step {
        SwitchStep::Staged => {
            target.staged.insert(*manifest);
        }
        SwitchStep::TakenOut => target.is_out_of_service = true,
        SwitchStep::Ordered if !target.staged.contains(manifest) => {
            let cause = format!("{version} was ordered before its pieces were here");
            return Some((Rule::OrderedWhenWhole, cause));
        }
        SwitchStep::Cold => {
            target.is_out_of_service = false;
            target.version = Some(version.clone());
        }
        SwitchStep::Differs => target.version = None,
        SwitchStep::Ordered | SwitchStep::Warm | SwitchStep::FellBack => {}
    }
    None
}
