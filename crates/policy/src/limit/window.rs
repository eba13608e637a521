//! The samples of one window, averaged.

use crate::{
    Slots,
    Span,
    Time, //
};

/// Sums over the samples since the window began.
#[derive(Debug, Default, Clone)]
pub(super) struct Window {
    pub(super) start: Option<Time>,
    first: Mean,
    gap: Mean,
    running: Mean,
    pub(super) refused: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Window {
    pub(super) fn push(
        &mut self,
        first: Option<Span>,
        gap: Option<Span>,
        running: Slots,
        ok: bool,
    ) {
        self.running.push(f64::from(running.0));
        self.refused |= !ok;
        if let Some(s) = first {
            self.first.push(s.0.max(1) as f64);
        }
        if let Some(s) = gap {
            self.gap.push(s.0.max(1) as f64);
        }
    }

    /// Adds the samples of a later window.
    pub(super) fn add(&mut self, later: &Window) {
        self.first.add(&later.first);
        self.gap.add(&later.gap);
        self.running.add(&later.running);
    }

    pub(super) fn first(&self) -> Option<f64> {
        self.first.get()
    }

    pub(super) fn gap(&self) -> Option<f64> {
        self.gap.get()
    }

    pub(super) fn running(&self) -> f64 {
        self.running.get().unwrap_or_default()
    }
}

impl Mean {
    fn push(&mut self, x: f64) {
        self.sum += x;
        self.count += 1;
    }

    fn add(&mut self, o: &Mean) {
        self.sum += o.sum;
        self.count += o.count;
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}
