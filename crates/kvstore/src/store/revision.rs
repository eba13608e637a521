//! Identifies a configuration by its revision and the write that made it.

use {
    policy::head::Revision,
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// Random number of a write, by which its writer recognizes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WriteId(u64);

/// The configuration that a change is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Base {
    /// Its revision; 0 if there was none.
    pub revision: Revision,
    /// The write that made it, if the operator knows it.
    pub write: Option<WriteId>,
}

impl WriteId {
    /// Draws a new number.
    pub fn random() -> WriteId {
        WriteId(fastrand::u64(..))
    }
}

impl From<Revision> for Base {
    fn from(revision: Revision) -> Base {
        Base {
            revision,
            write: None,
        }
    }
}

hex_text!(WriteId, u64, "{:016x}");
