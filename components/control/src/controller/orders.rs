//! The orders to load that were decided, and which of the weights that the engine holds were verified.
//!
//! An engine takes the pieces that it holds when it accepts an order, and its agent cannot bound when that is: an
//! order that is given up may still be accepted. So the weights are used only if the engine's answer shows that the
//! check of the pieces was recent, or if a check after the acceptance finds them unchanged. A piece that is corrupt
//! does not become intact unless it is written again.

use std::time::Duration;

use record::{
    Decision,
    LoadCheck,
    OrderAnswer, //
};
use utils::millis::millis;

use super::{
    EngineReport,
    Load,
    ModelVersion,
    RETRY_DELAY, //
};
use crate::PieceCheck;

/// What is known of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderState {
    /// Its answer is waited for.
    Sent,
    /// No answer arrived. The engine may have accepted it, or may still do so.
    Unanswered,
    /// The engine accepted it at a time for which its check does not count.
    AcceptedLate,
}

/// An order to load that the engine accepted, or may accept, on a check that is too old then.
#[derive(Clone, Debug)]
struct Order {
    number: u64,
    /// What it loads. `None` for an order of an earlier process.
    load: Option<Load>,
    decided_at: Duration,
    /// The check of the pieces that it relies on. `None` if the engine holds the layer already.
    check: Option<PieceCheck>,
    state: OrderState,
    /// Whether pieces were written since it was decided. A later check then says nothing about it.
    pieces_written: bool,
}

impl Order {
    /// An order of an earlier process, which the engine carries out or has carried out.
    fn of_earlier_process(now: Duration, load: Option<Load>) -> Self {
        Self {
            number: 0,
            load,
            decided_at: now,
            check: None,
            state: OrderState::AcceptedLate,
            pieces_written: false,
        }
    }

    /// Whether it makes the engine hold this version, and this layer alone unless `None`.
    fn loads(&self, version: u64, layer: Option<u32>) -> bool {
        self.load
            .as_ref()
            .is_none_or(|load| load.model_version.version == version && load.layer == layer)
    }
}

/// The orders that are not known to rely on a recent check, and what the engine holds because of them.
#[derive(Debug, Default)]
pub(super) struct Orders {
    last_number: u64,
    orders: Vec<Order>,
    /// The newest version that the engine loaded from verified pieces, or held before this process started.
    verified_version: Option<u64>,
    /// Whether pieces were written since this process started.
    pieces_written: bool,
    /// The version of which the engine loaded pieces that had changed.
    changed_version: Option<u64>,
    /// The layer that the engine holds alone, with its version, if it was verified.
    verified_layer: Option<(u64, u32)>,
    is_checking: bool,
    check_at: Duration,
}

impl Orders {
    /// Adds an order and returns its number.
    pub fn add(&mut self, now: Duration, load: Load, check: Option<PieceCheck>) -> u64 {
        self.last_number += 1;
        self.orders.push(Order {
            number: self.last_number,
            load: Some(load),
            decided_at: now,
            check,
            state: OrderState::Sent,
            pieces_written: false,
        });
        self.last_number
    }

    /// Adds an order of an earlier process of which it is not known what it loads.
    pub fn add_unknown(&mut self, now: Duration) {
        self.orders.push(Order::of_earlier_process(now, None));
    }

    /// Takes a version that the engine holds when this process starts as verified.
    pub fn trust(&mut self, version: Option<u64>) {
        self.verified_version = version;
    }

    /// Whether the engine holds this whole version without an order of this process that explains it.
    pub fn is_unexplained(&self, version: u64) -> bool {
        !self.is_known(version) && !self.has_changed(version) && !self.is_unverified(version, None)
    }

    /// Adds the order of an earlier process that made the engine hold this whole version.
    pub fn add_found(&mut self, now: Duration, model_version: ModelVersion) {
        let load = Load {
            model_version,
            layer: None,
        };
        self.orders.push(Order {
            // It may have been accepted before they were written.
            pieces_written: self.pieces_written,
            ..Order::of_earlier_process(now, Some(load))
        });
    }

    /// Whether this is the newest order.
    pub fn is_newest(&self, number: u64) -> bool {
        number == self.last_number
    }

    /// Handles what became of an order, and returns the line for the record.
    pub fn answered(
        &mut self,
        now: Duration,
        number: u64,
        answer: OrderAnswer,
    ) -> Option<Decision> {
        let is_same = |order: &Order| order.number == number && order.state == OrderState::Sent;
        let position = self.orders.iter().position(is_same)?;
        let mut order = self.orders.remove(position);
        let load = order.load.clone()?;
        let checked_ms = order.check.map(|check| millis(check.age(now)));
        let after_ms = millis(now.saturating_sub(order.decided_at));
        match answer {
            OrderAnswer::Begun if order.check.is_some_and(|check| check.covers(now)) => {
                // The engine accepts no earlier order after this one, as they name the same sequence number.
                self.orders.retain(|other| other.state == OrderState::Sent);
                self.set_verified(load.model_version.version, load.layer);
            }
            OrderAnswer::Begun | OrderAnswer::Missing if order.check.is_some() => {
                order.state = match answer {
                    OrderAnswer::Begun => OrderState::AcceptedLate,
                    _ => OrderState::Unanswered,
                };
                self.orders.push(order);
            }
            // What a layer was loaded from that is only kept is not known.
            OrderAnswer::Begun | OrderAnswer::Missing => self.verified_layer = None,
            OrderAnswer::InEffect | OrderAnswer::Refused | OrderAnswer::NotSent => {}
        }
        let ModelVersion { model, version, .. } = load.model_version;
        Some(Decision::OrderAnswered {
            model,
            version,
            layer: load.layer,
            answer,
            after_ms,
            checked_ms,
        })
    }

