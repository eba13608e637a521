//! What one router holds of one replica, as the owner of the pool knows it.

/// The slots of one replica at one router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cell {
    /// Slots that it was lent.
    pub(crate) lent: u32,
    /// Slots that it said it keeps.
    pub(crate) kept: u32,
    /// Requests that it last said to run.
    pub(crate) running: u32,
    /// The most that it was lent by a lend that it may not have seen replaced.
    ///
    /// A slot that was lent and asked back at once may already be in use: the first of
    /// the two messages arrives first. So it counts as held until the router says that it
    /// has seen the second.
    high: u32,
    /// The lend that replaces `high`.
    lapse: u64,
    /// The last lend in which `lent` changed.
    pub(crate) touched: u64,
    /// The replica can take nothing of what waits at the router.
    pub(crate) shunned: bool,
}

impl Cell {
    /// Returns how many slots may be in use.
    pub(crate) fn holds(&self) -> u32 {
        self.lent.max(self.kept).max(self.high)
    }

    /// Changes what is lent, by the lend with this number.
    pub(crate) fn lend(&mut self, n: u32, lend: u64) {
        if n < self.lent {
            self.high = self.high.max(self.lent);
            self.lapse = lend;
        }
        self.lent = n;
        self.touched = lend;
    }

    /// Notes which lend the router has seen.
    pub(crate) fn seen(&mut self, lend: u64) {
        if self.high > 0 && lend >= self.lapse {
            self.high = 0;
        }
    }

    /// Takes what the router keeps for lent: it comes from another owner, which lent it
    /// other slots, and nobody is cut off.
    pub(crate) fn adopt(&mut self) {
        self.lent = self.kept;
        self.high = 0;
        self.touched = 0;
    }
}
