//! The platform's list of instances, as known to this process.

use std::collections::HashMap;
use std::net::SocketAddr;

use protocol::{
    Instance,
    InstanceListUpdate,
    InstanceState,
    Role, //
};
use utils::Name;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// The instances by name, in a hash map so that the cost of a lookup does not grow with their
/// number. Instances that are gone are kept, so that neighbours learn of the removal.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    revision: u64,
    instances: HashMap<Name, Instance, Xxh3DefaultBuilder>,
}

impl InstanceList {
    /// The latest known revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies changes to the list. Returns whether any instance changed.
    pub fn apply_changes(&mut self, update: InstanceListUpdate) -> bool {
        let mut changed = false;
        for instance in update.instances {
            let known = self.instances.get(&instance.name);
            if known.is_some_and(|known| known.revision >= instance.revision) {
                continue;
            }
            changed = true;
            self.instances.insert(instance.name.clone(), instance);
        }
        self.revision = self.revision.max(update.revision);
        changed
    }

    /// The changes after `revision`, the oldest first.
    pub fn changes_after(&self, revision: u64) -> InstanceListUpdate {
        let changed = self.instances.values().filter(|i| i.revision > revision);
        let mut instances: Vec<Instance> = changed.cloned().collect();
        instances.sort_unstable_by_key(|i| i.revision);
        InstanceListUpdate {
            revision: self.revision,
            instances,
        }
    }

    /// The instance with this name.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// The address of the entry or agent on an instance that is not gone.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let instance = self.get(name)?;
        (instance.state != InstanceState::Gone).then_some(instance.address)
    }

    /// Whether the list contains the instance as live, neither leaving nor gone.
    pub fn is_live(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|instance| instance.state == InstanceState::Live)
    }

    /// Whether the list marks the instance as gone.
    pub fn is_gone(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|instance| instance.state == InstanceState::Gone)
    }

    /// The instances that are not gone.
    pub fn present_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances
            .values()
            .filter(|instance| instance.state != InstanceState::Gone)
    }

    /// The entries that are not gone.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.present_instances().filter(|i| i.role == Role::Entry)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn instance(name: &str, revision: u64, state: InstanceState) -> Instance {
        Instance {
            name: name.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "accra-a".into(),
            role: Role::Agent,
            state,
            revision,
        }
    }

    #[test]
    fn older_change_does_not_override_newer_one() {
        let mut list = InstanceList::default();
        let update = |instance: Instance| InstanceListUpdate {
            revision: instance.revision,
            instances: vec![instance],
        };
        assert!(list.apply_changes(update(instance("a", 2, InstanceState::Gone))));
        assert!(!list.apply_changes(update(instance("a", 1, InstanceState::Live))));
        assert_eq!(list.revision(), 2);
        assert!(list.is_gone("a"));
        assert_eq!(list.address("a"), None);
    }

    #[test]
    fn changes_after_returns_only_changes_after_the_revision() {
        let mut list = InstanceList::default();
        list.apply_changes(InstanceListUpdate {
            revision: 2,
            instances: vec![
                instance("a", 1, InstanceState::Live),
                instance("b", 2, InstanceState::Live),
            ],
        });
        let update = list.changes_after(1);
        assert_eq!(update.instances.len(), 1);
        assert_eq!(&*update.instances[0].name, "b");
    }
}