    fn set_verified(&mut self, version: u64, layer: Option<u32>) {
        self.verified_layer = layer.map(|layer| (version, layer));
        if layer.is_none() {
            self.changed_version = None;
            self.verified_version = self.verified_version.max(Some(version));
        }
    }

    /// Records that pieces were written to the engine.
    pub fn record_written_pieces(&mut self) {
        self.pieces_written = true;
        for order in &mut self.orders {
            order.pieces_written = true;
        }
    }

    /// Forgets what became of orders for versions before the one that the engine holds.
    pub fn handle_report(&mut self, report: EngineReport) {
        let Some(held) = report.version.or(report.partial_version) else {
            return;
        };
        self.orders.retain(|order| {
            let is_older = |load: &Load| load.model_version.version < held;
            order.state != OrderState::AcceptedLate || !order.load.as_ref().is_some_and(is_older)
        });
    }

    /// Whether it is known of this version, or of a later one, how the engine loaded it.
    fn is_known(&self, version: u64) -> bool {
        self.verified_version >= Some(version)
    }

    /// Whether requests may run on this version, which the engine holds.
    pub fn is_verified(&self, version: u64) -> bool {
        self.is_known(version) && !self.has_changed(version) && !self.is_unverified(version, None)
    }

    /// Whether pieces of this version that the engine loaded had changed before.
    pub fn has_changed(&self, version: u64) -> bool {
        self.changed_version == Some(version)
    }

    /// Whether the engine took this layer, which it holds alone, from verified pieces.
    pub fn is_layer_verified(&self, version: u64, layer: Option<u32>) -> bool {
        self.verified_layer
            .is_some_and(|(verified_version, verified)| {
                version == verified_version && layer.is_none_or(|layer| layer == verified)
            })
    }

    /// Whether the engine may have loaded this version, or this layer alone, on a check that was too old.
    pub fn is_unverified(&self, version: u64, layer: Option<u32>) -> bool {
        self.orders.iter().any(|order| order.loads(version, layer))
    }

    /// Whether there are orders of which it is not known whether they relied on a recent check when the engine
    /// accepted them.
    pub fn has_unverified(&self) -> bool {
        !self.orders.is_empty()
    }

    /// What to compare with the pieces that the engine holds: the version, and the layer unless all.
    /// `has_manifest` says whether a version can be compared yet.
    pub fn start_check(
        &mut self,
        now: Duration,
        report: EngineReport,
        has_manifest: impl FnOnce(u64) -> bool,
    ) -> Option<(u64, Option<u32>)> {
        if self.is_checking || now < self.check_at {
            return None;
        }
        let held = match (report.version, report.partial_version) {
            _ if report.is_busy => None,
            (Some(version), _) => Some((version, None)),
            (None, Some(version)) => Some((version, report.first_layer)),
            (None, None) => None,
        };
        let checked = self.orders.iter().find_map(|order| match order.state {
            OrderState::Sent => None,
            OrderState::AcceptedLate if order.load.is_some() => {
                let load = order.load.as_ref()?;
                Some((load.model_version.version, load.layer))
            }
            OrderState::AcceptedLate | OrderState::Unanswered => {
                held.filter(|(version, layer)| order.loads(*version, *layer))
            }
        })?;
        if !has_manifest(checked.0) {
            return None;
        }
        self.is_checking = true;
        Some(checked)
    }

    /// Handles the result of a check and returns what it says about the weights that the engine holds.
    pub fn finish_check(
        &mut self,
        now: Duration,
        version: u64,
        layer: Option<u32>,
        result: LoadCheck,
    ) -> LoadCheck {
        self.is_checking = false;
        if result == LoadCheck::Unreadable {
            self.check_at = now + RETRY_DELAY;
            return result;
        }
        let is_checked =
            |order: &Order| order.loads(version, layer) && order.state != OrderState::Sent;
        let checked = self.orders.iter().filter(|order| is_checked(order));
        let is_written = checked.clone().any(|order| order.pieces_written);
        let is_settled = checked.count() == 0;
        self.orders.retain(|order| !is_checked(order));
        if is_settled {
            return result;
        }
        if result == LoadCheck::Intact && !is_written {
            self.set_verified(version, layer);
            return LoadCheck::Intact;
        }
        if layer.is_none() {
            self.changed_version = Some(version);
        }
        self.verified_layer = None;
        LoadCheck::Changed
    }
}
