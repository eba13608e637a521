//! Differences between two configurations, as sent to a peer.

use {
    kvstore::store::{
        Config,
        Part,
        PartHash,
        Revision,
        WriteId, //
    },
    policy::head::Hash,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::{
            HashMap,
            VecDeque, //
        },
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of configurations whose parts are kept. A peer that is further behind gets all parts.
const HISTORY_LIMIT: usize = 64;
/// Prefix of the names of parts, before their position; the same as in stored configurations.
const PART_PREFIX: &str = "fleet";

/// A configuration, as the difference to one that the receiver has.
///
/// Sent in full, 64,000 changes a day of a configuration of half a megabyte would use up all of
/// a node's control traffic. A change touches one part or two; the rest is sent as positions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) revision: Revision,
    pub(crate) writer: String,
    pub(crate) write: WriteId,
    /// The revision that the steps start from; none if they contain all parts.
    pub(crate) base: Option<Revision>,
    pub(crate) steps: Vec<Step>,
    /// Hash of the complete text, to detect a wrong base.
    pub(crate) hash: Hash,
}

/// One step of assembling a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Step {
    /// Parts of the base.
    Copy {
        /// The position of the first.
        first: u32,
        /// Number of parts.
        count: u32,
    },
    /// A part with this text.
    New(Arc<str>),
}

/// The hashes of the parts of recent configurations.
#[derive(Debug, Default)]
pub(crate) struct History {
    entries: VecDeque<PastConfig>,
}

#[derive(Debug)]
struct PastConfig {
    revision: Revision,
    parts: Vec<PartHash>,
}

impl History {
    pub(crate) fn push(&mut self, config: &Config) {
        self.entries.push_back(PastConfig {
            revision: config.revision,
            parts: config.parts.iter().map(Part::hash).collect(),
        });
        if self.entries.len() > HISTORY_LIMIT {
            self.entries.pop_front();
        }
    }

    /// Returns the delta from a revision to `config`.
    pub(crate) fn delta(&self, config: &Config, have: Revision) -> Delta {
        let base = self.entries.iter().find(|p| p.revision == have);
        Delta {
            revision: config.revision,
            writer: config.writer.clone(),
            write: config.write,
            base: base.map(|p| p.revision),
            steps: steps(base.map_or(&[], |p| &p.parts), &config.parts),
            hash: hash(&config.parts),
        }
    }
}

fn steps(base: &[PartHash], parts: &[Part]) -> Vec<Step> {
    let positions: HashMap<&PartHash, u32> = base.iter().zip(0..).collect();
    let mut steps = Vec::new();
    for part in parts {
        let position = positions.get(&part.hash()).copied();
        match (position, steps.last_mut()) {
            (Some(position), Some(Step::Copy { first, count })) if *first + *count == position => {
                *count += 1;
            }
            (Some(first), _) => steps.push(Step::Copy { first, count: 1 }),
            (None, _) => steps.push(Step::New(part.text.clone())),
        }
    }
    steps
}

impl Delta {
    /// Assembles the configuration; none if `have` is not the base of the delta.
    pub(crate) fn apply(self, have: Option<&Config>) -> Option<Config> {
        let base = match self.base {
            None => &[],
            Some(base) => have.filter(|c| c.revision == base)?.parts.as_slice(),
        };
        let mut texts: Vec<Arc<str>> = Vec::new();
        for step in self.steps {
            match step {
                Step::New(text) => texts.push(text),
                Step::Copy { first, count } => {
                    let from = first as usize;
                    let copied = base.get(from..from.checked_add(count as usize)?)?;
                    texts.extend(copied.iter().map(|p| p.text.clone()));
                }
            }
        }
        let parts: Vec<Part> = texts
            .into_iter()
            .enumerate()
            .map(|(i, text)| Part::new(format!("{PART_PREFIX}.{i}"), text))
            .collect();
        (hash(&parts) == self.hash).then_some(Config {
            revision: self.revision,
            writer: self.writer,
            write: self.write,
            parts,
        })
    }
}

/// Returns the hash of the complete text.
pub(crate) fn hash(parts: &[Part]) -> Hash {
    Hash(xxh3_64(kvstore::store::join(parts).as_bytes()))
}

#[cfg(test)]
mod tests;
