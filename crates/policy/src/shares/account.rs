//! The service of one workspace, as counted by each router.

use {
    super::Writer,
    crate::{
        Share,
        Time, //
    },
    std::collections::BTreeMap,
};

/// What one start of a router counted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Part {
    /// The writer's revision of this count; a later one replaces it.
    pub(crate) rev: u64,
    /// Service charged so far, in thousandths of a unit. Corrections may lower it.
    pub(crate) charged: i64,
}

/// The account of one workspace at one service.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// The counts of all routers.
    pub(crate) parts: BTreeMap<Writer, Part>,
    /// Sum of the counts.
    sum: i64,
    /// Normalised service added on becoming backlogged; it only grows.
    pub(crate) lift: i64,
    /// Normalised service forgiven; it only grows.
    pub(crate) forgiven: i64,
    /// When it last changed.
    pub(crate) touched: Time,
    /// Revision of this router's last change here.
    pub(crate) rev: u64,
}

impl Account {
    /// Returns normalised service in thousandths of a unit.
    pub(crate) fn level(&self, share: Share) -> i64 {
        (self.sum as f64 / share.get()) as i64 + self.lift - self.forgiven
    }

    /// Charges (or, below zero, gives back) an amount to this router's count.
    pub(crate) fn charge(&mut self, me: Writer, rev: u64, milli: i64) {
        let part = self.parts.entry(me).or_default();
        part.charged += milli;
        part.rev = rev;
        self.sum += milli;
        self.rev = rev;
    }
}
