//! Entries of the roster.

use {
    crate::{
        placement::ReplicaKey,
        ReplicaId,
        Time, //
    },
    xxhash_rust::xxh3::xxh3_64_with_seed, //
};

/// A replica in a list.
#[derive(Debug, Clone)]
pub struct Listed<T> {
    /// Its id.
    pub id: ReplicaId,
    /// The key of its incarnation. A restart under the same id has another key.
    pub key: ReplicaKey,
    /// Other data of the list entry.
    pub value: T,
    /// Whether it is leaving.
    pub draining: bool,
}

impl<T> From<(ReplicaId, T, bool)> for Listed<T> {
    fn from((id, value, draining): (ReplicaId, T, bool)) -> Listed<T> {
        Listed {
            key: ReplicaKey::of(&id),
            id,
            value,
            draining,
        }
    }
}

/// One incarnation of a replica.
#[derive(Debug, Clone)]
pub(super) struct Entry<T> {
    pub(super) key: ReplicaKey,
    pub(super) value: T,
    /// It is leaving according to the list.
    pub(super) leaving: bool,
    /// It takes no requests, according to the list, a peer or itself.
    pub(super) draining: bool,
    /// The list lacks it, and until this time it may reappear there.
    pub(super) kept: Option<Time>,
}

impl<T> Entry<T> {
    /// Returns its part of the digest of the list, which is 0 if the list lacks it.
    pub(super) fn fingerprint(&self) -> u32 {
        match self.kept {
            Some(_) => 0,
            None => {
                xxh3_64_with_seed(&self.key.0.to_le_bytes(), u64::from(self.leaving) + 1) as u32
            }
        }
    }
}

/// The origin of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListOrigin {
    Local,
    Peer,
}
