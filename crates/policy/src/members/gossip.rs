//! The queue of gossip updates that are still to be sent.

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

/// Maximum number of updates in one heartbeat.
const UPDATES_PER_HEARTBEAT: usize = 8;
/// How often an update is sent for each doubling of the fleet's size.
const REPEATS_PER_DOUBLING: u32 = 3;

/// The newest update about each router, and how often it is still to be sent.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    by_router: BTreeMap<RouterId, (GossipUpdate, u32)>,
}

impl Gossip {
    /// Queues an update for a fleet of `n` routers; it replaces an older one.
    pub(super) fn push(&mut self, r: GossipUpdate, n: usize) {
        let repeats = REPEATS_PER_DOUBLING * (n as u32 + 1).ilog2().max(1);
        self.by_router.insert(r.id.clone(), (r, repeats));
    }

    /// Takes the updates for the next heartbeat, those sent least often first.
    pub(super) fn take(&mut self) -> Vec<GossipUpdate> {
        let mut next: Vec<(u32, RouterId)> = self
            .by_router
            .iter()
            .map(|(id, (_, left))| (*left, id.clone()))
            .collect();
        next.sort_by_key(|(left, _)| Reverse(*left));
        next.truncate(UPDATES_PER_HEARTBEAT);
        next.into_iter()
            .filter_map(|(_, id)| self.take_one(&id))
            .collect()
    }

    fn take_one(&mut self, id: &RouterId) -> Option<GossipUpdate> {
        let (r, left) = self.by_router.get_mut(id)?;
        *left -= 1;
        if *left > 0 {
            return Some(r.clone());
        }
        self.by_router.remove(id).map(|(r, _)| r)
    }
}

impl GossipUpdate {
    /// Returns whether this update wins over `state`, as known from heartbeat `seq` of the same
    /// incarnation.
    pub(super) fn supersedes(&self, seq: u64, state: ReportedState) -> bool {
        match (self.reported, state) {
            (_, ReportedState::Left) => false,
            (ReportedState::Left, _) => true,
            _ => (self.seq, self.reported) > (seq, state),
        }
    }
}
