//! The updates that still have to be passed on.

use {
    super::{
        GossipUpdate,
        ReportedState, //
    },
    crate::RouterId,
    std::{
        cmp::Reverse,
        collections::BTreeMap, //
    },
};

/// Most updates in one heartbeat.
const PER_BEAT: usize = 8;
/// A rumour is passed on this often for each doubling of the fleet.
const REPEATS: u32 = 3;

/// The newest rumour about each router, and how often it is still to be sent.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    by_router: BTreeMap<RouterId, (GossipUpdate, u32)>,
}

impl Gossip {
    /// Queues a rumour to be told to a fleet of `n`, in place of an older one.
    pub(super) fn push(&mut self, r: GossipUpdate, n: usize) {
        let repeats = REPEATS * (n as u32 + 1).ilog2().max(1);
        self.by_router.insert(r.id.clone(), (r, repeats));
    }

    /// Takes the updates of the next heartbeat, those told least often first.
    pub(super) fn take(&mut self) -> Vec<GossipUpdate> {
        let mut next: Vec<(u32, RouterId)> = self
            .by_router
            .iter()
            .map(|(id, (_, left))| (*left, id.clone()))
            .collect();
        next.sort_by_key(|(left, _)| Reverse(*left));
        next.truncate(PER_BEAT);
        next.into_iter()
            .filter_map(|(_, id)| self.tell(&id))
            .collect()
    }

    fn tell(&mut self, id: &RouterId) -> Option<GossipUpdate> {
        let (r, left) = self.by_router.get_mut(id)?;
        *left -= 1;
        if *left > 0 {
            return Some(r.clone());
        }
        self.by_router.remove(id).map(|(r, _)| r)
    }
}

impl GossipUpdate {
    /// Tells whether this news beats what is known: `seq` of the same start, and `word`.
    pub(super) fn supersedes(&self, seq: u64, state: ReportedState) -> bool {
        match (self.state, state) {
            (_, ReportedState::Left) => false,
            (ReportedState::Left, _) => true,
            _ => (self.seq, self.state) > (seq, state),
        }
    }
}
