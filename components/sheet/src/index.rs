//! The published form of a sheet: an index, and sections identified by digest. An unchanged section
//! keeps its digest, so it need not be fetched again.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::{
    Duration,
    SystemTime, //
};

use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};
use utils::digest::Digest;
use utils::Name;

use crate::document::{
    DataCentre,
    Model,
    Service,
    Sheet,
    Team, //
};
use crate::error::{
    from_yaml,
    SheetError, //
};
use crate::validate;

const DATA_CENTRES: &str = "data_centres";
const LEAVING: &str = "leaving";
const TEAMS: &str = "teams";
const MODEL_PREFIX: &str = "models.";
const SERVICE_PREFIX: &str = "services.";

/// The index of a published sheet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Index {
    /// The sheet's version.
    pub version: u64,
    /// When the operators published it.
    #[serde(with = "humantime_serde")]
    pub published: SystemTime,
    /// See [`Sheet::home_horizon`].
    #[serde(with = "humantime_serde")]
    pub home_horizon: Duration,
    /// See [`Sheet::origin_region`].
    pub origin_region: Name,
    /// The digest of each section, by section name.
    pub sections: BTreeMap<Name, Digest>,
}

/// A sheet in its published form.
#[derive(Clone, Debug)]
pub struct PublishedSheet {
    /// The text of the index.
    pub index: Vec<u8>,
    /// The text of each section, by digest.
    pub sections: BTreeMap<Digest, Vec<u8>>,
}

/// Splits a sheet into the index and sections that operators publish.
pub fn pack(sheet: &Sheet) -> PublishedSheet {
    let mut texts: BTreeMap<Name, String> = BTreeMap::new();
    texts.insert(DATA_CENTRES.into(), to_yaml(&sheet.data_centres));
    texts.insert(LEAVING.into(), to_yaml(&sheet.leaving));
    texts.insert(TEAMS.into(), to_yaml(&sheet.teams));
    for (name, model) in &sheet.models {
        texts.insert(format!("{MODEL_PREFIX}{name}").into(), to_yaml(model));
    }
    for (name, service) in &sheet.services {
        texts.insert(format!("{SERVICE_PREFIX}{name}").into(), to_yaml(service));
    }
    let index = Index {
        version: sheet.version,
        published: sheet.published,
        home_horizon: sheet.home_horizon,
        origin_region: sheet.origin_region.clone(),
        sections: texts
            .iter()
            .map(|(name, text)| (name.clone(), Digest::of(text.as_bytes())))
            .collect(),
    };
    PublishedSheet {
        index: to_yaml(&index).into_bytes(),
        sections: texts
            .into_values()
            .map(|text| (Digest::of(text.as_bytes()), text.into_bytes()))
            .collect(),
    }
}

/// Serializes a value as YAML. For these types this cannot fail: every key is a string.
pub(crate) fn to_yaml(value: &impl Serialize) -> String {
    serde_yaml_ng::to_string(value).unwrap_or_default()
}

impl Index {
    /// Parses an index.
    pub fn parse(text: &[u8]) -> Result<Self, SheetError> {
        parse_section("index", text)
    }

    /// Builds and validates the sheet from its sections.
    pub(crate) fn assemble<'a>(
        &self,
        section_by_digest: impl Fn(&Digest) -> Option<&'a Section>,
    ) -> Result<Sheet, SheetError> {
        let mut sheet = Sheet {
            version: self.version,
            published: self.published,
            home_horizon: self.home_horizon,
            origin_region: self.origin_region.clone(),
            data_centres: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            teams: BTreeMap::new(),
            leaving: BTreeSet::new(),
        };
        for (name, digest) in &self.sections {
            match section_by_digest(digest) {
                Some(section) => insert_section(&mut sheet, name, section),
                None => {
                    return Err(SheetError::value(
                        "sections",
                        name,
                        "a section that is held",
                    ))
                }
            }
        }
        validate::check(&sheet)?;
        Ok(sheet)
    }
}

/// A parsed section.
#[derive(Clone, Debug)]
pub(crate) enum Section {
    DataCentres(BTreeMap<Name, DataCentre>),
    Leaving(BTreeSet<Name>),
    Teams(BTreeMap<Name, Team>),
    Model(Model),
    Service(Service),
}

impl Section {
    /// Parses the section that has `name` in the index. The name determines its type.
    pub fn parse(name: &str, text: &[u8]) -> Result<Self, SheetError> {
        match name {
            DATA_CENTRES => parse_section(name, text).map(Self::DataCentres),
            LEAVING => parse_section(name, text).map(Self::Leaving),
            TEAMS => parse_section(name, text).map(Self::Teams),
            other if other.starts_with(MODEL_PREFIX) => parse_section(name, text).map(Self::Model),
            other if other.starts_with(SERVICE_PREFIX) => {
                parse_section(name, text).map(Self::Service)
            }
            other => Err(SheetError::value(
                "sections",
                other,
                "data_centres, leaving, teams, models.NAME or services.NAME",
            )),
        }
    }
}

fn insert_section(sheet: &mut Sheet, name: &str, section: &Section) {
    match section {
        Section::DataCentres(value) => sheet.data_centres.clone_from(value),
        Section::Leaving(value) => sheet.leaving.clone_from(value),
        Section::Teams(value) => sheet.teams.clone_from(value),
        Section::Model(value) => {
            let name = name.strip_prefix(MODEL_PREFIX).unwrap_or(name);
            sheet.models.insert(name.into(), value.clone());
        }
        Section::Service(value) => {
            let name = name.strip_prefix(SERVICE_PREFIX).unwrap_or(name);
            sheet.services.insert(name.into(), value.clone());
        }
    }
}

fn parse_section<T: DeserializeOwned>(section: &str, text: &[u8]) -> Result<T, SheetError> {
    let text = std::str::from_utf8(text).map_err(|e| SheetError::Syntax {
        section: section.into(),
        cause: e.to_string(),
    })?;
    from_yaml(section, text)
}
