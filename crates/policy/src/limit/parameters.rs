//! The numbers by which the limit is learnt.

use crate::Span;

/// Samples are averaged over this span before anything is decided.
pub(super) const WINDOW: Span = Span::secs(1);
/// No replica is given more than this, unless another cap is set.
pub(super) const CAP: f64 = 1024.0;
/// What the first growth in a row adds at least, and what a later one adds at most.
pub(super) const GROWTH: [f64; 2] = [0.1, 0.35];
/// A later growth adds so many times as much, as long as the times stay below the multiple
/// of the floor.
pub(super) const QUICKER: f64 = 1.5;
pub(super) const FLAT: f64 = 1.08;
/// The limit is in use when this part of it runs.
pub(super) const IN_USE: f64 = 0.9;
/// The most that one decrease takes.
pub(super) const LEAST_KEPT: f64 = 0.5;
/// What a decrease leaves while requests queue inside the engine.
pub(super) const QUEUED_KEPT: f64 = 0.8;
/// What a look for the floor leaves, if that is at least one slot less.
pub(super) const PROBE_KEPT: f64 = 0.9;
/// After a decrease the limit is aimed this far above where the replica is full.
pub(super) const ABOVE_FULL: f64 = 1.1;
/// What a refusal leaves of the limit.
pub(super) const KEPT_REFUSED: f64 = 0.7;
/// So many windows are enough to grow, or to see the effect of a decrease.
pub(super) const EVIDENCE: usize = 2;
/// So many show the effect of a look for the floor, which is smaller.
pub(super) const PROBE_EVIDENCE: usize = 3;
/// So many are looked at together at most; a decrease needs all of them.
pub(super) const RECENT: usize = 3;
/// A decrease shows its effect when this part of what was too much still runs.
pub(super) const SETTLED: f64 = 0.35;
/// What runs is the limit, if it differs by less than this part.
pub(super) const NEAR: f64 = 0.1;
/// A time above this multiple of the last shows that the replica has changed.
pub(super) const CHANGED: f64 = 1.12;
/// A decrease that shows no effect for this many windows is no longer watched.
pub(super) const PATIENCE: u32 = 10;
/// Fullness that tells a full replica from one that has become slower.
pub(super) const FULL: f64 = 0.5;
/// The floor is looked for by a decrease after the first span, then ever more rarely, up to
/// the second, as long as it is found where it was.
pub(super) const PROBE: [Span; 2] = [Span::secs(24), Span::secs(256)];
/// A floor that has risen so many times is looked for again soon.
pub(super) const RISEN: f64 = 1.06;
/// A limit found too high is not tried again for the first span, then ever longer, up to
/// the second.
pub(super) const HOLD: [Span; 2] = [Span::secs(4), Span::secs(16)];
/// The engine's own report lags: it brings one decrease in this span at most.
pub(super) const REPORT_LAG: Span = Span::secs(2);

/// Multiples of the floor up to which the limit grows, and above which it shrinks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub(super) grow: f64,
    pub(super) shrink: f64,
}

/// Time between tokens: steady, so the bounds are tight.
pub(super) const GAP: Bounds = Bounds {
    grow: 1.1,
    shrink: 1.25,
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
