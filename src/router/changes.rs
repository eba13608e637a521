//! Changes to the list of instances, as sent to a peer.

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

/// Number of changes that are kept. A peer that is further behind gets the complete list.
const CHANGE_LIMIT: usize = 2_000;

/// A list, as the difference to one that the receiver has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) revision: u64,
    /// The revision that the changes start from; none if they contain the complete list.
    pub(crate) base: Option<u64>,
    pub(crate) present: Vec<Instance>,
    /// Names of instances that were removed.
    pub(crate) gone: Vec<String>,
    /// Hash of the complete list, to detect a wrong base.
    pub(crate) hash: Hash,
}

/// The latest changes to the list.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// The changes, oldest first.
    changes: VecDeque<Change>,
    /// The revision before the oldest change.
    oldest_base: u64,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    name: String,
}

impl ChangeLog {
    /// Records which instances differ between two lists.
    pub(crate) fn record(&mut self, old: &Listed, new: &Listed) {
        if new.revision <= old.revision || old.revision == 0 {
            // The numbering was restarted, or this is the first list: its history is unknown.
            self.changes.clear();
            self.oldest_base = new.revision;
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
        while self.changes.len() > CHANGE_LIMIT {
            if let Some(old) = self.changes.pop_front() {
                self.oldest_base = old.revision;
            }
        }
    }

    /// Returns the changes from a revision to the list.
    pub(crate) fn since(&self, have: u64, listed: &Listed) -> Changes {
        if have < self.oldest_base || have > listed.revision || have == 0 {
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
    /// Applies the changes; none if `have` is not the list that they start from.
    ///
    /// A restarted platform assigns the same revisions again, to other lists. Changes applied
    /// to the wrong one would keep instances that were removed, or lack some that exist, until
    /// these change again. The hash detects that.
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

/// Returns the hash of a list, which does not depend on its order.
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
