//! Records what answers and agents tell of the utilization of targets in other data centres, on
//! which the penalty of these data centres depends.

use std::time::Duration;

use super::load::LoadReport;
use super::selection;
use super::state::State;
use super::ReservationReply;

impl State {
    /// Records the load that the target of a request reports in its answer.
    pub(super) fn record_reported_utilization(
        &mut self,
        now: Duration,
        token: u64,
        report: LoadReport,
    ) {
        if report.slowness_percent.is_some() {
            self.record_speed_report(now, token);
        }
        self.record_utilization(now, token, report.running.saturating_add(report.queued));
    }

    /// Records the backlog that the agent of a request's target reports.
    pub(super) fn record_backlog_utilization(
        &mut self,
        now: Duration,
        token: u64,
        reply: ReservationReply,
    ) {
        self.record_utilization(now, token, reply.backlog.requests);
    }

    fn record_speed_report(&mut self, now: Duration, token: u64) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let spillover = self.spillovers.entry(pending.service.name.clone());
        spillover.or_default().record_speed_report(now);
    }

    fn record_utilization(&mut self, now: Duration, token: u64, requests: u32) {
        let Some(pending) = self.pending.get(&token) else {
            return;
        };
        let Some(spillover) = self.spillovers.get_mut(&pending.service.name) else {
            return;
        };
        let target = pending
            .assignment
            .as_ref()
            .and_then(|(id, _)| self.targets.get(id));
        let Some(target) = target else {
            return;
        };
        let data_centre = &target.entry.data_centre;
        if spillover.has_speed_report(now) && *data_centre != self.options.location.data_centre {
            let slots = selection::slots(target, &pending.service);
            let utilization = f64::from(requests) / f64::from(slots);
            spillover.record_other(now, data_centre, utilization);
        }
    }
}
