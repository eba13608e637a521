//! Baseline latencies of a replica, and its slowdown relative to them.

use super::{
    baseline::Baseline,
    decrease::LatencyKind,
    parameters::{
        RatioBounds,
        ANSWER_BOUNDS,
        FIRST_BYTE_BOUNDS,
        RISEN_RATIO,
        TOKEN_GAP_BOUNDS, //
    },
    window::Window, //
};

/// The baselines of both kinds of latency.
#[derive(Debug)]
pub(super) struct Baselines {
    token_gap: Baseline,
    first_byte: Baseline,
}

/// Latency of a replica as a multiple of its baseline.
pub(super) struct Slowdown {
    pub(super) kind: LatencyKind,
    pub(super) ratio: f64,
    pub(super) slow: bool,
    pub(super) near_baseline: bool,
}

impl Baselines {
    pub(super) fn new() -> Baselines {
        Baselines {
            token_gap: Baseline::new(),
            first_byte: Baseline::new(),
        }
    }

    /// Compares latencies with the baselines, and sets or lowers these.
    pub(super) fn slowdown(&mut self, sum: &Window) -> Option<Slowdown> {
        let gap = sum.token_gap().map(|t| self.token_gap.ratio(t));
        let first = sum.first_byte().map(|t| self.first_byte.ratio(t));
        let compare = |kind, ratio, bounds: RatioBounds| Slowdown {
            kind,
            ratio,
            slow: ratio > bounds.shrink,
            near_baseline: ratio <= bounds.grow,
        };
        match (gap, first) {
            (Some(gap), Some(first)) => {
                let (gap, first) = (
                    compare(LatencyKind::TokenGap, gap, TOKEN_GAP_BOUNDS),
                    compare(LatencyKind::FirstByte, first, FIRST_BYTE_BOUNDS),
                );
                let near_baseline = gap.near_baseline && first.near_baseline;
                let worst = if first.slow && !gap.slow { first } else { gap };
                Some(Slowdown {
                    near_baseline,
                    ..worst
                })
            }
            (Some(gap), None) => Some(compare(LatencyKind::TokenGap, gap, TOKEN_GAP_BOUNDS)),
            (None, Some(first)) => Some(compare(LatencyKind::Answer, first, ANSWER_BOUNDS)),
            (None, None) => None,
        }
    }

    /// Returns whether latencies are well above the baseline.
    pub(super) fn has_risen(&self, w: &Window) -> bool {
        let (time, baseline) = match w.token_gap() {
            Some(gap) => (Some(gap), &self.token_gap),
            None => (w.first_byte(), &self.first_byte),
        };
        let pair = time.zip(baseline.value());
        pair.is_some_and(|(time, value)| time > value * RISEN_RATIO)
    }

    /// Makes these latencies the baselines.
    pub(super) fn rebase(&mut self, w: &Window) {
        if let Some(t) = w.token_gap() {
            self.token_gap.set(t);
        }
        if let Some(t) = w.first_byte() {
            self.first_byte.set(t);
        }
    }
}
