//! The slots that one router holds on one replica, as the owner of the pool knows them.

/// The slots of one replica at one router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GrantedSlots {
    /// Slots granted to the router.
    pub(crate) granted: u32,
    /// Slots that it keeps, by its last report.
    pub(crate) kept: u32,
    /// Requests that it runs, by its last report.
    pub(crate) running: u32,
    /// The largest earlier grant that the router may not have seen replaced.
    ///
    /// A slot that was granted and then revoked at once may already be in use, as the grant
    /// arrives before the revocation. It counts as reserved until the router acknowledges the
    /// revocation.
    unconfirmed: u32,
    /// Sequence number of the grant that replaces `unconfirmed`.
    confirmed_by: u64,
    /// Sequence number of the grant in which `granted` last changed.
    pub(crate) changed_in: u64,
    /// The replica can serve none of the requests queued at the router.
    pub(crate) unusable: bool,
}

impl GrantedSlots {
    /// Returns the number of slots that may be in use.
    pub(crate) fn reserved(&self) -> u32 {
        self.granted.max(self.kept).max(self.unconfirmed)
    }

    /// Changes the granted slots in the grant with this sequence number.
    pub(crate) fn set_granted(&mut self, n: u32, grant: u64) {
        if n < self.granted {
            self.unconfirmed = self.unconfirmed.max(self.granted);
            self.confirmed_by = grant;
        }
        self.granted = n;
        self.changed_in = grant;
    }

    /// Records the grant that the router has acknowledged.
    pub(crate) fn confirm(&mut self, grant: u64) {
        if self.unconfirmed > 0 && grant >= self.confirmed_by {
            self.unconfirmed = 0;
        }
    }

    /// Adopts the kept slots as granted: a previous owner granted the router other slots, and none
    /// of its requests are interrupted.
    pub(crate) fn adopt(&mut self) {
        self.granted = self.kept;
        self.unconfirmed = 0;
        self.changed_in = 0;
    }
}
