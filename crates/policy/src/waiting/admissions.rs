//! The recent rate of admissions from a queue.

use {
    crate::{
        Span,
        Time, //
    },
    std::collections::VecDeque,
};

/// Span over which admissions are counted.
const WINDOW: Span = Span::millis(500);
/// A queue that exists for less time than this has no rate yet. Rounds of tries are up to 25 ms
/// apart.
const RATE_MIN_SPAN: Span = Span::millis(100);
/// Number of remembered admissions, which bounds the memory.
const COUNT_MAX: usize = 256;

/// The admissions of one service since requests wait.
#[derive(Debug)]
pub(super) struct Admissions {
    since: Time,
    times: VecDeque<Time>,
}

impl Admissions {
    pub(super) fn new(since: Time) -> Admissions {
        Admissions {
            since,
            times: VecDeque::new(),
        }
    }

    pub(super) fn record(&mut self, now: Time) {
        if self.times.len() == COUNT_MAX {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the time until `ahead` requests and one more are admitted; zero as long as it is
    /// unknown.
    ///
    /// One admission is added to those counted, as the first in a queue has a finite wait.
    pub(super) fn expected_wait(&self, ahead: usize, now: Time) -> Span {
        let span = now.since(self.since);
        if span < RATE_MIN_SPAN {
            return Span::ZERO;
        }
        let recent = self.times.iter().filter(|at| now.since(**at) < WINDOW);
        let rate = (recent.count() + 1) as f64 / span.min(WINDOW).as_secs();
        Span(((ahead + 1) as f64 / rate * 1e6) as u64)
    }
}
