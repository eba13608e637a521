//! The numbers by which the limit is learnt.

use crate::Span;

/// Samples are averaged over this span before anything is decided.
pub(super) const WINDOW: Span = Span::secs(1);
/// No replica is given more than this, unless another cap is set.
pub(super) const CAP: f64 = 1024.0;
/// Growth in a window until the replica was first found full.
pub(super) const START_GROWTH: f64 = 1.5;
/// Growth in a window afterwards, at least 1.
pub(super) const GROWTH: f64 = 0.05;
/// The limit is in use when this part of it runs.
pub(super) const IN_USE: f64 = 0.9;
/// The most that one decrease takes.
pub(super) const LEAST_KEPT: f64 = 0.5;
/// The least that one decrease takes.
pub(super) const MOST_KEPT: f64 = 0.75;
/// After a decrease the limit is aimed this far above where the replica is full.
pub(super) const ABOVE_FULL: f64 = 1.1;
/// What a refusal leaves of the limit.
pub(super) const KEPT_REFUSED: f64 = 0.7;
/// A decrease shows its effect when this part or less of what ran still runs.
pub(super) const SETTLED: f64 = 0.8;
/// So many slow windows in a row bring a decrease.
pub(super) const SLOW: u32 = 2;
/// So many windows show the effect of a decrease.
pub(super) const EVIDENCE: u32 = 3;
/// A decrease that shows no effect for this many windows is no longer watched.
pub(super) const PATIENCE: u32 = 15;
/// Fullness below which a decrease made nothing faster, and above which the replica was
/// full throughout.
pub(super) const FULL: [f64; 2] = [0.3, 0.7];
/// A time below this part of the floor shows that the floor was too high.
pub(super) const BELOW_FLOOR: f64 = 0.88;
/// Fullness that tells a full replica from one that has become slower.
pub(super) const HALF_FULL: f64 = 0.5;
/// The floor is looked for by a decrease after the first span, then ever more rarely, up to
/// the second, as long as it is found where it was.
pub(super) const PROBE: [Span; 2] = [Span::secs(8), Span::secs(128)];
/// The engine's own report lags: it brings one decrease in this span at most.
pub(super) const REPORT_LAG: Span = Span::secs(2);
/// The part of the running requests that may wait inside the engine.
pub(super) const WAITING: f64 = 0.1;

/// Multiples of the floor up to which the limit grows, and above which it shrinks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub(super) grow: f64,
    pub(super) shrink: f64,
}

/// Time between tokens: steady, so the bounds are tight.
pub(super) const GAP: Bounds = Bounds {
    grow: 1.15,
    shrink: 1.4,
};
/// Time to first token, which varies with the prompt.
pub(super) const FIRST: Bounds = Bounds {
    grow: 2.0,
    shrink: 3.0,
};
/// Time to the answer of a plain service, which has no tokens.
pub(super) const PLAIN: Bounds = Bounds {
    grow: 1.3,
    shrink: 1.8,
};
