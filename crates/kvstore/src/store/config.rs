//! A complete configuration that was read from the platform.

use {
    super::{
        part::Part,
        revision::{
            Base,
            WriteId, //
        },
        Revision, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
};

/// A complete configuration and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its revision.
    pub revision: Revision,
    /// The operator who wrote it.
    pub writer: String,
    /// The write that made it.
    pub write: WriteId,
    /// Its parts, in order.
    pub parts: Vec<Part>,
}

impl Config {
    /// Returns it as the base of a change.
    pub fn base(&self) -> Base {
        Base {
            revision: self.revision,
            write: Some(self.write),
        }
    }
}
