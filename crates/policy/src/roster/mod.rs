//! Which replicas take requests, based on a list that can be read only now and then.

mod changes;
mod entry;
mod leaving;
mod merge;
mod outage;
mod reports;
mod turns;

pub use self::{
    changes::{
        EntryChange,
        RosterChange,
        Update, //
    },
    entry::Listed,
};

use {
    self::{
        changes::ChangeLog,
        entry::Entry,
        leaving::LeavingReplicas,
        outage::Outage,
        turns::Turns, //
    },
    crate::{
        placement::{
            ReplicaKey,
            ReplicaMap, //
        },
        turn,
        Era,
        Eras,
        ReplicaId,
        Revision,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// A list that arrives this soon after a peer's report may have been made before it: this is twice
/// the longest time that a call takes. If such a list were trusted, it would bring back a replica
/// that is leaving, and further reports of the departure
/// are ignored as already known.
const LIST_DELAY_MAX: Span = Span::millis(2_400);
/// How long a departed replica is remembered and reported to peers: several times the longest pause
/// between two reads of the list by the slowest router.
const DEPARTURE_SPAN: Span = Span::secs(6);

/// The known replicas, and which of them take requests.
///
/// # Examples
///
/// ```
/// use policy::{Roster, Time};
///
/// let mut roster: Roster<&str> = Roster::default();
/// roster.apply_list([("i-1".parse()?, "a", false)], Time(0));
/// assert_eq!(roster.ready().count(), 1);
/// roster.apply_list([("i-1".parse()?, "a", true)], Time(1));
/// assert_eq!(roster.ready().count(), 0);
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Roster<T> {
    entries: BTreeMap<ReplicaId, Entry<T>>,
    /// The ids of the entries by the keys of their incarnations.
    ids: ReplicaMap<ReplicaId>,
    /// The entries that the list lacks.
    kept: BTreeSet<ReplicaId>,
    /// The entries that take no requests only because a peer reported that they departed.
    reported: BTreeSet<ReplicaId>,
    /// The combined fingerprints of all entries.
    digest: u32,
    log: ChangeLog,
    /// Changes that were not taken yet.
    changes: Vec<RosterChange<T>>,
    /// Number of changes so far.
    generation: u64,
    outage: Outage,
    departed: BTreeMap<ReplicaKey, Time>,
    leaving: LeavingReplicas,
    turns: Turns,
    eras: Eras,
    /// The store's revision that the list includes.
    revision: Option<Revision>,
    /// When the store last came back from an older copy.
    returned: Option<Time>,
}

impl<T> Default for Roster<T> {
    fn default() -> Roster<T> {
        Roster {
            entries: BTreeMap::new(),
            ids: ReplicaMap::default(),
            kept: BTreeSet::new(),
            reported: BTreeSet::new(),
            digest: 0,
            log: ChangeLog::default(),
            changes: Vec::new(),
            generation: 0,
            outage: Outage::default(),
            departed: BTreeMap::new(),
            leaving: LeavingReplicas::default(),
            turns: Turns::default(),
            eras: Eras::default(),
            revision: None,
            returned: None,
        }
    }
}

impl<T> Roster<T> {
    /// How often a router checks whether to read the list.
    pub const POLL_INTERVAL: Span = turn::POLL_INTERVAL;

    /// Returns whether this router should read the list now, one of `routers`. `roll` is a random
    /// number from 0 to 1 that is drawn at each check.
    pub fn is_due(&self, roll: f64, routers: usize, now: Time) -> bool {
        self.turns.is_due(roll, routers, now)
    }

    /// Returns whether this router has had a list.
    pub fn has_list(&self) -> bool {
        self.turns.has_read()
    }

    /// Returns how long ago this router's list was made, to report it to the peers.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.turns.age(now)
    }

    /// Returns the store's era of this router's list, to report it to the peers.
    pub fn era(&self) -> Era {
        self.eras.confirmed()
    }

    /// Returns the store's revision that the list includes, if it is known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns a digest of the list, the same at all routers that have the same list.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns a number that increases with each change of what is known of the replicas.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the changes since they were last taken.
    pub fn take_changes(&mut self) -> Vec<RosterChange<T>> {
        std::mem::take(&mut self.changes)
    }

    /// Returns every known replica and whether it is draining, to send the list to a peer.
    pub fn all(&self) -> impl Iterator<Item = (&ReplicaId, &T, bool)> {
        self.entries
            .iter()
            .map(|(id, e)| (id, &e.value, e.draining))
    }

    /// Returns the replicas that take requests.
    pub fn ready(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        let ready = self.entries.iter().filter(|(_, e)| !e.draining);
        ready.map(|(id, e)| (id, &e.value))
    }

    /// Returns whether a replica is known and takes requests.
    pub fn takes_work(&self, id: &ReplicaId) -> bool {
        self.entries.get(id).is_some_and(|e| !e.draining)
    }

    /// Returns a known replica.
    pub fn get(&self, id: &ReplicaId) -> Option<&T> {
        self.entries.get(id).map(|e| &e.value)
    }

    /// Returns the id of a known incarnation.
    pub fn id_of(&self, key: ReplicaKey) -> Option<&ReplicaId> {
        self.ids.get(&key)
    }

    /// Returns every known replica, including draining ones.
    pub fn known(&self) -> impl Iterator<Item = (&ReplicaId, &T)> {
        self.entries.iter().map(|(id, e)| (id, &e.value))
    }
}
