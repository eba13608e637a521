//! The hash ring that decides which routers exchange heartbeats in a large fleet.

use {
    super::{
        MembershipParams,
        State, //
    },
    crate::{
        rendezvous,
        RouterId, //
    },
};

/// The rendezvous key whose scores order the routers on the ring.
const RING_KEY: &str = "ring";

/// The routers that are up, in ring order.
pub(super) struct Ring(Vec<(u64, RouterId)>);

impl Ring {
    /// Builds the ring of this router and the others that are up.
    pub(super) fn new<'a>(ids: impl Iterator<Item = &'a RouterId>) -> Ring {
        let mut all: Vec<(u64, RouterId)> = ids
            .map(|id| (rendezvous::score(RING_KEY, id.as_str()), id.clone()))
            .collect();
        all.sort();
        Ring(all)
    }

    /// Returns whether the fleet is small enough for all routers to exchange heartbeats.
    pub(super) fn is_full_mesh(&self, params: &MembershipParams) -> bool {
        self.0.len() <= params.fanout + 1
    }

    /// Returns the routers to which `me` sends a heartbeat in every round.
    pub(super) fn successors(&self, me: &RouterId, params: &MembershipParams) -> Vec<RouterId> {
        self.neighbors(me, params, |at, i, n| (at + i) % n)
    }

    /// Returns the routers that send a heartbeat to `me` in every round.
    pub(super) fn predecessors(&self, me: &RouterId, params: &MembershipParams) -> Vec<RouterId> {
        self.neighbors(me, params, |at, i, n| (at + n - i) % n)
    }

    fn neighbors(
        &self,
        me: &RouterId,
        params: &MembershipParams,
        index: impl Fn(usize, usize, usize) -> usize,
    ) -> Vec<RouterId> {
        let n = self.0.len();
        let Some(at) = self.0.iter().position(|(_, id)| id == me) else {
            return Vec::new();
        };
        let count = match self.is_full_mesh(params) {
            true => n - 1,
            false => params.fanout / 2,
        };
        (1..=count)
            .map(|i| self.0[index(at, i, n)].1.clone())
            .collect()
    }
}

impl State {
    /// Returns whether a router in this state is on the ring.
    pub(super) fn on_ring(self) -> bool {
        matches!(self, State::Listed | State::Live | State::Suspect)
    }
}
