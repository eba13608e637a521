//! What is known of one suspected request.

use crate::{
    placement::ReplicaKey,
    Span,
    Time, //
};

/// Replicas that end this soon after each other end at one moment. It takes some milliseconds until
/// all routers have seen it.
const MOMENT: Span = Span::millis(40);
/// Ends that count of one moment. A rack that fails takes several replicas at once, and a caller who
/// asks many times over may have a copy at each: what ended nothing would be held back for that
/// alone. A request that ends replicas is sent on, and is there at other moments too.
const MOST_AT_ONCE: usize = 2;

/// The end of a replica under the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct End {
    pub(super) replica: ReplicaKey,
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
    /// Until when it is held back. Once past, it is let through, and the next end holds it back.
    pub(super) until: Option<Time>,
    /// When any of this last changed.
    pub(super) changed: Time,
}

impl Record {
    /// Takes the end of a replica. Returns whether it is the first word of it.
    pub(super) fn end(&mut self, end: End) -> bool {
        // An answer that came after it has cleared the request of it.
        if self.answered.is_some_and(|at| at >= end.at) {
            return false;
        }
        let known = self.ends.iter_mut().find(|e| e.replica == end.replica);
        let news = known.is_none();
        match known {
            Some(known) => known.at = known.at.min(end.at),
            None => self.ends.push(end),
        }
        self.ends.sort_by_key(|e| e.at);
        news
    }

    /// Tells whether this router saw one of the ends.
    pub(super) fn seen_here(&self) -> bool {
        self.ends.iter().any(|e| e.own)
    }

    /// Takes an answer, which clears it of everything before.
    pub(super) fn answer(&mut self, at: Time, own: bool) {
        self.answered = self.answered.max(Some(at));
        self.own_answer = own;
        self.ends.retain(|e| e.at > at);
        self.until = None;
    }

    /// Counts the ends, of each moment [`MOST_AT_ONCE`] at the most.
    pub(super) fn count(&self) -> usize {
        let mut last: Option<Time> = None;
        let mut at_once = 0;
        let mut count = 0;
        for end in &self.ends {
            let same = last.is_some_and(|at| end.at.since(at) < MOMENT);
            at_once = if same { at_once + 1 } else { 1 };
            count += usize::from(at_once <= MOST_AT_ONCE);
            last = Some(end.at);
        }
        count
    }

    /// Returns how much longer it is held back, where it is.
    pub(super) fn left(&self, now: Time) -> Option<Span> {
        let left = self.until?.since(now);
        (left > Span::ZERO).then_some(left)
    }
}
