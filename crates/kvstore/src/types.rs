//! Numbers that the key-value service assigns.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::fmt,
};

/// The global revision at which a key was last written; 0 for a key that does not exist.
///
/// A platform that was restored to an older state assigns the same numbers again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyRevision(pub u64);

/// The number of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl KeyRevision {
    /// The revision of a key that does not exist.
    pub const NONE: KeyRevision = KeyRevision(0);
}

impl fmt::Display for KeyRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
