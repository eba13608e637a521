//! Changes of the list, for peers that are behind and for tables that are kept along with it.

use {
    super::Listed,
    crate::{
        placement::ReplicaKey,
        ReplicaId,
        Revision,
        Span, //
    },
    std::collections::{
        BTreeSet,
        VecDeque, //
    },
};

/// Changes that are kept for peers. A peer that lacks more of them gets the whole list, which is not
/// much longer for it.
const LOG_MAX: usize = 4_096;

/// A change of one entry of the list.
#[derive(Debug, Clone)]
pub enum EntryChange<T> {
    /// The replica is listed.
    Listed(Listed<T>),
    /// The replica is no longer listed, but may reappear within this time, as its entry may have
    /// lapsed because of an outage of the store.
    Kept(Listed<T>, Span),
    /// The replica is no longer listed.
    Gone(ReplicaId),
}

/// What a peer needs to have the same list.
#[derive(Debug, Clone)]
pub struct Update<T> {
    /// The changes are the whole list.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<EntryChange<T>>,
    /// The store's revision that the list includes.
    pub revision: Option<Revision>,
    /// The digest of the list.
    pub digest: u32,
    /// Time since the list was made.
    pub age: Span,
}

/// A change of the known replicas, for tables with data on each of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange<T> {
    /// The replica is new, or something about it changed.
    Known {
        /// Its id.
        id: ReplicaId,
        /// The data of its earlier entry, if that differs.
        before: Option<T>,
    },
    /// The incarnation is no longer known.
    Removed {
        /// The id, which another incarnation may have.
        id: ReplicaId,
        /// The key of the incarnation.
        key: ReplicaKey,
        /// The data of its last entry.
        value: T,
        /// Whether it took no requests.
        draining: bool,
    },
}

/// The ids of the entries that changed last.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeLog {
    /// Oldest first, with the revision of the store at which each change was known.
    changes: VecDeque<(Revision, ReplicaId)>,
    /// The log has all changes after this revision.
    start: Option<Revision>,
}

impl ChangeLog {
    /// Starts over with a list of a revision, if that is known.
    pub(super) fn restart(&mut self, at: Option<Revision>) {
        self.changes.clear();
        self.start = at;
    }

    /// Returns whether the log has the changes since some revision.
    pub(super) fn is_started(&self) -> bool {
        self.start.is_some()
    }

    pub(super) fn record(&mut self, id: &ReplicaId, at: Revision) {
        self.changes.push_back((at, id.clone()));
        if self.changes.len() > LOG_MAX {
            self.start = self.changes.pop_front().map(|(dropped, _)| dropped);
        }
    }

    /// Returns the entries that changed after a revision, unless some of them are unknown.
    pub(super) fn since(&self, revision: Revision) -> Option<BTreeSet<&ReplicaId>> {
        if self.start.is_none_or(|start| revision < start) {
            return None;
        }
        let newest_first = self.changes.iter().rev();
        let later = newest_first.take_while(|(at, _)| *at > revision);
        Some(later.map(|(_, id)| id).collect())
    }
}
