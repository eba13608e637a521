//! Requested and served tokens of each workspace, over the whole fleet.

use {
    super::{
        max_min_share,
        window::{
            RecentDemand,
            Window,
            RECENT_SPAN, //
        },
    },
    crate::{
        RouterId,
        Span,
        Time,
        Validity,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::HashMap,
    xxhash_rust::xxh3::xxh3_64, //
};

/// How long the usage report of a peer is valid: this long at least, and until this many reports in
/// a row have been missed. After that the peer's part of the window is unknown. About one message
/// in a hundred is lost.
const REPORT_VALIDITY: Validity = Validity::new(Span::secs(2), 2.3);
/// Interval at which the fair shares are recomputed.
const REFRESH_INTERVAL: Span = Span::millis(50);

/// A 32-bit hash that identifies a workspace in messages between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(pub u32);

/// Shortfall from which a workspace is preferred.
const SHORTFALL_MAX: f64 = 0.25;
/// Standard deviations that a request count must grow by to count as real growth.
const GROWTH_DEVIATIONS: f64 = 2.0;
/// Weight, in requests, of the assumption that all routers receive equal parts, against the
/// reported counts.
const PRIOR_REQUESTS: f64 = 2.0;

/// Tokens of a workspace over the window.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Requested.
    #[serde(rename = "asked")]
    pub requested: f32,
    /// Served: tokens of requests that were started.
    #[serde(rename = "given")]
    pub served: f32,
    /// Requested in the last second.
    #[serde(rename = "lately")]
    pub recent: f32,
}

/// The usage of workspaces against their shares of the fleet's capacity.
///
/// # Examples
///
/// ```
/// use policy::{quota::{Quota, WorkspaceKey}, Span, Time};
///
/// let mut quota = Quota::new(Span::secs(4));
/// quota.set_capacity(100.0);
/// let (large, small) = (WorkspaceKey(1), WorkspaceKey(2));
/// quota.record_requested(large, 4_000.0, Time(0));
/// quota.record_served(large, 800.0, Time(0));
/// quota.record_requested(small, 40.0, Time(0));
/// assert!(quota.standing(large, 0.5, Time(0)).share > 1.0);
/// assert!(quota.standing(small, 0.5, Time(0)).share < 1.0);
/// ```
#[derive(Debug)]
pub struct Quota {
    /// Requests at this router.
    local: Window,
    /// Tokens per second that all workspaces may get together.
    capacity: f64,
    /// Recent demand of each workspace as of this router's last report to its peers.
    reported: HashMap<WorkspaceKey, RecentDemand>,
    peers: HashMap<RouterId, UsageReport>,
    /// The summed counts of all other routers, as an active router last sent them to this standby.
    summary: Option<UsageReport>,
    fair_shares: Option<(Time, FairShares)>,
    validity: Validity,
}

/// Counts that a peer sent, and when they arrived.
#[derive(Debug)]
struct UsageReport {
    at: Time,
    counts: HashMap<WorkspaceKey, UsageCounts>,
}

/// The largest amount that one workspace may get, in tokens.
#[derive(Debug, Clone, Copy)]
struct FairShares {
    /// Of the configured capacity, over the window.
    configured: f64,
    /// Of what was actually served to all workspaces, per second.
    max_min: f64,
    /// What the best served workspace got over the window.
    best: f64,
}

/// A request's position within the usage of its workspace, measured against the fair shares.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UsageStanding {
    /// Tokens served to the workspace as a multiple of its fair share of the configured capacity; 0
    /// if the capacity is unknown.
    pub share: f64,
    /// Position of the request within the recent demand of its workspace, as a multiple of the
    /// max-min share of what was actually served: up to 1 for the requests that fit into that
    /// share, and 0 if all demand can be met. Engines serve more than the configured capacity where
    /// they find much in their caches, and no workspace gets more of the excess than another that
    /// wants more.
    pub max_min_ratio: f64,
    /// Tokens that the workspace requested in the last second, over the whole fleet.
    pub demand: f64,
    /// The max-min share in tokens per second; 0 if the capacity is unknown.
    pub max_min_share: f64,
    /// By which fraction the workspace was served less than the best served one, or than it
    /// requested if that is less.
    pub shortfall: f64,
}

impl UsageStanding {
    /// Returns whether the workspace gets so much less than another one that it is to be preferred.
    /// No workspace may get less than half of what others get.
    pub fn lags(&self) -> bool {
        self.shortfall > SHORTFALL_MAX
    }
}

