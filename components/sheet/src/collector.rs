//! Collects the index and sections of published sheets and activates each sheet once it is complete
//! and valid. The version of the active sheet never decreases.

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

/// The active sheet and the newer one whose sections are being collected.
#[derive(Clone, Debug, Default)]
pub struct SheetCollector {
    active: Option<ActiveSheet>,
    pending: Option<PendingSheet>,
    last_rejection: Option<(Digest, SheetError)>,
}

#[derive(Clone, Debug)]
struct ActiveSheet {
    digest: Digest,
    index: Arc<[u8]>,
    sections: Sections,
    sheet: Arc<Sheet>,
}

#[derive(Clone, Debug)]
struct PendingSheet {
    digest: Digest,
    index: Arc<[u8]>,
    parsed_index: Index,
    sections: Sections,
}

/// Sections by digest.
type Sections = BTreeMap<Digest, StoredSection>;

/// A section that was parsed.
#[derive(Clone, Debug)]
struct StoredSection {
    /// The text as received, for relay to neighbours.
    text: Arc<[u8]>,
    /// The name in the index, which determines the type of the section.
    name: Name,
    section: Arc<Section>,
}

/// The result of offering an index or a section.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferResult {
    /// It is known already or not needed.
    NotNeeded,
    /// It has a lower version than the active or pending sheet and is ignored.
    Outdated,
    /// The digests of the sections that are still missing.
    SectionsMissing(Vec<Digest>),
    /// The sheet is now the active one.
    Activated(Arc<Sheet>),
    /// The sheet is rejected; the active sheet stays.
    Rejected(SheetError),
}

impl SheetCollector {
    /// The active sheet.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.active.as_ref().map(|active| &active.sheet)
    }

    /// The version of the active sheet, zero if there is none.
    pub fn version(&self) -> u64 {
        self.sheet().map_or(0, |sheet| sheet.version)
    }

    /// The digest of the active index.
    pub fn digest(&self) -> Option<Digest> {
        self.active.as_ref().map(|active| active.digest)
    }

    /// The text of the active index, for relay to neighbours.
    pub fn index(&self) -> Option<&Arc<[u8]>> {
        self.active.as_ref().map(|active| &active.index)
    }

    /// The text of a section of the active or pending sheet, for relay to neighbours.
    pub fn section(&self, digest: &Digest) -> Option<&Arc<[u8]>> {
        let active = self.active.as_ref();
        active
            .and_then(|active| active.sections.get(digest))
            .or_else(|| self.pending.as_ref()?.sections.get(digest))
            .map(|stored| &stored.text)
    }

    /// Why the last rejected sheet was rejected. `None` once another sheet became active.
    pub fn rejection(&self) -> Option<&SheetError> {
        self.last_rejection.as_ref().map(|(_, e)| e)
    }

    /// The digests of the sections of the pending sheet that are still missing.
    pub fn missing_sections(&self) -> Vec<Digest> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        pending
            .parsed_index
            .sections
            .values()
            .filter(|digest| !pending.sections.contains_key(*digest))
            .copied()
            .collect()
    }

    /// Handles an index from the configuration service or a neighbour.
    pub fn offer_index(&mut self, text: &[u8]) -> OfferResult {
        let digest = Digest::of(text);
        if self.is_known(&digest) {
            return OfferResult::NotNeeded;
        }
        let parsed = match Index::parse(text) {
            Ok(parsed) => parsed,
            Err(e) => return self.reject(digest, e),
        };
        if let Some(active) = &self.active {
            if parsed.version < active.sheet.version {
                return OfferResult::Outdated;
            }
            if parsed.version == active.sheet.version {
                let e = SheetError::SameVersion {
                    version: parsed.version,
                    digest,
                    accepted: active.digest,
                };
                return self.reject(digest, e);
            }
        }
        if let Some(pending) = &self.pending {
            if parsed.version < pending.parsed_index.version {
                return OfferResult::Outdated;
            }
        }
        let sections = self.unchanged_sections(&parsed);
        self.pending = Some(PendingSheet {
            digest,
            index: text.into(),
            parsed_index: parsed,
            sections,
        });
        self.activate_if_complete()
    }

    /// Handles a section from the configuration service or a neighbour. Sections that the pending
    /// sheet does not need are ignored.
    pub fn offer_section(&mut self, text: &[u8]) -> OfferResult {
        let Some(pending) = &mut self.pending else {
            return OfferResult::NotNeeded;
        };
        let digest = Digest::of(text);
        let mut section_names = pending.parsed_index.sections.iter();
        let Some((name, _)) = section_names.find(|(_, d)| **d == digest) else {
            return OfferResult::NotNeeded;
        };
        let name = name.clone();
        match Section::parse(&name, text) {
            Ok(section) => {
                let stored = StoredSection {
                    text: text.into(),
                    name,
                    section: Arc::new(section),
                };
                pending.sections.insert(digest, stored);
                self.activate_if_complete()
            }
            Err(e) => {
                let digest = pending.digest;
                self.pending = None;
                self.reject(digest, e)
            }
        }
    }

    fn is_known(&self, digest: &Digest) -> bool {
        let active = self.active.as_ref().map(|a| &a.digest);
        let pending = self.pending.as_ref().map(|p| &p.digest);
        let last_rejection = self.last_rejection.as_ref().map(|(d, _)| d);
        [active, pending, last_rejection].contains(&Some(digest))
    }

    /// The sections of `index` that the active sheet has too, so that they need not be fetched
    /// again.
    fn unchanged_sections(&self, index: &Index) -> Sections {
        let Some(active) = &self.active else {
            return Sections::new();
        };
        index
            .sections
            .iter()
            .filter_map(|(name, digest)| {
                let stored = active.sections.get(digest)?;
                (stored.name == *name).then(|| (*digest, stored.clone()))
            })
            .collect()
    }

    fn activate_if_complete(&mut self) -> OfferResult {
        let missing = self.missing_sections();
        if !missing.is_empty() {
            return OfferResult::SectionsMissing(missing);
        }
        let Some(pending) = self.pending.take() else {
            return OfferResult::NotNeeded;
        };
        let section_by_digest =
            |digest: &Digest| pending.sections.get(digest).map(|stored| &*stored.section);
        match pending.parsed_index.assemble(section_by_digest) {
            Ok(sheet) => {
                let sheet = Arc::new(sheet);
                self.last_rejection = None;
                self.active = Some(ActiveSheet {
                    digest: pending.digest,
                    index: pending.index,
                    sections: pending.sections,
                    sheet: sheet.clone(),
                });
                OfferResult::Activated(sheet)
            }
            Err(e) => self.reject(pending.digest, e),
        }
    }

    fn reject(&mut self, digest: Digest, e: SheetError) -> OfferResult {
        self.last_rejection = Some((digest, e.clone()));
        OfferResult::Rejected(e)
    }
}
