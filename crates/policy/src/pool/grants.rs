//! What the owner of a pool tells a router.

use {
    super::{
        Borrower,
        Cell,
        Lot, //
    },
    crate::{
        dispatch::{
            ServiceKey,
            SlotGrant,
            Wait, //
        },
        service::ReplicaKey,
        Span,
        Time, //
    },
};

/// Shortest time between two lists of limits to one router.
const LIMITS: Span = Span::secs(2);
/// Shortest time between two lends to one router.
const LEND: Span = Span::millis(10);
/// A lend that was not acknowledged is sent again after this time.
const AGAIN: Span = Span::millis(500);
/// A report is acknowledged within this time.
const ACK: Span = Span::millis(190);

/// What all routers are told alike.
#[derive(Debug)]
pub(crate) struct Common {
    pub(crate) service: ServiceKey,
    pub(crate) pressed: bool,
    pub(crate) capacity: u32,
    pub(crate) sharers: u32,
}

impl Common {
    /// Asks a router to tell all that it keeps.
    pub(crate) fn ask_all(&self, term: u32) -> SlotGrant {
        SlotGrant {
            service: self.service,
            term,
            seq: 0,
            base: 0,
            seen: 0,
            pressed: self.pressed,
            capacity: self.capacity,
            sharers: self.sharers,
            slots: Vec::new(),
            levels: Vec::new(),
            limits: Vec::new(),
        }
    }
}

impl Borrower {
    /// Returns what it is to be told, if that is due: the slots that changed since the
    /// lend that it has seen.
    pub(crate) fn lend_due(
        &mut self,
        c: &Common,
        lots: &[Lot],
        level: impl Fn(&Wait) -> i64,
        open: bool,
        now: Time,
    ) -> Option<SlotGrant> {
        let passed = self.told.map_or(AGAIN, |t| now.since(t));
        let again = self.seen < self.lend && passed >= AGAIN;
        let ack = self.acked < self.report && passed >= ACK;
        let first = self.lend == 0;
        let news = first || self.dirty && open;
        if !(news || again || ack) {
            return None;
        }
        if self.dirty || first {
            self.lend += 1;
        }
        let mut levels = Vec::new();
        if self.levels.is_none_or(|t| now.since(t) >= ACK) {
            self.levels = Some(now);
            levels = self.waits.iter().map(level).collect();
        }
        self.dirty = false;
        self.told = Some(now);
        self.acked = self.report;
        let base = self.seen;
        let news = |cell: &Cell| match base {
            0 => cell.lent > 0,
            _ => cell.touched > base,
        };
        let cells = lots.iter().zip(&self.cells);
        Some(SlotGrant {
            service: c.service,
            term: self.term,
            seq: self.lend,
            base,
            seen: self.report,
            pressed: c.pressed,
            capacity: c.capacity,
            sharers: c.sharers,
            slots: cells
                .filter(|(_, cell)| news(cell))
                .map(|(lot, cell)| (lot.key, cell.lent))
                .collect(),
            levels,
            limits: Vec::new(),
        })
    }

    /// Returns the limits that changed, if it should hear them, as it owns the pool next.
    pub(crate) fn limits_due(&mut self, lots: &[Lot], now: Time) -> Vec<(ReplicaKey, u32)> {
        let (at, told) = &mut self.limits;
        if at.is_some_and(|t| now.since(t) < LIMITS) {
            return Vec::new();
        }
        *at = Some(now);
        let mut out = Vec::new();
        for lot in lots {
            let limit = lot.limit();
            if told.insert(lot.key, limit) != Some(limit) {
                out.push((lot.key, limit));
            }
        }
        out
    }

    /// Returns whether it was not told just now.
    pub(crate) fn rested(&self, now: Time) -> bool {
        self.told.is_none_or(|t| now.since(t) >= LEND)
    }
}