impl WorkspaceKey {
    /// Returns the key of a workspace.
    pub fn of(id: &WorkspaceId) -> WorkspaceKey {
        WorkspaceKey(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

impl UsageCounts {
    pub(super) fn add(&mut self, other: UsageCounts) {
        self.requested += other.requested;
        self.served += other.served;
        self.recent += other.recent;
    }

    fn max(self, other: UsageCounts) -> UsageCounts {
        UsageCounts {
            requested: self.requested.max(other.requested),
            served: self.served.max(other.served),
            recent: self.recent.max(other.recent),
        }
    }

    fn subtract(&mut self, other: UsageCounts) {
        self.requested = (self.requested - other.requested).max(0.0);
        self.served = (self.served - other.served).max(0.0);
        self.recent = (self.recent - other.recent).max(0.0);
    }
}

impl UsageReport {
    fn new(counts: &[(WorkspaceKey, UsageCounts)], now: Time) -> UsageReport {
        UsageReport {
            at: now,
            counts: counts.iter().copied().collect(),
        }
    }
}

impl Quota {
    /// Creates a table without a known capacity, where no workspace exceeds its share.
    pub fn new(window: Span) -> Quota {
        Quota {
            local: Window::new(window),
            capacity: 0.0,
            reported: HashMap::new(),
            peers: HashMap::new(),
            summary: None,
            fair_shares: None,
            validity: REPORT_VALIDITY,
        }
    }

    /// Sets how often peers report, which is less often in a large fleet.
    pub fn set_report_interval(&mut self, interval: Span) {
        self.validity.set_report_interval(interval);
    }

    /// Sets the total capacity in tokens per second; 0 if it is unknown.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.fair_shares = None;
    }

    /// Counts the tokens that a workspace requests.
    pub fn record_requested(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.local.record_requested(workspace, tokens, now);
    }

    /// Counts the tokens of a request that is rejected for want of processor time. They add to the
    /// shortfall of the workspace, but not to its demand for engines.
    pub fn record_rejected(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.local.record_rejected(workspace, tokens, now);
    }

    /// Counts the tokens that a workspace is served, when its request starts.
    pub fn record_served(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.local.record_served(workspace, tokens, now);
    }

    /// Estimates a workspace's demand in the last second at the peers that they have not reported
    /// yet, based on its demand here.
    ///
    /// A flood starts at all routers at once, and each one learns of the others' part only with
    /// their next reports. If it took its own part for the whole demand, all of its own part would
    /// be admitted. So growth here beyond chance is assumed to happen at the peers too, in the
    /// ratio of their earlier reports. Without such reports all routers are assumed to receive
    /// equal parts, so a workspace whose callers use few routers is limited too strictly until the
    /// first reports.
    fn unreported_demand(
        &self,
        workspace: WorkspaceKey,
        peers: f64,
        peer_count: usize,
        now: Time,
    ) -> f64 {
        let local = self.local.recent(workspace, now);
        let last_report = self.reported.get(&workspace).copied().unwrap_or_default();
        let grown =
            local.requests - GROWTH_DEVIATIONS * local.requests.sqrt() - last_report.requests;
        if grown <= 0.0 {
            return 0.0;
        }
        let each = local.tokens / local.requests;
        let prior = PRIOR_REQUESTS * each;
        let proportion = (peers + peer_count as f64 * prior) / (last_report.tokens + prior);
        grown * each * proportion
    }

    /// Returns this router's own counts for a report to the peers, and remembers the reported
    /// demand.
    pub fn report(&mut self, now: Time) -> Vec<(WorkspaceKey, UsageCounts)> {
        let keys = self.local.workspaces();
        let recent = keys.map(|key| (*key, self.local.recent(*key, now)));
        self.reported = recent.collect();
        let keys = self.local.workspaces();
        let sums = keys.map(|key| (*key, self.local.sum(*key, now)));
        sums.filter(|(_, sum)| sum.requested > 0.0 || sum.served > 0.0)
            .collect()
    }

    /// Replaces the counts of a peer.
    pub fn set_peer(&mut self, from: &RouterId, counts: &[(WorkspaceKey, UsageCounts)], now: Time) {
        self.peers
            .insert(from.clone(), UsageReport::new(counts, now));
    }

    /// Replaces the summed counts of all other routers.
    ///
    /// Some of these routers may also report to this one directly, so the larger value counts.
    pub fn set_summary(&mut self, counts: &[(WorkspaceKey, UsageCounts)], now: Time) {
        self.summary = Some(UsageReport::new(counts, now));
    }

    /// Returns the counts of all routers except one, as a summary for that one.
    pub fn counts_except(&self, peer: &RouterId, now: Time) -> Vec<(WorkspaceKey, UsageCounts)> {
        let theirs = self.peers.get(peer);
        let theirs = theirs.filter(|report| self.validity.is_valid(report.at, now));
        let mut all = self.peer_counts(now);
        for key in self.local.workspaces() {
            all.entry(*key).or_default().add(self.local.sum(*key, now));
        }
        for (key, counts) in theirs.iter().flat_map(|report| &report.counts) {
            all.entry(*key).or_default().subtract(*counts);
        }
        let all = all.into_iter();
        all.filter(|(_, sum)| sum.requested > 0.0 || sum.served > 0.0)
            .collect()
    }

    /// Drops what is no longer valid.
    pub fn forget(&mut self, now: Time) {
        self.peers
            .retain(|_, report| self.validity.is_valid(report.at, now));
        self.summary
            .take_if(|report| !self.validity.is_valid(report.at, now));
        self.local.forget(now);
    }

    /// Returns the valid counts of the peers.
    fn valid_counts(&self, now: Time) -> impl Iterator<Item = &HashMap<WorkspaceKey, UsageCounts>> {
        let valid = self.peers.values();
        let valid = valid.filter(move |report| self.validity.is_valid(report.at, now));
        valid.map(|report| &report.counts)
    }

    /// Returns the counts of the last summary, if it is valid.
    fn summary_counts(&self, now: Time) -> Option<&HashMap<WorkspaceKey, UsageCounts>> {
        let summary = self.summary.as_ref();
        let summary = summary.filter(|report| self.validity.is_valid(report.at, now));
        summary.map(|report| &report.counts)
    }

    /// Returns the counts of all other routers.
    fn peer_counts(&self, now: Time) -> HashMap<WorkspaceKey, UsageCounts> {
        let mut all: HashMap<WorkspaceKey, UsageCounts> = HashMap::new();
        for (key, counts) in self.valid_counts(now).flatten() {
            all.entry(*key).or_default().add(*counts);
        }
        for (key, counts) in self.summary_counts(now).into_iter().flatten() {
            let sum = all.entry(*key).or_default();
            *sum = sum.max(*counts);
        }
        all
    }

    /// Adds this router's own counts, and its estimate of unreported demand, to what `peer_count`
    /// peers reported of a workspace.
    fn with_local(
        &self,
        key: WorkspaceKey,
        theirs: UsageCounts,
        peer_count: usize,
        now: Time,
    ) -> UsageCounts {
        let mut sum = self.local.sum(key, now);
        sum.add(theirs);
        sum.recent += self.unreported_demand(key, f64::from(theirs.recent), peer_count, now) as f32;
        sum
    }

    fn sum(&self, workspace: WorkspaceKey, now: Time) -> UsageCounts {
        let mut theirs = UsageCounts::default();
        for counts in self.valid_counts(now) {
            theirs.add(counts.get(&workspace).copied().unwrap_or_default());
        }
        let summed = self.summary_counts(now).and_then(|all| all.get(&workspace));
        let theirs = theirs.max(summed.copied().unwrap_or_default());
        self.with_local(workspace, theirs, self.valid_counts(now).count(), now)
    }

    /// Returns the usage standing of a request of a workspace, where `roll` is a random number from
    /// 0 to 1 that belongs to the request.
    ///
    /// The expected load is several workspaces that each request far more than there is, at many
    /// routers. Each router admits the same fraction of a workspace's requests, its max-min share
    /// divided by its demand, so the sum over the fleet is that share. Late counts do little harm,
    /// as demand changes slowly. If the amount served decided instead, a workspace above its share
    /// would get nothing for seconds and then, until all routers have the reports, far too much.
    pub fn standing(&mut self, workspace: WorkspaceKey, roll: f64, now: Time) -> UsageStanding {
        if self.capacity <= 0.0 {
            return UsageStanding::default();
        }
        let fair_shares = self.fair_shares(now);
        let sum = self.sum(workspace, now);
        let recent = f64::from(sum.recent);
        let requested = f64::from(sum.requested) + self.local.rejected(workspace, now);
        let owed = fair_shares.best.min(requested);
        UsageStanding {
            share: f64::from(sum.served) / fair_shares.configured.max(1.0),
            max_min_ratio: match recent <= fair_shares.max_min {
                true => 0.0,
                false => roll * recent / fair_shares.max_min.max(1.0),
            },
            demand: recent,
            max_min_share: fair_shares.max_min,
            shortfall: 1.0 - (f64::from(sum.served) / owed.max(1.0)).min(1.0),
        }
    }

    fn fair_shares(&mut self, now: Time) -> FairShares {
        if let Some((at, fair_shares)) = self.fair_shares {
            if now.since(at) < REFRESH_INTERVAL {
                return fair_shares;
            }
        }
        let mut all = self.peer_counts(now);
        let peer_count = self.valid_counts(now).count();
        for key in self.local.workspaces() {
            let sum = all.entry(*key).or_default();
            *sum = self.with_local(*key, *sum, peer_count, now);
        }
        let demands: Vec<f64> = all.values().map(|a| f64::from(a.requested)).collect();
        let recent: Vec<f64> = all.values().map(|a| f64::from(a.recent)).collect();
        let served = || all.values().map(|a| f64::from(a.served));
        let given: f64 = served().sum();
        let configured = self.capacity * self.local.length().as_secs();
        let part = RECENT_SPAN.as_secs() / self.local.length().as_secs();
        let fair_shares = FairShares {
            configured: max_min_share(&demands, configured),
            max_min: max_min_share(&recent, given.max(configured) * part),
            best: served().fold(0.0, f64::max),
        };
        self.fair_shares = Some((now, fair_shares));
        fair_shares
    }
}
