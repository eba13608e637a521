//! Liveness of the routers of a pool, and whether the pool is contended.

use {
    super::{
        Grantee,
        Pool, //
    },
    crate::{
        PeerState,
        Span,
        Time, //
    },
};

/// Demand must exceed the slots for this time before the pool counts as contended.
const CONTENDED_AFTER: Span = Span::millis(100);
/// The pool counts as contended for this time after demand last exceeded the slots.
const CONTENDED_HOLD: Span = Span::millis(300);
/// A router without any report is assumed to hold its static share for this time.
const UNREPORTED_TIMEOUT: Span = Span::secs(5);
/// A new owner waits this long for the reports of live routers before it grants slots.
const GATHER_TIMEOUT: Span = Span::secs(1);
/// The slots of a single router that fell silent are reclaimed after this time.
const SUSPECT_TIMEOUT: Span = Span::secs(2);
/// If many fell silent together, a partition is likely, and they may keep running for long.
const PARTITION_TIMEOUT: Span = Span::secs(30);

impl Pool {
    /// Returns whether this owner is so new that it doesn't know yet which router holds what.
    ///
    /// It would grant slots again that routers hold from the last owner, and replicas would exceed
    /// their limits. Each router reports to a new owner at once.
    pub(super) fn is_gathering_reports(&self, now: Time) -> bool {
        let unreported = |g: &Grantee| g.state == PeerState::Live && self.may_hold_unreported(g);
        now.since(self.owned_since) < GATHER_TIMEOUT && self.grantees.values().any(unreported)
    }

    /// Reclaims slots from routers that are presumed dead.
    pub(super) fn reclaim(&mut self, now: Time) {
        let known = self.grantees.len();
        let live = self
            .grantees
            .values()
            .filter(|g| g.state != PeerState::Suspect)
            .count();
        // In a partition many routers fall silent together and may keep using their slots, so these
        // are not granted again until the list would have dropped dead routers. A single router
        // that falls silent is probably dead.
        let timeout = if live * 3 >= known * 2 {
            SUSPECT_TIMEOUT
        } else {
            PARTITION_TIMEOUT
        };
        for g in self.grantees.values_mut() {
            if g.state == PeerState::Suspect && now.since(g.state_since) >= timeout {
                self.changed |= g.held() > 0;
                g.clear_held();
            }
            if !g.has_reported() && now.since(g.state_since) >= UNREPORTED_TIMEOUT {
                g.last_report = 1;
                self.changed = true;
            }
        }
    }

    /// Updates whether demand exceeds the slots.
    pub(super) fn update_contention(&mut self, now: Time) {
        let eligible = || self.grantees.values().filter(|g| g.can_be_granted());
        let demand: u32 = eligible().map(|g| g.running + g.waiting()).sum();
        if eligible().any(|g| g.waiting() > 0) && demand >= self.capacity() {
            let since = *self.full_since.get_or_insert(now);
            // A short peak is not worth revoking all spare slots.
            if self.contended || now.since(since) >= CONTENDED_AFTER {
                self.last_full = Some(now);
            }
        } else {
            self.full_since = None;
        }
        let contended = self
            .last_full
            .is_some_and(|t| now.since(t) < CONTENDED_HOLD);
        if contended != self.contended {
            self.contended = contended;
            for g in self.grantees.values_mut() {
                g.changed = true;
            }
        }
    }

    /// Returns whether a router may hold slots that it has not reported yet.
    ///
    /// A router that is not preferred holds slots only if it says so.
    pub(super) fn may_hold_unreported(&self, g: &Grantee) -> bool {
        !g.has_reported() && g.preferred
    }
}
