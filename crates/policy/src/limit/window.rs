//! Averages of the samples in one window.

use crate::{
    Slots,
    Span,
    Time, //
};

/// Sums of the samples since the start of the window.
#[derive(Debug, Default, Clone)]
pub(super) struct Window {
    pub(super) start: Option<Time>,
    first_byte: Mean,
    token_gap: Mean,
    running: Mean,
    pub(super) rejected: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Window {
    pub(super) fn push(
        &mut self,
        first_byte: Option<Span>,
        token_gap: Option<Span>,
        running: Slots,
        ok: bool,
    ) {
        self.running.push(f64::from(running.0));
        self.rejected |= !ok;
        if let Some(s) = first_byte {
            self.first_byte.push(s.0.max(1) as f64);
        }
        if let Some(s) = token_gap {
            self.token_gap.push(s.0.max(1) as f64);
        }
    }

    /// Adds the samples of a later window.
    pub(super) fn add(&mut self, later: &Window) {
        self.first_byte.add(&later.first_byte);
        self.token_gap.add(&later.token_gap);
        self.running.add(&later.running);
    }

    pub(super) fn first_byte(&self) -> Option<f64> {
        self.first_byte.get()
    }

    pub(super) fn token_gap(&self) -> Option<f64> {
        self.token_gap.get()
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
