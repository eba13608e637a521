//! The numbers issued so far, stored as ranges that expire together.

use {
    crate::{
        Span,
        Time, //
    },
    std::collections::VecDeque, //
};

/// Numbers issued within this span share one range and expire together.
const RANGE_WINDOW: Span = Span::secs(1);

/// Ranges of issued numbers, oldest first.
#[derive(Debug, Default)]
pub(super) struct Issued {
    next: u64,
    ranges: VecDeque<Range>,
}

/// The numbers from the end of the previous range up to `end`.
#[derive(Debug)]
struct Range {
    end: u64,
    expires: Time,
}

impl Issued {
    /// Takes the next `n` numbers, to be used before `now` + `ttl`.
    pub(super) fn take(&mut self, n: u32, now: Time, ttl: Span) -> std::ops::Range<u64> {
        let first = self.next;
        self.next += u64::from(n);
        let expires = now + ttl;
        match self.ranges.back_mut() {
            Some(r) if expires.since(r.expires) < RANGE_WINDOW => r.end = self.next,
            _ => self.ranges.push_back(Range {
                end: self.next,
                expires,
            }),
        }
        first..self.next
    }

    /// Returns when a number expires: `None` if it was never issued or its range was removed.
    pub(super) fn expires(&self, number: u64) -> Option<Time> {
        let i = self.ranges.partition_point(|r| r.end <= number);
        self.ranges.get(i).map(|r| r.expires)
    }

    /// Removes the ranges that expired before `t`; if there are any, returns the first number
    /// still known.
    pub(super) fn remove_expired(&mut self, t: Time) -> Option<u64> {
        let mut first = None;
        while let Some(r) = self.ranges.front().filter(|r| r.expires < t) {
            first = Some(r.end);
            self.ranges.pop_front();
        }
        first
    }

    /// Returns the number of tickets issued.
    pub(super) fn count(&self) -> u64 {
        self.next
    }
}
