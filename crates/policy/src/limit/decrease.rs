//! A decrease of the limit, and the evaluation of its effect.

use {
    super::{
        parameters::{
            CHANGE_RATIO,
            SETTLED_RATIO,
            SNAP_TOLERANCE, //
        },
        window::Window, //
    },
    std::collections::VecDeque, //
};

/// Consecutive windows.
#[derive(Debug, Default)]
pub(super) struct RecentWindows {
    windows: VecDeque<Window>,
}

/// The kind of latency by which a decrease is evaluated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LatencyKind {
    /// Time between tokens.
    TokenGap,
    /// Time to the first token.
    FirstByte,
    /// Time to the answer of a plain service.
    Answer,
}

/// A decrease whose effect is not known yet.
#[derive(Debug)]
pub(super) struct Decrease {
    /// Whether it probes the baseline.
    pub(super) is_probe: bool,
    pub(super) kind: LatencyKind,
    /// The limit before it.
    pub(super) previous_limit: f64,
    /// The limit before the first of consecutive decreases.
    pub(super) initial_limit: f64,
    pub(super) before: Window,
    pub(super) after: RecentWindows,
    /// Number of windows since it was made.
    pub(super) windows: u32,
    /// Whether the number of running requests has fallen.
    pub(super) settled: bool,
}

impl Decrease {
    /// Records a window, with the current limit.
    pub(super) fn record_window(&mut self, w: &Window, limit: f64) {
        self.windows += 1;
        // Skip the first window with fewer requests: it still contains latencies of requests that
        // started among more of them, and would show no effect of any decrease.
        if self.settled {
            self.after.push(w, usize::MAX);
        }
        let most = limit + (self.running_before() - limit) * SETTLED_RATIO;
        self.settled |= w.running() <= most;
    }

    /// Returns the number of requests that ran before.
    fn running_before(&self) -> f64 {
        snap_to_limit(self.before.running(), self.previous_limit)
    }

    /// Returns whether latency has increased, which no decrease can cause.
    pub(super) fn got_slower(&self) -> bool {
        let after = self.kind.of(&self.after.sum());
        let times = self.kind.of(&self.before).zip(after);
        times.is_some_and(|(before, after)| after > before * CHANGE_RATIO)
    }

    /// Returns the relative fall of latency divided by that of the running requests: 0 if the
    /// replica was not saturated (fewer requests changed nothing), 1 if it was fully saturated.
    pub(super) fn saturation(&self, limit: f64) -> Option<f64> {
        let after = self.after.sum();
        let (a, b) = self.kind.of(&self.before).zip(self.kind.of(&after))?;
        let fewer = 1.0 - snap_to_limit(after.running(), limit) / self.running_before();
        Some((a - b) / (a * fewer.max(f64::EPSILON)))
    }
}

impl LatencyKind {
    fn of(self, w: &Window) -> Option<f64> {
        match self {
            LatencyKind::TokenGap => w.token_gap(),
            LatencyKind::FirstByte | LatencyKind::Answer => w.first_byte(),
        }
    }
}

impl RecentWindows {
    /// Adds a window, and drops the oldest ones beyond `most`.
    pub(super) fn push(&mut self, w: &Window, most: usize) {
        self.windows.push_back(w.clone());
        while self.windows.len() > most {
            self.windows.pop_front();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.windows.len()
    }

    /// Returns whether a window's latencies differ so much from the previous ones that the replica
    /// or its load has changed.
    ///
    /// A mean across the change would hide the current latency and the effect of a decrease.
    pub(super) fn differs_from(&self, w: &Window) -> bool {
        let (sum, w) = (self.sum(), w);
        let kind = if w.token_gap().is_some() {
            LatencyKind::TokenGap
        } else {
            LatencyKind::Answer
        };
        let times = kind.of(&sum).zip(kind.of(w));
        times
            .is_some_and(|(before, now)| now > before * CHANGE_RATIO || before > now * CHANGE_RATIO)
    }

    pub(super) fn sum(&self) -> Window {
        let mut sum = Window::default();
        for w in &self.windows {
            sum.add(w);
        }
        sum
    }
}

/// Returns the number of running requests, or the limit if it is close.
///
/// Reports of the routers lag, so their sum is off by a request or two, which would hide the
/// effect of a small decrease.
fn snap_to_limit(running: f64, limit: f64) -> f64 {
    let limit = limit.round();
    match (running / limit - 1.0).abs() < SNAP_TOLERANCE {
        true => limit,
        false => running,
    }
}
