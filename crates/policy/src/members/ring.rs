//! Who beats whom in a fleet too large for everyone to beat everyone.

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

/// The key that places routers on the ring.
const KEY: &str = "ring";

/// The routers that are up, in the order of the ring.
pub(super) struct Ring(Vec<(u64, RouterId)>);

impl Ring {
    /// Places this router and the others that are up.
    pub(super) fn new<'a>(ids: impl Iterator<Item = &'a RouterId>) -> Ring {
        let mut all: Vec<(u64, RouterId)> = ids
            .map(|id| (rendezvous::score(KEY, id.as_str()), id.clone()))
            .collect();
        all.sort();
        Ring(all)
    }

    /// Tells whether the fleet is small enough for everyone to beat everyone.
    pub(super) fn small(&self, params: &MembershipParams) -> bool {
        self.0.len() <= params.fanout + 1
    }

    /// Returns the routers that `me` beats in every round.
    pub(super) fn successors(&self, me: &RouterId, params: &MembershipParams) -> Vec<RouterId> {
        self.around(me, params, |at, i, n| (at + i) % n)
    }

    /// Returns the routers that beat `me` in every round.
    pub(super) fn predecessors(&self, me: &RouterId, params: &MembershipParams) -> Vec<RouterId> {
        self.around(me, params, |at, i, n| (at + n - i) % n)
    }

    fn around(
        &self,
        me: &RouterId,
        params: &MembershipParams,
        place: impl Fn(usize, usize, usize) -> usize,
    ) -> Vec<RouterId> {
        let n = self.0.len();
        let Some(at) = self.0.iter().position(|(_, id)| id == me) else {
            return Vec::new();
        };
        let count = match self.small(params) {
            true => n - 1,
            false => params.fanout / 2,
        };
        (1..=count)
            .map(|i| self.0[place(at, i, n)].1.clone())
            .collect()
    }
}

impl State {
    /// Tells whether a router in this state has its place on the ring.
    pub(super) fn on_ring(self) -> bool {
        matches!(self, State::Listed | State::Live | State::Suspect)
    }
}
