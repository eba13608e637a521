//! The shared parts of prompts that are in use, and an estimate of those that other routers use.

use {
    super::Part,
    crate::{
        Span,
        Time, //
    },
    rustc_hash::FxBuildHasher,
    std::collections::HashMap,
};

/// A part is in use until this long after its last request.
const WINDOW: Span = Span::secs(10);
/// How often parts that are no longer in use are dropped.
const SWEEP_INTERVAL: Span = Span::millis(500);
/// Maximum number of parts, a few times the documents of the largest deployment. They take about
/// 300 KB, and instances have 88 MB.
const PARTS_MAX: usize = 8_192;
/// Fraction of the memory up to which the working set fits. Running requests need the rest.
const FITS_UP_TO: f64 = 0.6;
/// Fraction below which a working set fits that did not. With a single threshold, the documents
/// would move between zones each time that it is crossed.
const FITS_AGAIN_BELOW: f64 = 0.5;

/// The shared parts of the prompts that this router has sent to engines of a service lately.
///
/// # Examples
///
/// ```
/// use policy::{placement::{Part, WorkingSet}, Span, Time};
///
/// let mut working_set = WorkingSet::default();
/// working_set.record(&[Part { id: 1, tokens: 6_000 }], Time(0));
/// assert!(working_set.fits(10_000, Time(0)));
/// assert!(!working_set.fits(9_000, Time(0)));
/// assert!(working_set.fits(9_000, Time(0) + Span::secs(11)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct WorkingSet {
    parts: HashMap<u64, PartUse, FxBuildHasher>,
    /// Tokens of all parts.
    tokens: u64,
    /// Parts that were recorded once, and their tokens.
    once: Tally,
    /// Parts that were recorded twice, and their tokens.
    twice: Tally,
    swept_at: Time,
    /// Whether a part was left out since then because there were too many.
    overflowed: bool,
    /// Whether it did not fit at the last check.
    exceeded: bool,
}

#[derive(Debug, Clone, Copy)]
struct PartUse {
    tokens: u32,
    last: Time,
    /// How often it was recorded.
    count: u32,
}

/// A number of parts, and their tokens.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    parts: u64,
    tokens: u64,
}

impl Tally {
    fn add(&mut self, tokens: u32) {
        self.parts += 1;
        self.tokens += u64::from(tokens);
    }

    fn remove(&mut self, tokens: u32) {
        self.parts -= 1;
        self.tokens -= u64::from(tokens);
    }
}

impl WorkingSet {
    /// Records the shared parts of a prompt that is sent to an engine.
    pub fn record(&mut self, shared: &[Part], now: Time) {
        self.sweep(now);
        for part in shared {
            match self.parts.get_mut(&part.id) {
                Some(used) => {
                    used.last = now;
                    used.count = used.count.saturating_add(1);
                    let used = *used;
                    self.move_on(used);
                }
                None => self.insert(*part, now),
            }
        }
    }

    /// Counts a part that was recorded once more.
    fn move_on(&mut self, used: PartUse) {
        match used.count {
            2 => {
                self.once.remove(used.tokens);
                self.twice.add(used.tokens);
            }
            3 => self.twice.remove(used.tokens),
            _ => {}
        }
    }

    /// Returns whether the parts in use fit into the engines of a zone with so many tokens of memory
    /// together.
    ///
    /// Other routers use parts that this one has not seen; see [`WorkingSet::estimate`]. A router that
    /// has just started knows of no parts, so that they fit.
    pub fn fits(&mut self, memory: u64, now: Time) -> bool {
        self.sweep(now);
        let limit = if self.exceeded {
            FITS_AGAIN_BELOW
        } else {
            FITS_UP_TO
        };
        self.exceeded = self.overflowed || self.estimate() > limit * memory as f64;
        !self.exceeded
    }

    /// Returns the estimated tokens of all parts in use.
    pub fn tokens(&mut self, now: Time) -> u64 {
        self.sweep(now);
        self.estimate() as u64
    }

    /// Estimates the tokens of all parts in use at any router, by the Chao1 estimator: if most parts
    /// that this router has seen came once, there are many that it has not seen.
    fn estimate(&self) -> f64 {
        let (once, twice) = (self.once.parts as f64, self.twice.parts as f64);
        if once == 0.0 {
            return self.tokens as f64;
        }
        let unseen = once * (once - 1.0) / (2.0 * (twice + 1.0));
        self.tokens as f64 + unseen * self.once.tokens as f64 / once
    }

    fn insert(&mut self, part: Part, now: Time) {
        if self.parts.len() >= PARTS_MAX {
            self.overflowed = true;
            return;
        }
        let used = PartUse {
            tokens: part.tokens,
            last: now,
            count: 1,
        };
        self.parts.insert(part.id, used);
        self.tokens += u64::from(part.tokens);
        self.once.add(part.tokens);
    }

    /// Drops the parts that are no longer in use, if that is due.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.overflowed = false;
        let (tokens, once, twice) = (&mut self.tokens, &mut self.once, &mut self.twice);
        self.parts.retain(|_, used| {
            let in_use = now.since(used.last) <= WINDOW;
            if !in_use {
                *tokens -= u64::from(used.tokens);
                match used.count {
                    1 => once.remove(used.tokens),
                    2 => twice.remove(used.tokens),
                    _ => {}
                }
            }
            in_use
        });
    }
}
