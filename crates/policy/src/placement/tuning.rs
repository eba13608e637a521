//! The weights of the choice among engines.

use {
    crate::{
        quota::UsageStanding,
        Span, //
    },
    serde::Deserialize, //
};

/// Load report interval at which the penalties for excess requests apply once.
const BASE_LOAD_INTERVAL: Span = Span::millis(100);

/// The weights of the choice among engines. Settings may override these defaults.
///
/// # Examples
///
/// ```
/// use policy::{placement::Tuning, quota::UsageStanding, Span};
///
/// let tuning = Tuning::default();
/// let load_interval = Span::millis(100);
/// let at = |share| UsageStanding { share, ..UsageStanding::default() };
/// let limit = |share| tuning.limit(at(share), load_interval).occupancy;
/// assert!(limit(2.0) < limit(0.5));
/// ```
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Tuning {
    /// Number of engines that keep the shared parts of a prompt.
    #[serde(rename = "homes")]
    pub preferred_replicas: usize,
    /// A part counts as cached if it was used within this time, in seconds.
    pub cached_s: f64,
    /// Cost of reading shared tokens again, relative to reading tokens for the first time.
    ///
    /// It takes the engine the same time, and also evicts other parts from its cache.
    #[serde(rename = "again-cost")]
    pub reread_cost: f64,
    /// Cost of shared tokens that are copied from another engine, on the same scale.
    pub copy_cost: f64,
    /// Fullness up to which any engine takes a request whose preferred replicas are full. An engine
    /// that is half idle loses nothing by reading the shared parts again.
    #[serde(rename = "spare")]
    pub spill_limit: f64,
    /// The same for a workspace within its fair share, so that it finds a slot anywhere before a
    /// workspace that floods finds a second one. It also holds for requests within the max-min
    /// share of a workspace that gets far less than others, as it does if most of its requests
    /// share a document and thus the preferred replicas.
    #[serde(rename = "spare-within")]
    pub spill_within: f64,
    /// Fullness from which requests of a workspace within its fair share are rejected.
    pub full: f64,
    /// Occupancy of slots and memory up to which an engine takes requests of a workspace far beyond
    /// its share. Each running request slows the tokens of all others.
    pub full_over: f64,
    /// The same limit for the time to read earlier prompts, as a fraction of the shortest latency
    /// target. Engines admit requests in order of arrival, so a flood's prompts are read before, or
    /// in turns with, the next request of a workspace within its share.
    pub backlog_over: f64,
    /// The same limit for the time until the request itself is read, as a fraction of its own
    /// target. One long prompt of a flood blocks an engine as long as forty short ones.
    #[serde(rename = "own-over")]
    pub reading_over: f64,
    /// The same limit for a request within its workspace's max-min share. With the limit above, a
    /// workspace of long prompts would get less than half as many tokens as one of short prompts.
    #[serde(rename = "own-even")]
    pub reading_even: f64,
    /// Multiple of its fair share from which a workspace's limits begin to fall.
    pub over_from: f64,
    /// Multiple of its fair share at which its limits have fallen to the lowest value.
    pub over_to: f64,
    /// How much lower the limits are for a request beyond its workspace's max-min share, so that
    /// other workspaces over their shares find slots first.
    #[serde(rename = "yields")]
    pub excess_penalty: f64,
    /// How far beyond one max-min share a request gets this penalty in full.
    #[serde(rename = "uneven")]
    pub excess_range: f64,
    /// Additional penalty for a request at [`Tuning::tail_end`] max-min shares.
    ///
    /// Each workspace has about as many requests within any given number of max-min shares, so
    /// limits that keep falling treat them equally. A constant limit would leave the remaining
    /// capacity to whoever sends most requests.
    #[serde(rename = "yields-far")]
    pub tail_penalty: f64,
    /// Multiple of the max-min share at which the additional penalty is complete.
    #[serde(rename = "far")]
    pub tail_end: f64,
    /// Weight of a request's own reading time against its latency target, relative to its backlog.
    #[serde(rename = "own")]
    pub reading_weight: f64,
    /// Fraction of the slots that the fleet fills.
    pub slots: f64,
    /// Shortest retry delay of a rejected request, in milliseconds. Some slots become free within
    /// it, and the request can still be on time.
    #[serde(rename = "again-ms")]
    pub retry_ms: f64,
    /// Fraction of an engine's memory that the fleet fills. The rest holds cached parts.
    pub memory: f64,
    /// A service is tolerant if the shortest latency target among its streaming routes is at least
    /// this long, in milliseconds. With shorter targets a decision that delays a request by some ten
    /// milliseconds makes it late.
    pub tolerant_ms: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            preferred_replicas: 2,
            cached_s: 20.0,
            reread_cost: 1.5,
            copy_cost: 0.2,
            spill_limit: 0.3,
            spill_within: 0.6,
            full: 1.2,
            full_over: 0.6,
            backlog_over: 0.2,
            reading_over: 0.2,
            reading_even: 0.55,
            over_from: 0.9,
            over_to: 1.6,
            excess_penalty: 0.15,
            excess_range: 0.4,
            tail_penalty: 0.1,
            tail_end: 4.0,
            reading_weight: 1.0,
            slots: 1.0,
            retry_ms: 50.0,
            memory: 0.85,
            tolerant_ms: 600.0,
        }
    }
}

