//! What is known of one suspected request.

use crate::{
    placement::ReplicaKey,
    Span,
    Time, //
};

/// The end of a replica under the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct End {
    pub(super) replica: ReplicaKey,
    /// When the request was sent there.
    pub(super) sent: Time,
    pub(super) at: Time,
    /// This router saw it.
    pub(super) own: bool,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    /// Ends since it was last answered.
    pub(super) ends: Vec<End>,
    /// When it was last answered.
    pub(super) answered: Option<Time>,
    /// This router saw that.
    pub(super) own_answer: bool,
    /// Until when it is held back; past where it was.
    pub(super) until: Option<Time>,
    /// When any of this last changed.
    pub(super) changed: Time,
}

impl Record {
    /// Takes the end of a replica. Returns whether it is news.
    pub(super) fn end(&mut self, end: End) -> bool {
        // An answer that came after it has cleared the request of it.
        if self.answered.is_some_and(|at| at >= end.at) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|e| e.replica == end.replica) {
            known.at = known.at.min(end.at);
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.at);
        true
    }

    /// Takes an answer, which clears it of everything before.
    pub(super) fn answer(&mut self, at: Time, own: bool) {
        self.answered = self.answered.max(Some(at));
        self.own_answer = own;
        self.ends.retain(|e| e.at > at);
        self.until = None;
    }

    /// Counts the ends in a row: of sends that each came after the end before it.
    ///
    /// A rack that fails takes several replicas at once, and a question that many callers ask may
    /// be at each of them. Counted one by one, these ends would hold back what ends nothing: it
    /// shows as an answer that nobody gets any more after a power failure. A request that ends
    /// what runs it does so again when it is sent again.
    pub(super) fn in_a_row(&self) -> usize {
        let mut last: Option<Time> = None;
        let mut count = 0;
        for end in &self.ends {
            if last.is_none_or(|at| end.sent >= at) {
                last = Some(end.at);
                count += 1;
            }
        }
        count
    }

    /// Returns how much longer it is held back, where it is.
    pub(super) fn left(&self, now: Time) -> Option<Span> {
        let left = self.until?.since(now);
        (left > Span::ZERO).then_some(left)
    }
}
