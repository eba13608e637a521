//! Below which number the tickets of an issuer are forgotten.

use {
    super::Ticket,
    crate::{
        Incarnation,
        RouterId, //
    },
    std::collections::HashMap, //
};

/// One floor for each issuer: a ticket below it may have run.
///
/// A router that has dropped the entry of a ticket it once started must not take it for
/// unused later, else the request runs twice. Expiry by time would not do: the clocks of
/// two machines stand still at different times (a frozen guest). The floor needs no clock:
/// an entry is dropped only by raising the floor above it.
#[derive(Debug, Default)]
pub(super) struct Floors {
    by_issuer: HashMap<RouterId, Floor>,
}

#[derive(Debug)]
struct Floor {
    incarnation: Incarnation,
    first: u64,
}

impl Floors {
    /// Tells whether the ticket is below its issuer's floor.
    pub(super) fn below(&self, t: &Ticket) -> bool {
        self.by_issuer
            .get(&t.router)
            .is_some_and(|f| (t.incarnation, t.number) < (f.incarnation, f.first))
    }

    /// Raises the floor of `router` so that `first` is the first number still known.
    pub(super) fn raise(&mut self, router: &RouterId, incarnation: Incarnation, first: u64) {
        let f = self.by_issuer.entry(router.clone()).or_insert(Floor {
            incarnation,
            first: 0,
        });
        if (incarnation, first) > (f.incarnation, f.first) {
            *f = Floor { incarnation, first };
        }
    }
}
