//! A decrease of the limit, and what it shows.

use super::window::Window;

/// Windows in a row, together.
#[derive(Debug, Default)]
pub(super) struct Trail {
    pub(super) sum: Window,
    pub(super) count: u32,
}

/// A decrease whose effect is not known yet.
#[derive(Debug)]
pub(super) struct Cut {
    /// It was made to look for the floor.
    pub(super) probe: bool,
    /// The limit before.
    pub(super) limit: f64,
    /// The floors of the gap and the first token when it was made.
    pub(super) floors: [Option<f64>; 2],
    pub(super) before: Window,
    pub(super) after: Trail,
    /// Windows since it was made.
    pub(super) age: u32,
}

/// What a decrease changed in the time between tokens, or to the answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Effect {
    pub(super) after: f64,
    pub(super) floor: f64,
    /// How much of the fall of the running requests shows in the time: 0 when the replica was
    /// not full (fewer requests changed nothing), 1 when it was full throughout.
    pub(super) fullness: f64,
    /// As many requests as ran before would do at the later time.
    pub(super) knee: f64,
}

impl Cut {
    /// Compares the time before with the time after.
    pub(super) fn effect(&self) -> Option<Effect> {
        let (a, b) = (&self.before, &self.after.sum);
        let gap = a.gap().zip(b.gap()).zip(self.floors[0]);
        let first = a.first().zip(b.first()).zip(self.floors[1]);
        let ((before, after), floor) = gap.or(first)?;
        let fewer = 1.0 - b.running() / a.running();
        Some(Effect {
            after,
            floor,
            fullness: (before - after) / (before * fewer),
            knee: a.running() * after / before,
        })
    }
}

impl Trail {
    pub(super) fn push(&mut self, w: &Window) {
        self.sum.add(w);
        self.count += 1;
    }
}
