//! Whether each target was loaded, limited and spared as promised.

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
use super::Placed;
use crate::decision::{
    Decision,
    SwitchStep, //
};

/// What the lines so far tell of one agent process and its target.
#[derive(Default)]
struct Target {
    staged: BTreeSet<Digest>,
    taken_out: bool,
    version: Option<Name>,
    quarantined: BTreeSet<Fingerprint>,
}

pub(super) fn check(lines: &[Placed], report: &mut Report) {
    let mut targets: BTreeMap<(&Name, u64), Target> = BTreeMap::new();
    for placed in lines {
        let line = &placed.line;
        let target = targets
            .entry((&line.process, line.incarnation))
            .or_default();
        if let Some((rule, cause)) = follow(target, &line.decision) {
            report.find(rule, &placed.file, placed.number, cause);
        }
    }
}

/// Follows one decision. Returns the rule that it breaks.
fn follow(target: &mut Target, decision: &Decision) -> Option<(Rule, String)> {
    match decision {
        Decision::Switch {
            step,
            manifest,
            version,
            ..
        } => follow_step(target, *step, manifest, version),
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
            if target.taken_out {
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

fn follow_step(
    target: &mut Target,
    step: SwitchStep,
    manifest: &Digest,
    version: &Name,
) -> Option<(Rule, String)> {
    match step {
        SwitchStep::Staged => {
            target.staged.insert(*manifest);
        }
        SwitchStep::TakenOut => target.taken_out = true,
        SwitchStep::Ordered if !target.staged.contains(manifest) => {
            let cause = format!("{version} was ordered before its pieces were here");
            return Some((Rule::OrderedWhenWhole, cause));
        }
        SwitchStep::Cold => {
            target.taken_out = false;
            target.version = Some(version.clone());
        }
        SwitchStep::Differs => target.version = None,
        SwitchStep::Ordered | SwitchStep::Warm | SwitchStep::FellBack => {}
    }
    None
}
