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
///
/// Only its writer changes it, so that the latest revision is the truth, and the order
/// and number of messages do not matter.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RouterCount {
    /// The writer's revision of this count; a later one replaces it.
    pub(crate) rev: u64,
    /// Service charged so far, in thousandths of a unit. Corrections may lower it.
    pub(crate) charged: i64,
    /// Whether requests of the workspace wait there.
    pub(crate) backlogged: bool,
}

/// The account of one workspace at one service.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// The counts of all routers.
    pub(crate) counts: BTreeMap<Writer, RouterCount>,
    /// Sum of the counts.
    sum: i64,
    /// Normalised service added on becoming backlogged; it only grows.
    pub(crate) catch_up: i64,
    /// Normalised service forgiven; it only grows.
    pub(crate) forgiven: i64,
    /// When it last changed.
    pub(crate) touched: Time,
    /// Revision of this router's last change here.
    pub(crate) rev: u64,
    /// Revision of this router's last catch_up or forgiveness here.
    pub(crate) shifted: u64,
}

impl Account {
    /// Returns normalised service in thousandths of a unit.
    pub(crate) fn virtual_time(&self, share: Share) -> i64 {
        (self.sum as f64 / share.get()) as i64 + self.catch_up - self.forgiven
    }

    /// Lifts, or forgives below zero.
    pub(crate) fn shift(&mut self, me: Writer, rev: u64, by: i64) {
        if by > 0 {
            self.catch_up += by;
        } else {
            self.forgiven -= by;
        }
        self.shifted = rev;
        self.charge(me, rev, 0);
    }

    /// Takes in what others lifted and forgave.
    pub(crate) fn merge_shifts(&mut self, catch_up: i64, forgiven: i64) {
        self.catch_up = self.catch_up.max(catch_up);
        self.forgiven = self.forgiven.max(forgiven);
    }

    /// Returns what one router counted.
    pub(crate) fn charged(&self, writer: Writer) -> i64 {
        self.counts.get(&writer).map_or(0, |p| p.charged)
    }

    /// Charges (or, below zero, gives back) an amount to this router's count.
    pub(crate) fn charge(&mut self, me: Writer, rev: u64, milli: i64) {
        let part = self.counts.entry(me).or_default();
        part.charged += milli;
        part.rev = rev;
        self.sum += milli;
        self.rev = rev;
    }

    /// Notes whether requests wait at this router.
    pub(crate) fn set_backlogged(&mut self, me: Writer, rev: u64, backlogged: bool) {
        let part = self.counts.entry(me).or_default();
        part.backlogged = backlogged;
        part.rev = rev;
        self.rev = rev;
    }

    /// Takes in another router's count unless a later one is known.
    pub(crate) fn merge(&mut self, writer: Writer, p: RouterCount) {
        let part = self.counts.entry(writer).or_default();
        if p.rev <= part.rev {
            return;
        }
        self.sum += p.charged - part.charged;
        *part = p;
    }
}
