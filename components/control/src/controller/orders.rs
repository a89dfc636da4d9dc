//! The orders to load that were decided, until it is known what became of them.

use std::time::Duration;

use record::{
    Decision,
    OrderAnswer, //
};
use utils::millis::millis;

use super::{
    Load,
    ModelVersion, //
};
use crate::PieceCheck;

/// An order to load.
#[derive(Clone, Debug)]
pub(super) struct Order {
    pub number: u64,
    pub load: Load,
    pub decided_at: Duration,
    /// The check of the pieces that it relies on. `None` if the engine holds the layer already.
    pub check: Option<PieceCheck>,
}

impl Order {
    /// The line for the record about what became of it.
    pub fn answered(&self, now: Duration, answer: OrderAnswer) -> Decision {
        let ModelVersion { model, version, .. } = &self.load.model_version;
        Decision::OrderAnswered {
            model: model.clone(),
            version: *version,
            layer: self.load.layer,
            answer,
            after_ms: millis(now.saturating_sub(self.decided_at)),
            checked_ms: self.check.map(|check| millis(check.age(now))),
        }
    }
}

/// The orders whose answers are waited for.
#[derive(Debug, Default)]
pub(super) struct Orders {
    last_number: u64,
    open: Vec<Order>,
}

impl Orders {
    /// Adds an order and returns its number.
    pub fn add(&mut self, now: Duration, load: Load, check: Option<PieceCheck>) -> u64 {
        self.last_number += 1;
        self.open.push(Order {
            number: self.last_number,
            load,
            decided_at: now,
            check,
        });
        self.last_number
    }

    /// Whether this is the newest order.
    pub fn is_newest(&self, number: u64) -> bool {
        number == self.last_number
    }

    /// Removes an order whose answer arrived or is no longer waited for.
    pub fn take(&mut self, number: u64) -> Option<Order> {
        let position = self.open.iter().position(|order| order.number == number)?;
        Some(self.open.remove(position))
    }
}
