//! What changed between two configurations, as it goes to a peer.

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

/// Configurations whose parts are remembered. A peer that is further behind gets all.
const REMEMBERED: usize = 64;
/// Name that parts get before their place, as those who write configurations call them.
const PART: &str = "fleet";

/// A configuration, as changes to one that the receiver has.
///
/// 64,000 changes a day of a configuration of half a megabyte would take all of a node's
/// control traffic; a change touches one part or two, and the rest is named by its place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) revision: Revision,
    pub(crate) writer: String,
    pub(crate) write: WriteId,
    /// The revision that the steps start from; none where they bring all.
    pub(crate) base: Option<Revision>,
    pub(crate) steps: Vec<Step>,
    /// Hash of the whole text, so that a wrong base is noticed.
    pub(crate) hash: Hash,
}

/// One step of putting a configuration together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Step {
    /// Parts of the base.
    Copy {
        /// The place of the first.
        first: u32,
        /// How many.
        count: u32,
    },
    /// A part with this text.
    New(Arc<str>),
}

/// The parts of the configurations that were in force of late.
#[derive(Debug, Default)]
pub(crate) struct History {
    heads: VecDeque<Past>,
}

#[derive(Debug)]
struct Past {
    revision: Revision,
    parts: Vec<PartHash>,
}

impl History {
    pub(crate) fn push(&mut self, config: &Config) {
        self.heads.push_back(Past {
            revision: config.revision,
            parts: config.parts.iter().map(Part::hash).collect(),
        });
        if self.heads.len() > REMEMBERED {
            self.heads.pop_front();
        }
    }

    /// Makes the delta from a revision to `config`.
    pub(crate) fn delta(&self, config: &Config, have: Revision) -> Delta {
        let base = self.heads.iter().find(|p| p.revision == have);
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
    let places: HashMap<&PartHash, u32> = base.iter().zip(0..).collect();
    let mut steps = Vec::new();
    for part in parts {
        let place = places.get(&part.hash()).copied();
        match (place, steps.last_mut()) {
            (Some(place), Some(Step::Copy { first, count })) if *first + *count == place => {
                *count += 1;
            }
            (Some(first), _) => steps.push(Step::Copy { first, count: 1 }),
            (None, _) => steps.push(Step::New(part.text.clone())),
        }
    }
    steps
}

impl Delta {
    /// Puts the configuration together; none where the base is not the one meant.
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
            .map(|(i, text)| Part::new(format!("{PART}.{i}"), text))
            .collect();
        (hash(&parts) == self.hash).then_some(Config {
            revision: self.revision,
            writer: self.writer,
            write: self.write,
            parts,
        })
    }
}

/// Returns the hash of the whole text.
pub(crate) fn hash(parts: &[Part]) -> Hash {
    Hash(xxh3_64(kvstore::store::join(parts).as_bytes()))
}

#[cfg(test)]
mod tests;
