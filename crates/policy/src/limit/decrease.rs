//! A decrease of the limit, and what it shows.

use {
    super::{
        parameters::{
            CHANGED,
            NEAR,
            SETTLED, //
        },
        window::Window, //
    },
    std::collections::VecDeque, //
};

/// Windows in a row.
#[derive(Debug, Default)]
pub(super) struct Trail {
    windows: VecDeque<Window>,
}

/// The time that a decrease is judged by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Kind {
    /// Between tokens.
    Gap,
    /// To the first token.
    First,
    /// To the answer of a plain service.
    Answer,
}

/// A decrease whose effect is not known yet.
#[derive(Debug)]
pub(super) struct Cut {
    /// It was made to look for the floor.
    pub(super) probe: bool,
    pub(super) kind: Kind,
    /// The limit before.
    pub(super) limit: f64,
    /// The limit before the first of several in a row.
    pub(super) top: f64,
    pub(super) before: Window,
    pub(super) after: Trail,
    /// Windows since it was made.
    pub(super) age: u32,
    /// Fewer requests run.
    pub(super) settled: bool,
}

impl Cut {
    /// Takes in a window, with the limit as it is now.
    pub(super) fn see(&mut self, w: &Window, limit: f64) {
        self.age += 1;
        // The first window with fewer requests still has times of requests that began among
        // more. Judged by them, every decrease would seem to have changed nothing.
        if self.settled {
            self.after.push(w, usize::MAX);
        }
        let most = limit + (self.running() - limit) * SETTLED;
        self.settled |= w.running() <= most;
    }

    /// Returns how many ran before.
    fn running(&self) -> f64 {
        near(self.before.running(), self.limit)
    }

    /// Returns whether fewer requests have become slower, which no decrease does.
    pub(super) fn worse(&self) -> bool {
        let after = self.kind.of(&self.after.sum());
        let times = self.kind.of(&self.before).zip(after);
        times.is_some_and(|(before, after)| after > before * CHANGED)
    }

    /// Returns how much of the fall of the running requests shows in the time: 0 when the
    /// replica was not full (fewer requests changed nothing), 1 when it was full throughout.
    pub(super) fn fullness(&self, limit: f64) -> Option<f64> {
        let after = self.after.sum();
        let (a, b) = self.kind.of(&self.before).zip(self.kind.of(&after))?;
        let fewer = 1.0 - near(after.running(), limit) / self.running();
        Some((a - b) / (a * fewer.max(f64::EPSILON)))
    }
}

impl Kind {
    fn of(self, w: &Window) -> Option<f64> {
        match self {
            Kind::Gap => w.gap(),
            Kind::First | Kind::Answer => w.first(),
        }
    }
}

impl Trail {
    /// Adds a window and forgets the oldest beyond `most`.
    pub(super) fn push(&mut self, w: &Window, most: usize) {
        self.windows.push_back(w.clone());
        while self.windows.len() > most {
            self.windows.pop_front();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.windows.len()
    }

    /// Returns whether a window's times are well off those before, so that the replica or
    /// its load has just changed.
    ///
    /// The mean of both would hide how slow it is now, and what a decrease then changes.
    pub(super) fn differs(&self, w: &Window) -> bool {
        let (sum, w) = (self.sum(), w);
        let kind = if w.gap().is_some() {
            Kind::Gap
        } else {
            Kind::Answer
        };
        let times = kind.of(&sum).zip(kind.of(w));
        times.is_some_and(|(before, now)| now > before * CHANGED || before > now * CHANGED)
    }

    pub(super) fn sum(&self) -> Window {
        let mut sum = Window::default();
        for w in &self.windows {
            sum.add(w);
        }
        sum
    }
}

/// Returns what runs, as the limit where it is close.
///
/// What the routers report is some time old, so its sum is off by a request or two. That
/// would hide what a small decrease changes.
fn near(running: f64, limit: f64) -> f64 {
    let limit = limit.round();
    match (running / limit - 1.0).abs() < NEAR {
        true => limit,
        false => running,
    }
}
