//! Entries of the roster.

use crate::{
    placement::ReplicaKey,
    ReplicaId, //
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
    /// It takes no requests, according to the list, a peer or itself.
    pub(super) draining: bool,
}

/// The origin of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListOrigin {
    Local,
    Peer,
}
