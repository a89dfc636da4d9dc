//! The operators' sheet: which model and version runs where, which data centres are in or out,
//! which instances leave.
//!
//! Operators write one YAML document. [`pack`] splits it into an [`Index`] and sections named by
//! digest, which they publish. [`Acceptance`] takes an index and its sections back to a checked
//! [`Sheet`], wholly or not at all.

mod acceptance;
mod document;
mod error;
mod index;
mod queries;
mod validate;

pub use acceptance::{
    Acceptance,
    Offer, //
};
pub use document::{
    Call,
    DataCentre,
    HomeSet,
    Instances,
    Model,
    Service,
    ServiceState,
    Sheet,
    Team, //
};
pub use error::SheetError;
pub use index::{
    pack,
    Index,
    Packed, //
};
pub use queries::{
    Placement,
    Workload, //
};
pub use validate::check_successor;

/// The text of a sheet document.
pub fn to_text(sheet: &Sheet) -> String {
    index::to_yaml(sheet)
}

/// Parses and checks a whole sheet document.
pub fn parse(text: &str) -> Result<Sheet, SheetError> {
    let sheet: Sheet = error::from_yaml("sheet", text)?;
    validate::check(&sheet)?;
    Ok(sheet)
}
