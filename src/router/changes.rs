//! What changed in the list of instances, as it goes to a peer.

use {
    kvstore::{
        Instance,
        Listed, //
    },
    policy::head::Hash,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::{
        HashMap,
        VecDeque, //
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Changes that are remembered. A peer that is further behind gets the whole list.
const REMEMBERED: usize = 2_000;

/// The list, as changes to one that the receiver has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) revision: u64,
    /// The revision that the changes start from; none where they bring all.
    pub(crate) base: Option<u64>,
    pub(crate) present: Vec<Instance>,
    /// Names of instances that are gone.
    pub(crate) gone: Vec<String>,
    /// Hash of the whole list, so that a wrong base is noticed.
    pub(crate) hash: Hash,
}

/// The list and how it came about.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Each change, with the revision it came by.
    changes: VecDeque<Change>,
    /// The revision before the oldest change.
    first: u64,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    name: String,
}

impl ChangeLog {
    /// Notes which instances differ between two lists.
    pub(crate) fn record(&mut self, old: &Listed, new: &Listed) {
        if new.revision <= old.revision || old.revision == 0 {
            // The list began anew, so that nothing is known of what led to it.
            self.changes.clear();
            self.first = new.revision;
            return;
        }
        let before = by_name(old);
        let after = by_name(new);
        let changed = after.iter().filter(|(n, i)| before.get(*n) != Some(i));
        let gone = before.keys().filter(|n| !after.contains_key(*n));
        let names = changed.map(|(n, _)| n).chain(gone);
        for name in names {
            self.changes.push_back(Change {
                revision: new.revision,
                name: (*name).to_owned(),
            });
        }
        while self.changes.len() > REMEMBERED {
            if let Some(old) = self.changes.pop_front() {
                self.first = old.revision;
            }
        }
    }

    /// Makes the changes from a revision to the list.
    pub(crate) fn since(&self, have: u64, listed: &Listed) -> Changes {
        if have < self.first || have > listed.revision || have == 0 {
            return Changes {
                revision: listed.revision,
                base: None,
                present: listed.instances.clone(),
                gone: Vec::new(),
                hash: hash(listed),
            };
        }
        let now = by_name(listed);
        let mut names: Vec<&str> = self
            .changes
            .iter()
            .filter(|c| c.revision > have)
            .map(|c| c.name.as_str())
            .collect();
        names.sort_unstable();
        names.dedup();
        let present = names.iter().filter_map(|n| now.get(n).copied().cloned());
        let gone = names.iter().filter(|n| !now.contains_key(*n));
        Changes {
            revision: listed.revision,
            base: Some(have),
            present: present.collect(),
            gone: gone.map(|n| (*n).to_owned()).collect(),
            hash: hash(listed),
        }
    }
}

impl Changes {
    /// Puts the list together; none where it starts from another one.
    ///
    /// A platform that was restarted gives out the same revisions again, for other lists.
    /// Changes to one of these, made to the older one, would leave instances that are gone,
    /// or hide some that are there, until they change again. The hash tells.
    pub(crate) fn apply(self, have: &Listed) -> Option<Listed> {
        if self.base.is_some_and(|base| base != have.revision) {
            return None;
        }
        let old = match self.base {
            Some(_) => by_name(have),
            None => HashMap::new(),
        };
        let mut all: HashMap<String, Instance> = old
            .into_iter()
            .map(|(n, i)| (n.to_owned(), i.clone()))
            .collect();
        for name in &self.gone {
            all.remove(name);
        }
        for i in self.present {
            all.insert(i.name.clone(), i);
        }
        let mut instances: Vec<Instance> = all.into_values().collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let listed = Listed {
            revision: self.revision,
            instances,
        };
        (hash(&listed) == self.hash).then_some(listed)
    }
}

/// Returns the hash of a list, whatever its order.
fn hash(listed: &Listed) -> Hash {
    let mut sorted: Vec<&Instance> = listed.instances.iter().collect();
    sorted.sort_by(|a, b| a.name.cmp(&b.name));
    let bytes = rmp_serde::to_vec(&sorted).unwrap_or_default();
    Hash(xxh3_64(&bytes))
}

fn by_name(listed: &Listed) -> HashMap<&str, &Instance> {
    let instances = listed.instances.iter();
    instances.map(|i| (i.name.as_str(), i)).collect()
}

#[cfg(test)]
mod tests;
