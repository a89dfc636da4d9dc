//! Reads the platform's list of instances.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::message::{
    Instance,
    InstanceListUpdate, //
};

#[derive(Deserialize)]
struct Document<'a> {
    revision: u64,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

impl InstanceListUpdate {
    /// Reads an update from JSON. An instance that cannot be read is left out, since it may come from
    /// another writer, and does not affect the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is no JSON, or no list with a revision.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        let document: Document<'_> = serde_json::from_slice(text)?;
        let instances = document.instances.into_iter().filter_map(|instance| {
            serde_json::from_str::<Instance>(instance.get())
                .inspect_err(|e| log::warn!("an entry of the list of instances is unreadable: {e}"))
                .ok()
        });
        Ok(Self {
            revision: document.revision,
            instances: instances.collect(),
        })
    }
}
