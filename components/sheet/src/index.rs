//! The published form: a small index and sections named by digest.

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

use crate::document::Sheet;
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
pub struct Packed {
    /// The text of the index.
    pub index: Vec<u8>,
    /// The text of each section, by digest.
    pub sections: BTreeMap<Digest, Vec<u8>>,
}

/// Splits a sheet into the values that operators publish.
pub fn pack(sheet: &Sheet) -> Packed {
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
    Packed {
        index: to_yaml(&index).into_bytes(),
        sections: texts
            .into_values()
            .map(|text| (Digest::of(text.as_bytes()), text.into_bytes()))
            .collect(),
    }
}

/// Serializing these types cannot fail: every key is a string and no value borrows.
pub(crate) fn to_yaml(value: &impl Serialize) -> String {
    serde_yaml_ng::to_string(value).unwrap_or_default()
}

impl Index {
    /// Reads an index.
    pub fn parse(text: &[u8]) -> Result<Self, SheetError> {
        section_value("index", text)
    }

    /// Builds the sheet from its sections. `find` returns a section by digest.
    pub fn assemble<'a>(
        &self,
        find: impl Fn(&Digest) -> Option<&'a [u8]>,
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
            let text = find(digest).unwrap_or_default();
            let found = Digest::of(text);
            if found != *digest {
                return Err(SheetError::SectionDigest {
                    section: name.clone(),
                    found,
                    wanted: *digest,
                });
            }
            fill(&mut sheet, name, text)?;
        }
        validate::check(&sheet)?;
        Ok(sheet)
    }
}

fn fill(sheet: &mut Sheet, section: &str, text: &[u8]) -> Result<(), SheetError> {
    match section {
        DATA_CENTRES => sheet.data_centres = section_value(section, text)?,
        LEAVING => sheet.leaving = section_value(section, text)?,
        TEAMS => sheet.teams = section_value(section, text)?,
        other => {
            if let Some(name) = other.strip_prefix(MODEL_PREFIX) {
                let model = section_value(section, text)?;
                sheet.models.insert(name.into(), model);
            } else if let Some(name) = other.strip_prefix(SERVICE_PREFIX) {
                let service = section_value(section, text)?;
                sheet.services.insert(name.into(), service);
            } else {
                return Err(SheetError::value(
                    "sections",
                    other,
                    "data_centres, leaving, teams, models.NAME or services.NAME",
                ));
            }
        }
    }
    Ok(())
}

fn section_value<T: DeserializeOwned>(section: &str, text: &[u8]) -> Result<T, SheetError> {
    let text = std::str::from_utf8(text).map_err(|e| SheetError::Syntax {
        section: section.into(),
        cause: e.to_string(),
    })?;
    from_yaml(section, text)
}
