//! A router, as the owner of a pool sees it.

use {
    crate::{
        dispatch::Wait,
        entry::ReplicaKey,
        Incarnation,
        PeerState,
        Time,
        Zone, //
    },
    std::collections::BTreeMap,
};

/// A router that may hold slots.
#[derive(Debug)]
pub(crate) struct Borrower {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Zone,
    pub(crate) state: PeerState,
    /// Since when its state is what it is.
    pub(crate) since: Time,
    /// Number of its last report; none was heard while it is 0.
    pub(crate) report: u64,
    /// Slots that it said it keeps.
    pub(crate) kept: BTreeMap<ReplicaKey, u32>,
    pub(crate) running: u32,
    pub(crate) waits: Vec<Wait>,
    /// Number of the last lend to it.
    pub(crate) lend: u64,
    /// Slots that it was lent.
    pub(crate) lent: BTreeMap<ReplicaKey, u32>,
    /// Lends that it may or may not have seen.
    ///
    /// A slot that was lent and asked back at once may already be in use: the first of
    /// the two messages arrives first. So it counts as held until it says that it has
    /// seen the second.
    pub(crate) open: Vec<(u64, BTreeMap<ReplicaKey, u32>)>,
    /// The last lend that it has seen.
    pub(crate) seen: u64,
    /// When it was last told.
    pub(crate) told: Option<Time>,
    /// Whether it has to be told.
    pub(crate) dirty: bool,
    /// The last report that it was told to be seen.
    pub(crate) acked: u64,
}

impl Borrower {
    pub(crate) fn new(incarnation: Incarnation, zone: Zone, state: PeerState, now: Time) -> Self {
        Borrower {
            incarnation,
            zone,
            state,
            since: now,
            report: 0,
            kept: BTreeMap::new(),
            running: 0,
            waits: Vec::new(),
            lend: 0,
            lent: BTreeMap::new(),
            open: Vec::new(),
            seen: 0,
            told: None,
            dirty: false,
            acked: 0,
        }
    }

    /// Returns whether it was heard as this incarnation.
    pub(crate) fn heard(&self) -> bool {
        self.report > 0
    }

    /// Returns whether slots may be lent to it.
    pub(crate) fn takes(&self) -> bool {
        self.heard() && self.state == PeerState::Live
    }

    /// Returns how many slots of a replica it may be using.
    pub(crate) fn holds(&self, key: ReplicaKey) -> u32 {
        let lent = self.lent.get(&key).copied().unwrap_or(0);
        let kept = self.kept.get(&key).copied().unwrap_or(0);
        let open = self.open.iter().filter_map(|(_, l)| l.get(&key).copied());
        open.fold(lent.max(kept), u32::max)
    }

    /// Returns how many slots it was lent in all.
    pub(crate) fn total(&self) -> u32 {
        self.lent.values().sum()
    }

    /// Lends one more slot.
    pub(crate) fn raise(&mut self, key: ReplicaKey) {
        *self.lent.entry(key).or_default() += 1;
        self.dirty = true;
    }

    /// Asks one slot back.
    pub(crate) fn lower(&mut self, key: ReplicaKey) {
        if let Some(n) = self.lent.get_mut(&key) {
            *n = n.saturating_sub(1);
            self.dirty = true;
        }
        self.lent.retain(|_, n| *n > 0);
    }
}
