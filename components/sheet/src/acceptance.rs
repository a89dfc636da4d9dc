//! Acceptance of published sheets: whole or not at all, and never back.

use std::collections::BTreeMap;
use std::sync::Arc;

use utils::digest::Digest;
use utils::Name;

use crate::document::Sheet;
use crate::error::SheetError;
use crate::index::{
    Index,
    Section, //
};

/// The sheet in force and the one being collected.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    in_force: Option<Accepted>,
    collecting: Option<Collecting>,
    refused: Option<(Digest, SheetError)>,
}

#[derive(Clone, Debug)]
struct Accepted {
    digest: Digest,
    index: Arc<[u8]>,
    sections: Sections,
    sheet: Arc<Sheet>,
}

#[derive(Clone, Debug)]
struct Collecting {
    digest: Digest,
    index: Arc<[u8]>,
    parsed: Index,
    sections: Sections,
}

/// Sections by digest: the text for relay, and what was read from it under the name that told its
/// kind.
type Sections = BTreeMap<Digest, Held>;

#[derive(Clone, Debug)]
struct Held {
    text: Arc<[u8]>,
    name: Name,
    section: Arc<Section>,
}

/// What came of an offered index or section.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// Nothing new.
    Known,
    /// An older version than the one in force, not taken.
    Older,
    /// Sections that are still missing, by digest.
    Missing(Vec<Digest>),
    /// A new sheet is in force.
    Accepted(Arc<Sheet>),
    /// The sheet is refused; the one before stays in force.
    Refused(SheetError),
}

impl Acceptance {
    /// The sheet in force.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.in_force.as_ref().map(|accepted| &accepted.sheet)
    }

    /// The version in force, zero when there is none.
    pub fn version(&self) -> u64 {
        self.sheet().map_or(0, |sheet| sheet.version)
    }

    /// The digest of the index in force.
    pub fn digest(&self) -> Option<Digest> {
        self.in_force.as_ref().map(|accepted| accepted.digest)
    }

    /// The text of the index in force, for relay to neighbours.
    pub fn index(&self) -> Option<&Arc<[u8]>> {
        self.in_force.as_ref().map(|accepted| &accepted.index)
    }

    /// The text of a section that is held, for relay to neighbours.
    pub fn section(&self, digest: &Digest) -> Option<&Arc<[u8]>> {
        let in_force = self.in_force.as_ref();
        in_force
            .and_then(|accepted| accepted.sections.get(digest))
            .or_else(|| self.collecting.as_ref()?.sections.get(digest))
            .map(|held| &held.text)
    }

    /// The last refusal, for operators.
    pub fn refusal(&self) -> Option<&SheetError> {
        self.refused.as_ref().map(|(_, e)| e)
    }

    /// Sections of the sheet being collected that are still missing.
    pub fn missing(&self) -> Vec<Digest> {
        let Some(collecting) = &self.collecting else {
            return Vec::new();
        };
        collecting
            .parsed
            .sections
            .values()
            .filter(|digest| !collecting.sections.contains_key(*digest))
            .copied()
            .collect()
    }

    /// Takes an index that was read or relayed.
    pub fn offer_index(&mut self, text: &[u8]) -> Offer {
        let digest = Digest::of(text);
        if self.is_known(&digest) {
            return Offer::Known;
        }
        let parsed = match Index::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return self.refuse(digest, e),
        };
        if let Some(accepted) = &self.in_force {
            if parsed.version < accepted.sheet.version {
                return Offer::Older;
            }
            if parsed.version == accepted.sheet.version {
                let e = SheetError::SameVersion {
                    version: parsed.version,
                    digest,
                    accepted: accepted.digest,
                };
                return self.refuse(digest, e);
            }
        }
        if let Some(collecting) = &self.collecting {
            if parsed.version < collecting.parsed.version {
                return Offer::Older;
            }
        }
        let sections = self.held_sections(&parsed);
        self.collecting = Some(Collecting {
            digest,
            index: text.into(),
            parsed,
            sections,
        });
        self.finish()
    }

    /// Takes a section that was read or relayed. Unwanted content is ignored.
    pub fn offer_section(&mut self, text: &[u8]) -> Offer {
        let Some(collecting) = &mut self.collecting else {
            return Offer::Known;
        };
        let digest = Digest::of(text);
        let mut named = collecting.parsed.sections.iter();
        let Some((name, _)) = named.find(|(_, d)| **d == digest) else {
            return Offer::Known;
        };
        let name = name.clone();
        match Section::parse(&name, text) {
            Ok(section) => {
                let held = Held {
                    text: text.into(),
                    name,
                    section: Arc::new(section),
                };
                collecting.sections.insert(digest, held);
                self.finish()
            }
            Err(e) => {
                let digest = collecting.digest;
                self.collecting = None;
                self.refuse(digest, e)
            }
        }
    }

    fn is_known(&self, digest: &Digest) -> bool {
        let in_force = self.in_force.as_ref().map(|a| &a.digest);
        let collecting = self.collecting.as_ref().map(|c| &c.digest);
        let refused = self.refused.as_ref().map(|(d, _)| d);
        [in_force, collecting, refused].contains(&Some(digest))
    }

    /// Sections that did not change are carried over from the sheet in force, as they were read.
    fn held_sections(&self, index: &Index) -> Sections {
        let Some(accepted) = &self.in_force else {
            return Sections::new();
        };
        index
            .sections
            .iter()
            .filter_map(|(name, digest)| {
                let held = accepted.sections.get(digest)?;
                (held.name == *name).then(|| (*digest, held.clone()))
            })
            .collect()
    }

    fn finish(&mut self) -> Offer {
        let missing = self.missing();
        if !missing.is_empty() {
            return Offer::Missing(missing);
        }
        let Some(collecting) = self.collecting.take() else {
            return Offer::Known;
        };
        let find = |digest: &Digest| collecting.sections.get(digest).map(|held| &*held.section);
        match collecting.parsed.assemble(find) {
            Ok(sheet) => {
                let sheet = Arc::new(sheet);
                self.refused = None;
                self.in_force = Some(Accepted {
                    digest: collecting.digest,
                    index: collecting.index,
                    sections: collecting.sections,
                    sheet: sheet.clone(),
                });
                Offer::Accepted(sheet)
            }
            Err(e) => self.refuse(collecting.digest, e),
        }
    }

    fn refuse(&mut self, digest: Digest, e: SheetError) -> Offer {
        self.refused = Some((digest, e.clone()));
        Offer::Refused(e)
    }
}
