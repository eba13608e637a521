//! Whether a router that starts reads from the store what its peers may have.

use {
    crate::state::Shared,
    policy::{
        reads_store_at_start,
        StartView,
        Time, //
    },
};

/// The start of this router.
#[derive(Debug, Clone, Copy)]
pub(super) struct Startup {
    begun: Time,
    /// A random number from 0 to 1.
    roll: f64,
    /// Other routers know this one's address from their settings.
    seed: bool,
}

impl Startup {
    pub(super) fn new(gw: &Shared) -> Startup {
        Startup {
            begun: gw.now(),
            roll: fastrand::f64(),
            seed: gw.settings.is_seed(),
        }
    }

    /// Returns whether this router is to read from the store now, where `offered` tells whether a peer
    /// has what it needs.
    pub(super) fn reads_store(&self, gw: &Shared, offered: bool) -> bool {
        let now = gw.now();
        let tables = gw.tables();
        let view = StartView {
            waited: now.since(self.begun),
            seed: self.seed,
            contacts: tables.fleet.contact_count(),
            peers: tables.fleet.count(now) - 1,
            offered,
        };
        drop(tables);
        !gw.is_leaving() && reads_store_at_start(view, self.roll)
    }
}
