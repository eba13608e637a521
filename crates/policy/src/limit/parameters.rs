//! Parameters of the concurrency limit.

use crate::Span;

/// Samples are averaged over this time before any decision.
pub(super) const SAMPLE_WINDOW: Span = Span::secs(1);
/// Default maximum of the limit.
pub(super) const MAX_LIMIT: f64 = 1024.0;
/// Relative size of the first of consecutive increases, and maximum of later ones.
pub(super) const GROWTH_RATES: [f64; 2] = [0.1, 0.35];
/// Factor by which each further increase grows while latencies stay below `FLAT_RATIO` times
/// the baseline.
pub(super) const GROWTH_FACTOR: f64 = 1.5;
pub(super) const FLAT_RATIO: f64 = 1.08;
/// The limit is in use if this part of it runs.
pub(super) const IN_USE_RATIO: f64 = 0.9;
/// Minimum part of the limit that one decrease keeps.
pub(super) const MIN_KEPT_RATIO: f64 = 0.5;
/// Part of the limit that a decrease keeps if requests queue inside the engine.
pub(super) const QUEUED_KEPT_RATIO: f64 = 0.8;
/// Part of the limit that a probe keeps, if that is at least one slot less.
pub(super) const PROBE_KEPT_RATIO: f64 = 0.9;
/// Limit after a decrease, relative to the estimated point of saturation.
pub(super) const HEADROOM_RATIO: f64 = 1.1;
/// Part of the limit that is kept after the replica rejected a request.
pub(super) const REJECTED_KEPT_RATIO: f64 = 0.7;
/// Number of windows needed for an increase, or to evaluate a decrease.
pub(super) const MIN_WINDOWS: usize = 2;
/// Number of windows needed to evaluate a probe, whose effect is smaller.
pub(super) const PROBE_MIN_WINDOWS: usize = 3;
/// Maximum number of windows that are averaged; a decrease needs all of them.
pub(super) const MAX_WINDOWS: usize = 3;
/// A decrease is evaluated once at most this part of the excess requests still runs.
pub(super) const SETTLED_RATIO: f64 = 0.35;
/// Running requests count as the limit if they differ by less than this part.
pub(super) const SNAP_TOLERANCE: f64 = 0.1;
/// A latency above this multiple of the last one shows that the replica has changed.
pub(super) const CHANGE_RATIO: f64 = 1.12;
/// A decrease without observed effect is abandoned after this number of windows.
pub(super) const DECREASE_TIMEOUT_WINDOWS: u32 = 10;
/// Minimum of `Decrease::saturation` for a saturated replica; a lower one has become slower.
pub(super) const MIN_SATURATION: f64 = 0.5;
/// Interval before the first probe, and its maximum; it doubles while probes confirm the
/// baseline.
pub(super) const PROBE_INTERVALS: [Span; 2] = [Span::secs(24), Span::secs(256)];
/// A baseline that has risen by this factor is probed again after the shortest interval.
pub(super) const RISEN_RATIO: f64 = 1.06;
/// First and maximum time for which a limit found too high is not tried again; it doubles.
pub(super) const CEILING_HOLDS: [Span; 2] = [Span::secs(4), Span::secs(16)];
/// Load reports of the engine lag, so they cause at most one decrease in this time.
pub(super) const REPORT_LAG: Span = Span::secs(2);

/// Multiples of the baseline below which the limit grows, and above which it shrinks.
#[derive(Debug, Clone, Copy)]
pub(super) struct RatioBounds {
    pub(super) grow: f64,
    pub(super) shrink: f64,
}

/// Bounds of the time between tokens, which varies little.
pub(super) const TOKEN_GAP_BOUNDS: RatioBounds = RatioBounds {
    grow: 1.1,
    shrink: 1.25,
};
/// Bounds of the time to the first token, which varies with the prompt.
pub(super) const FIRST_BYTE_BOUNDS: RatioBounds = RatioBounds {
    grow: 2.0,
    shrink: 3.0,
};
/// Bounds of the time to the answer of a plain service, which has no tokens.
pub(super) const ANSWER_BOUNDS: RatioBounds = RatioBounds {
    grow: 1.3,
    shrink: 1.8,
};
