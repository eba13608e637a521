//! What the owner of a pool believes of its routers, and whether slots are short.

use {
    super::{
        Borrower,
        Pool, //
    },
    crate::{
        PeerState,
        Span,
        Time, //
    },
};

/// How long there must be more work than slots until the pool counts as pressed.
const FULL: Span = Span::millis(100);
/// How long the pool counts as pressed after there last was more work than slots.
const PRESSED: Span = Span::millis(300);
/// A router that never reported is taken to hold its fraction for this time.
const UNHEARD: Span = Span::secs(5);
/// A new owner waits this long for reports of the live routers before it lends.
const GATHER: Span = Span::secs(1);
/// A router that vanished alone gets its slots taken back after this time.
const VANISHED: Span = Span::secs(2);
/// If many vanished at once, a partition is likely and they may run on for long.
const CUT_OFF: Span = Span::secs(30);

impl Pool {
    /// Returns whether this owner is so new that it does not know yet who holds what.
    ///
    /// It would lend slots a second time that routers hold from the last owner, which
    /// shows as replicas above their limit. Each router reports to a new owner at once.
    pub(super) fn gathers(&self, now: Time) -> bool {
        let unheard = |b: &Borrower| b.state == PeerState::Live && self.unheard(b);
        now.since(self.since) < GATHER && self.borrowers.values().any(unheard)
    }

    /// Takes slots back from routers that are believed to be dead.
    pub(super) fn reclaim(&mut self, now: Time) {
        let known = self.borrowers.len();
        let live = self
            .borrowers
            .values()
            .filter(|b| b.state != PeerState::Suspect)
            .count();
        // A partition shows as many routers that fall silent together. They may run on
        // with what they hold, so their slots are not lent again until the list would
        // have dropped the dead. One router that falls silent alone is likely dead.
        let wait = if live * 3 >= known * 2 {
            VANISHED
        } else {
            CUT_OFF
        };
        for b in self.borrowers.values_mut() {
            if b.state == PeerState::Suspect && now.since(b.since) >= wait {
                self.changed |= b.held() > 0;
                b.bury();
            }
            if !b.heard() && now.since(b.since) >= UNHEARD {
                b.report = 1;
                self.changed = true;
            }
        }
    }

    /// Notes whether more work is there than slots.
    pub(super) fn press(&mut self, now: Time) {
        let takers = || self.borrowers.values().filter(|b| b.takes());
        let demand: u32 = takers().map(|b| b.running + b.waiting()).sum();
        if takers().any(|b| b.waiting() > 0) && demand >= self.capacity() {
            let since = *self.full.get_or_insert(now);
            // A peak that passes by itself is not worth taking all spare slots back.
            if self.pressed || now.since(since) >= FULL {
                self.waited = Some(now);
            }
        } else {
            self.full = None;
        }
        let pressed = self.waited.is_some_and(|t| now.since(t) < PRESSED);
        if pressed != self.pressed {
            self.pressed = pressed;
            for b in self.borrowers.values_mut() {
                b.dirty = true;
            }
        }
    }

    /// Returns whether a router may hold slots that it has not told of yet.
    ///
    /// One that is no home holds some only if it says so.
    pub(super) fn unheard(&self, b: &Borrower) -> bool {
        !b.heard() && b.home
    }
}