impl Tuning {
    /// Returns whether a service is tolerant, given the shortest latency target among its streaming
    /// routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{placement::Tuning, Span};
    ///
    /// let tuning = Tuning::default();
    /// assert!(tuning.is_tolerant(Span::millis(800)));
    /// assert!(!tuning.is_tolerant(Span::millis(400)));
    /// ```
    pub fn is_tolerant(&self, shortest_target: Span) -> bool {
        shortest_target.as_secs() * 1e3 >= self.tolerant_ms
    }

    /// Returns the fullness up to which engines other than the preferred replicas take requests of
    /// a workspace.
    pub fn spill_limit(&self, standing: UsageStanding, load_interval: Span) -> Fullness {
        let limit = self.limit(standing, load_interval);
        let spill = self.spill(standing, load_interval);
        Fullness {
            occupancy: limit.occupancy.min(spill),
            backlog: limit.backlog.min(spill),
            reading: limit.reading.min(spill),
        }
    }

    fn spill(&self, standing: UsageStanding, load_interval: Span) -> f64 {
        if standing.share < self.over_from {
            return self.spill_within;
        }
        let lags = standing.lags() && standing.max_min_ratio <= 1.0;
        if !lags {
            return self.spill_limit;
        }
        // With late reports many routers would fill the same idle engine at once.
        let timely = (2.0 - interval_factor(load_interval)).max(0.0);
        self.spill_limit + (self.spill_within - self.spill_limit) * timely
    }

    /// Returns the fullness up to which the preferred replicas, and the others, take any request while
    /// there are engines to spare.
    ///
    /// No workspace takes a slot from another one then, and a prompt that takes long to read delays
    /// nobody else: its caller gets the answer late rather than not at all.
    pub(super) fn spare_limits(&self) -> (Fullness, Fullness) {
        let limit = |full| Fullness {
            occupancy: full,
            backlog: full,
            reading: f64::INFINITY,
        };
        (limit(self.full), limit(self.spill_within))
    }

    /// Returns the fullness up to which requests of a workspace are taken.
    ///
    /// A workspace that floods is rejected first, while those within their share still find slots.
    /// Among several workspaces over their shares, requests beyond the max-min share are rejected
    /// first, as otherwise whoever sends most requests would get most slots. Such a request counts
    /// as part of a flood even if its workspace was served little: with limits this low it may well
    /// have been served little, and would take the slots of workspaces that ask for little.
    ///
    /// `load_interval` is the time between two load reports of a peer. Routers don't see what
    /// others have sent since then, so together they could send an engine that looks idle many
    /// times what it can take. Longer intervals therefore increase the penalties for requests
    /// beyond the max-min share.
    pub fn limit(&self, standing: UsageStanding, load_interval: Span) -> Fullness {
        let over = (standing.share - self.over_from) / (self.over_to - self.over_from).max(0.01);
        let excess = ((standing.max_min_ratio - 1.0) / self.excess_range).clamp(0.0, 1.0);
        let over = over.clamp(excess, 1.0);
        let tail_start = 1.0 + self.excess_range;
        let tail = (standing.max_min_ratio - tail_start) / (self.tail_end - tail_start).max(0.01);
        let penalty = interval_factor(load_interval)
            * (self.excess_penalty * excess + self.tail_penalty * tail.clamp(0.0, 1.0));
        let falls_to = |least: f64| self.full - (self.full - least) * over - penalty;
        Fullness {
            occupancy: falls_to(self.full_over),
            backlog: falls_to(self.backlog_over),
            reading: falls_to(self.reading_even + (self.reading_over - self.reading_even) * excess),
        }
    }
}

/// Returns how many times the base interval lies between two load reports, and at least 1.
fn interval_factor(load_interval: Span) -> f64 {
    (load_interval.as_secs() / BASE_LOAD_INTERVAL.as_secs()).max(1.0)
}

/// How full an engine is, or the fullness up to which it takes a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fullness {
    /// Fraction of its slots and of its memory in use, including this request.
    pub occupancy: f64,
    /// Fraction of the shortest latency target that is needed to read earlier prompts.
    pub backlog: f64,
    /// Fraction of the request's latency target that is needed for reading, including its own
    /// prompt.
    pub reading: f64,
}

impl Fullness {
    /// Returns the highest of the values.
    pub(super) fn highest(self) -> f64 {
        self.occupancy.max(self.backlog).max(self.reading)
    }

    /// Returns whether no value is beyond its limit.
    pub(super) fn within(self, limits: Fullness) -> bool {
        self.occupancy <= limits.occupancy
            && self.backlog <= limits.backlog
            && self.reading <= limits.reading
    }
}
