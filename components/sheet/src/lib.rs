//! The sheet, which is the configuration that operators publish: which version of which model runs
//! on which instances, which data centres are in service, which instances are being removed.
//!
//! Operators write one YAML document. [`pack`] splits it into an [`Index`] and sections identified
//! by digest, which they publish. [`SheetCollector`] collects an index and its sections and builds
//! the validated [`Sheet`] once it has all of them.

mod collector;
mod document;
mod error;
mod index;
mod queries;
mod validate;

pub use collector::{
    OfferResult,
    SheetCollector, //
};
pub use document::{
    Call,
    DataCentre,
    DataCentreState,
    InstancesByDataCentre,
    KeyHomes,
    Model,
    Service,
    Sheet,
    Team, //
};
pub use error::SheetError;
pub use index::{
    pack,
    Index,
    PublishedSheet, //
};
pub use queries::{
    Placement,
    Workload, //
};
pub use validate::check_successor;

/// Serializes a sheet as a YAML document.
pub fn to_text(sheet: &Sheet) -> String {
    index::to_yaml(sheet)
}

/// Parses and validates a sheet document.
pub fn parse(text: &str) -> Result<Sheet, SheetError> {
    let sheet: Sheet = error::from_yaml("sheet", text)?;
    validate::check(&sheet)?;
    Ok(sheet)
}
