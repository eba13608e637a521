//! The service of one workspace, as counted by each router.

use {
    super::Writer,
    crate::{
        Share,
        Time, //
    },
    std::collections::BTreeMap,
};

/// The service that one router incarnation has counted for a workspace.
///
/// Only its writer changes it. The highest revision is therefore always correct, whatever the
/// order of messages and however often each arrives.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RouterCount {
    /// The writer's revision of this count; a later one replaces it.
    pub(crate) rev: u64,
    /// Service charged so far, in thousandths of a unit. Corrections may lower it.
    pub(crate) charged: i64,
    /// Whether requests of the workspace are queued there.
    pub(crate) backlogged: bool,
}

/// The account of one workspace at one service.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// The counts of all routers.
    pub(crate) counts: BTreeMap<Writer, RouterCount>,
    /// Sum of the counts.
    sum: i64,
    /// Normalized service added when the workspace became backlogged; it only grows.
    pub(crate) catch_up: i64,
    /// Normalized service forgiven; it only grows.
    pub(crate) forgiven: i64,
    /// When it last changed.
    pub(crate) touched: Time,
    /// Revision of this router's last change here.
    pub(crate) rev: u64,
    /// Revision of this router's last change of `catch_up` or `forgiven`.
    pub(crate) shifted: u64,
}

impl Account {
    /// Returns the virtual time: service divided by the share, in thousandths of a unit.
    pub(crate) fn virtual_time(&self, share: Share) -> i64 {
        (self.sum as f64 / share.get()) as i64 + self.catch_up - self.forgiven
    }

    /// Moves the virtual time forward, or below zero, forgives service.
    pub(crate) fn shift(&mut self, me: Writer, rev: u64, by: i64) {
        if by > 0 {
            self.catch_up += by;
        } else {
            self.forgiven -= by;
        }
        self.shifted = rev;
        self.charge(me, rev, 0);
    }

    /// Merges the catch-up and the forgiven service that another router knows.
    pub(crate) fn merge_shifts(&mut self, catch_up: i64, forgiven: i64) {
        self.catch_up = self.catch_up.max(catch_up);
        self.forgiven = self.forgiven.max(forgiven);
    }

    /// Returns the service that one router counted.
    pub(crate) fn charged(&self, writer: Writer) -> i64 {
        self.counts.get(&writer).map_or(0, |p| p.charged)
    }

    /// Adds an amount, which may be negative, to this router's count.
    pub(crate) fn charge(&mut self, me: Writer, rev: u64, milli: i64) {
        let count = self.counts.entry(me).or_default();
        count.charged += milli;
        count.rev = rev;
        self.sum += milli;
        self.rev = rev;
    }

    /// Sets whether requests are queued at this router.
    pub(crate) fn set_backlogged(&mut self, me: Writer, rev: u64, backlogged: bool) {
        let count = self.counts.entry(me).or_default();
        count.backlogged = backlogged;
        count.rev = rev;
        self.rev = rev;
    }

    /// Merges another router's count unless a later one is known.
    pub(crate) fn merge(&mut self, writer: Writer, p: RouterCount) {
        let count = self.counts.entry(writer).or_default();
        if p.rev <= count.rev {
            return;
        }
        self.sum += p.charged - count.charged;
        *count = p;
    }
}
