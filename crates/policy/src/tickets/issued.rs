//! The numbers issued so far, remembered as ranges that expire together.

use {
    crate::{
        Span,
        Time, //
    },
    std::collections::VecDeque, //
};

/// Numbers issued within this span expire together, so they cost one entry.
const GRAIN: Span = Span::secs(1);

/// Ranges of issued numbers, oldest first.
#[derive(Debug, Default)]
pub(super) struct Issued {
    next: u64,
    ranges: VecDeque<Range>,
}

/// Numbers from the end of the range before up to `end`.
#[derive(Debug)]
struct Range {
    end: u64,
    expires: Time,
}

impl Issued {
    /// Takes the next `n` numbers, to be used before `now` + `life`.
    pub(super) fn take(&mut self, n: u32, now: Time, life: Span) -> std::ops::Range<u64> {
        let first = self.next;
        self.next += u64::from(n);
        let expires = now + life;
        match self.ranges.back_mut() {
            Some(r) if expires.since(r.expires) < GRAIN => r.end = self.next,
            _ => self.ranges.push_back(Range {
                end: self.next,
                expires,
            }),
        }
        first..self.next
    }

    /// Returns when a number expires: `None` if it was never issued or is forgotten.
    pub(super) fn expires(&self, number: u64) -> Option<Time> {
        let i = self.ranges.partition_point(|r| r.end <= number);
        self.ranges.get(i).map(|r| r.expires)
    }

    /// Forgets the ranges that expired before `t`; returns the first number still known.
    pub(super) fn retire(&mut self, t: Time) -> Option<u64> {
        let mut first = None;
        while let Some(r) = self.ranges.front().filter(|r| r.expires < t) {
            first = Some(r.end);
            self.ranges.pop_front();
        }
        first
    }

    /// Returns how many numbers were issued.
    pub(super) fn count(&self) -> u64 {
        self.next
    }
}
