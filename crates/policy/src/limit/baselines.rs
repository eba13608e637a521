//! The times of a replica that is not full, and how far it is above them.

use super::{
    baseline::Track,
    decrease::Kind,
    parameters::{
        Bounds,
        FIRST,
        GAP,
        PLAIN,
        RISEN, //
    },
    window::Window, //
};

/// The floors of both kinds of time.
#[derive(Debug)]
pub(super) struct Floors {
    gap: Track,
    first: Track,
}

/// How slow the replica is, as a multiple of its floor.
pub(super) struct Pace {
    pub(super) kind: Kind,
    pub(super) ratio: f64,
    pub(super) slow: bool,
    pub(super) steady: bool,
}

impl Floors {
    pub(super) fn new() -> Floors {
        Floors {
            gap: Track::new(),
            first: Track::new(),
        }
    }

    /// Compares times with the floors, and sets or lowers them.
    pub(super) fn pace(&mut self, sum: &Window) -> Option<Pace> {
        let gap = sum.gap().map(|t| self.gap.ratio(t));
        let first = sum.first().map(|t| self.first.ratio(t));
        let pace = |kind, ratio, b: Bounds| Pace {
            kind,
            ratio,
            slow: ratio > b.shrink,
            steady: ratio <= b.grow,
        };
        match (gap, first) {
            (Some(gap), Some(first)) => {
                let (gap, first) = (pace(Kind::Gap, gap, GAP), pace(Kind::First, first, FIRST));
                let steady = gap.steady && first.steady;
                let worst = if first.slow && !gap.slow { first } else { gap };
                Some(Pace { steady, ..worst })
            }
            (Some(gap), None) => Some(pace(Kind::Gap, gap, GAP)),
            (None, Some(first)) => Some(pace(Kind::Answer, first, PLAIN)),
            (None, None) => None,
        }
    }

    /// Returns whether times are well above the floor.
    pub(super) fn risen(&self, w: &Window) -> bool {
        let (time, track) = match w.gap() {
            Some(gap) => (Some(gap), &self.gap),
            None => (w.first(), &self.first),
        };
        let both = time.zip(track.floor());
        both.is_some_and(|(time, floor)| time > floor * RISEN)
    }

    /// Takes these times for the floor.
    pub(super) fn rebase(&mut self, w: &Window) {
        if let Some(t) = w.gap() {
            self.gap.set(t);
        }
        if let Some(t) = w.first() {
            self.first.set(t);
        }
    }
}
