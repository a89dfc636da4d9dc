//! The platform's list of instances, as far as it has reached this process.

use std::collections::HashMap;
use std::net::SocketAddr;

use protocol::{
    Instance,
    InstanceState,
    News,
    Role, //
};
use utils::Name;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// Instances by name, found at a cost that does not grow with their number. Those that are gone are kept, so that neighbours learn of it.
#[derive(Clone, Debug, Default)]
pub struct Members {
    revision: u64,
    instances: HashMap<Name, Instance, Xxh3DefaultBuilder>,
}

impl Members {
    /// The revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes changes. Returns whether anything changed.
    pub fn apply(&mut self, news: News) -> bool {
        let mut changed = false;
        for instance in news.instances {
            let known = self.instances.get(&instance.name);
            if known.is_some_and(|known| known.revision >= instance.revision) {
                continue;
            }
            changed = true;
            self.instances.insert(instance.name.clone(), instance);
        }
        self.revision = self.revision.max(news.revision);
        changed
    }

    /// What changed after `revision`.
    pub fn since(&self, revision: u64) -> News {
        let changed = self.instances.values().filter(|i| i.revision > revision);
        let mut instances: Vec<Instance> = changed.cloned().collect();
        instances.sort_unstable_by_key(|i| i.revision);
        News {
            revision: self.revision,
            instances,
        }
    }

    /// One instance.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.instances.get(name)
    }

    /// The address of the system's process on an instance that is not gone.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let instance = self.get(name)?;
        (instance.state != InstanceState::Gone).then_some(instance.address)
    }

    /// Whether the list says that the instance is there and stays.
    pub fn is_live(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|instance| instance.state == InstanceState::Live)
    }

    /// Whether the list says that the instance is gone.
    pub fn is_gone(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|instance| instance.state == InstanceState::Gone)
    }

    /// The instances that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Instance> {
        self.instances
            .values()
            .filter(|instance| instance.state != InstanceState::Gone)
    }

    /// The entries that are not gone.
    pub fn entries(&self) -> impl Iterator<Item = &Instance> {
        self.present().filter(|i| i.role == Role::Entry)
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
    fn an_older_change_never_undoes_a_newer_one() {
        let mut members = Members::default();
        let news = |instance: Instance| News {
            revision: instance.revision,
            instances: vec![instance],
        };
        assert!(members.apply(news(instance("a", 2, InstanceState::Gone))));
        assert!(!members.apply(news(instance("a", 1, InstanceState::Live))));
        assert_eq!(members.revision(), 2);
        assert!(members.is_gone("a"));
        assert_eq!(members.address("a"), None);
    }

    #[test]
    fn news_after_a_revision_holds_later_changes_only() {
        let mut members = Members::default();
        members.apply(News {
            revision: 2,
            instances: vec![
                instance("a", 1, InstanceState::Live),
                instance("b", 2, InstanceState::Live),
            ],
        });
        let news = members.since(1);
        assert_eq!(news.instances.len(), 1);
        assert_eq!(&*news.instances[0].name, "b");
    }
}
