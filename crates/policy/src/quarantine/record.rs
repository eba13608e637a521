//! The record of one suspect.

use crate::{
    placement::ReplicaKey,
    Span,
    Time, //
};

/// Replicas that end within this time count as simultaneous. It takes some milliseconds until all
/// routers have noticed an end.
const SIMULTANEOUS_SPAN: Span = Span::millis(40);
/// Number of simultaneous ends that count. A rack failure takes down several replicas at once, and
/// a caller that sends many copies of a request may have one at each, which alone would put a
/// harmless request on hold. A request that does crash replicas is retried, and is there at other
/// times too.
const SIMULTANEOUS_MAX: usize = 2;
/// Longest time from the first to the last of simultaneous ends. A suspect that many requests have
/// crashes one replica right after the other.
const SIMULTANEOUS_MAX_SPAN: Span = Span::millis(64);
/// Ends that are kept of one suspect, the newest.
const ENDS_MAX: usize = 32;

/// The end of a replica that had the suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct End {
    pub(super) replica: ReplicaKey,
    pub(super) at: Time,
    /// When the request was sent that the replica ended under, if this router sent it.
    pub(super) sent_at: Option<Time>,
    /// Whether this router saw it.
    pub(super) local: bool,
}

/// What is known of one suspect.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    /// Ends since the last answer.
    pub(super) ends: Vec<End>,
    /// Time of the last answer.
    pub(super) answered: Option<Time>,
    /// Whether this router saw that answer.
    pub(super) answer_is_local: bool,
    /// End of the hold. Afterwards requests with the suspect are let through, and the next end starts
    /// another hold.
    pub(super) until: Option<Time>,
    /// Time of the last change.
    pub(super) changed: Time,
}

impl Record {
    /// Adds the end of a replica. Returns whether it was unknown so far.
    pub(super) fn end(&mut self, end: End) -> bool {
        // A later answer has cleared the suspect of this end.
        if self.answered.is_some_and(|at| at >= end.at) {
            return false;
        }
        let known = self.ends.iter_mut().find(|e| e.replica == end.replica);
        let is_new = known.is_none();
        match known {
            Some(known) => known.at = known.at.min(end.at),
            None => self.ends.push(end),
        }
        self.ends.sort_by_key(|e| e.at);
        let extra = self.ends.len().saturating_sub(ENDS_MAX);
        self.ends.drain(..extra);
        is_new
    }

    /// Returns whether the replica is one of those that ended.
    pub(super) fn has_end(&self, replica: ReplicaKey) -> bool {
        self.ends.iter().any(|e| e.replica == replica)
    }

    /// Returns whether the other suspect was there at each end of this one.
    pub(super) fn is_always_with(&self, other: &Record) -> bool {
        !self.ends.is_empty() && self.ends.iter().all(|e| other.has_end(e.replica))
    }

    /// Returns whether this router saw one of the ends.
    pub(super) fn is_seen_locally(&self) -> bool {
        self.ends.iter().any(|e| e.local)
    }

    /// Returns whether the ends of another suspect may rather be those of this one, which is held.
    ///
    /// Nothing tells this if the other one was never without it. Otherwise the one with more ends is
    /// the likelier cause. Of equal ones the one that was held first is, until the other one is at
    /// one more end.
    pub(super) fn explains(&self, other: &Record, other_is_held: bool) -> bool {
        let (own, others) = (self.ends.len(), other.ends.len());
        let likelier = own > others || (own == others && !other_is_held);
        likelier && !other.is_always_with(self)
    }

    /// Records an answer, which clears the suspect of everything before. A hold for later ends alone
    /// goes on.
    pub(super) fn answer(&mut self, at: Time, local: bool) {
        self.answered = self.answered.max(Some(at));
        self.answer_is_local = local;
        let all_later = !self.ends.is_empty() && self.ends.iter().all(|e| e.at > at);
        if !all_later {
            self.ends.retain(|e| e.at > at);
            self.until = None;
        }
    }

    /// Counts the ends at which none of the other suspects was, with at most [`SIMULTANEOUS_MAX`]
    /// simultaneous ones.
    pub(super) fn count_without(&self, others: &[&Record]) -> usize {
        let mut first = Time(0);
        let mut last: Option<Time> = None;
        let mut simultaneous = 0;
        let mut count = 0;
        let explained = |e: &End| others.iter().any(|other| other.has_end(e.replica));
        for end in self.ends.iter().filter(|e| !explained(e)) {
            let close = last.is_some_and(|at| end.at.since(at) < SIMULTANEOUS_SPAN);
            // A request that was sent after the end before is no copy that ran at that time.
            let repeated = last.is_some_and(|at| end.sent_at.is_some_and(|sent| sent > at));
            let same = close && !repeated && end.at.since(first) < SIMULTANEOUS_MAX_SPAN;
            if !same {
                first = end.at;
                simultaneous = 0;
            }
            simultaneous += 1;
            count += usize::from(simultaneous <= SIMULTANEOUS_MAX);
            last = Some(end.at);
        }
        count
    }

    /// Returns the remaining time of the hold, if there is one.
    pub(super) fn remaining(&self, now: Time) -> Option<Span> {
        let remaining = self.until?.since(now);
        (remaining > Span::ZERO).then_some(remaining)
    }
}
