//! Configuration revisions, their sources, and the decisions about them.

use {
    crate::RouterId,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        num::ParseIntError,
        str::FromStr, //
    },
};

/// The number of an accepted configuration; later configurations have higher numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision before the first configuration.
    pub const NONE: Revision = Revision(0);

    /// Returns the next higher revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// The hash of a configuration's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(pub u64);

/// The source of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// The platform's key-value service.
    Platform,
    /// Another router.
    Peer(RouterId),
}

/// The action to take after an offer, a failed fetch or a tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Fetch this revision, or a higher one, from the source.
    Fetch {
        /// The lowest revision to accept.
        revision: Revision,
        /// The source that offered it.
        from: Source,
    },
    /// Nothing to do.
    Ignore,
    /// The platform has an older revision than this router: it was restored from a backup or is
    /// inconsistent. Its revision is not used, and operators should be notified.
    Stale {
        /// The revision in force here.
        ours: Revision,
        /// The revision the platform offers.
        theirs: Revision,
    },
}

/// The result of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The fetched revision is in force now.
    InForce,
    /// It is not higher than the one in force, which stays.
    Old,
    /// It has the number of the one in force, but a different text. The one in force stays;
    /// operators should write their change again with a higher number.
    Conflict {
        /// The hash of the text in force.
        ours: Hash,
        /// The hash of the text fetched.
        theirs: Hash,
    },
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Revision, ParseIntError> {
        s.parse().map(Revision)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Platform => f.pad("the platform"),
            Source::Peer(id) => id.fmt(f),
        }
    }
}
