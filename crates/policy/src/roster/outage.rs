//! Whether entries may have lapsed while the list could not be read.

use crate::{
    Span,
    Time, //
};

/// Time within which a missing entry may reappear after an outage of the store.
///
/// Replicas refresh their entries, so entries that lapsed during the outage are back about two
/// seconds after its end. If they were dropped at once, no replica would get requests when the
/// store comes back, though all of them are running.
const REAPPEAR_SPAN: Span = Span::millis(2_300);
/// If no router has read the list for this long, the store was down for all of them. It is twice
/// the longest usual pause, and less than a third of the time after which entries lapse.
const READ_PAUSE_MAX: Span = Span::millis(1_200);

/// The time in which this router could not read the list.
///
/// The store may reject this router and serve the others. In that case nothing lapses, and treating
/// it as an outage of the store would keep replicas that have left. Peers that continue to read
/// show the difference.
#[derive(Debug, Clone, Default)]
pub(super) struct Outage {
    /// This router could not read the list, and entries that lapsed meanwhile may still be missing.
    ongoing: bool,
    /// A peer has read the list since then.
    peers_read: bool,
    /// The first read of any router after a pause in which none did.
    resumed: Option<Time>,
    /// Since when lapsed entries have had a chance to reappear, once the list can be read again.
    reappearing_since: Option<Time>,
}

impl Outage {
    /// Records that this router could not read the list.
    pub(super) fn read_failed(&mut self) {
        if !self.ongoing {
            self.resumed = None;
            self.peers_read = false;
        }
        self.ongoing = true;
        self.reappearing_since = None;
    }

    /// Records that the store came back from an older copy, which lacks later writes.
    pub(super) fn store_returned(&mut self, now: Time) {
        self.ongoing = true;
        self.peers_read = false;
        self.resumed = None;
        self.reappearing_since = Some(now);
    }

    /// Records that a router reads the list at `at`; the last read of any router was at `before`.
    pub(super) fn record_read(&mut self, before: Option<Time>, at: Time) {
        if before.is_some_and(|before| at > before + READ_PAUSE_MAX) {
            self.resumed = Some(at);
        }
    }

    /// Records that a peer read the list at `at`; the last read of any router was at `before`.
    pub(super) fn peer_read(&mut self, before: Option<Time>, at: Time) {
        self.peers_read |= before.is_none_or(|before| at > before);
        self.record_read(before, at);
    }

    /// Returns whether a list that is applied now may lack entries of replicas that are running.
    pub(super) fn keeps_missing(&mut self, now: Time) -> bool {
        if self.ongoing && self.reappearing_since.is_none() {
            self.reappearing_since = match self.peers_read {
                true => self.resumed,
                false => Some(now),
            };
        }
        self.ongoing = self
            .reappearing_since
            .is_some_and(|from| now.since(from) < REAPPEAR_SPAN);
        if !self.ongoing {
            self.reappearing_since = None;
        }
        self.ongoing
    }

    /// Returns until when an entry that a list lacks now is kept.
    pub(super) fn keeps_until(&self, now: Time) -> Time {
        self.reappearing_since.unwrap_or(now) + REAPPEAR_SPAN
    }

    /// Returns whether the list could not be read yet since the outage began.
    pub(super) fn is_ongoing(&self) -> bool {
        self.ongoing && self.reappearing_since.is_none()
    }
}
