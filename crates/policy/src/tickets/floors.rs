//! The ticket number of each issuer below which entries are removed.

use {
    super::Ticket,
    crate::{
        Incarnation,
        RouterId, //
    },
    std::collections::HashMap, //
};

/// One floor for each issuer: the request of a ticket below it may have run.
///
/// A router that has removed the entry of a ticket it once started must not consider it unused
/// later, or the request would run twice. Expiry by time is not sufficient, as the clocks of two
/// machines can stop at different times (a frozen guest). The floor needs no clock: an entry is
/// removed only by raising the floor above it.
#[derive(Debug, Default)]
pub(super) struct Floors {
    by_issuer: HashMap<RouterId, Floor>,
}

#[derive(Debug)]
struct Floor {
    incarnation: Incarnation,
    first_known: u64,
}

impl Floors {
    /// Returns whether the ticket is below its issuer's floor.
    pub(super) fn is_below(&self, t: &Ticket) -> bool {
        self.by_issuer
            .get(&t.router)
            .is_some_and(|f| (t.incarnation, t.number) < (f.incarnation, f.first_known))
    }

    /// Raises the floor of `router` so that `first_known` is the first number still known.
    pub(super) fn raise(&mut self, router: &RouterId, incarnation: Incarnation, first_known: u64) {
        let f = self.by_issuer.entry(router.clone()).or_insert(Floor {
            incarnation,
            first_known: 0,
        });
        if (incarnation, first_known) > (f.incarnation, f.first_known) {
            *f = Floor {
                incarnation,
                first_known,
            };
        }
    }
}
