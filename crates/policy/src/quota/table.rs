//! What each workspace asked for and was given, over the fleet.

use {
    super::{
        max_min_share,
        window::{
            Lately,
            Window,
            LATELY, //
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

/// A peer's word counts for this long at least, and until so many words have been missed; after
/// that its share of the window is unknown. One in some hundred is lost.
const HEARD: Validity = Validity::new(Span::secs(2), 2.3);
/// The level is worked out again after this time.
const FRESH: Span = Span::millis(50);

/// A short name of a workspace for messages between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(pub u32);

/// Standard deviations of a count of requests by which it must have grown to be taken for more
/// than chance.
const CHANCE: f64 = 2.0;
/// Requests for which the even spread over all routers counts, against what was told.
const PRIOR: f64 = 2.0;

/// Tokens over the window.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct UsageCounts {
    /// That were asked for.
    #[serde(rename = "asked")]
    pub requested: f32,
    /// Of which were begun.
    #[serde(rename = "given")]
    pub served: f32,
    /// That were asked for in the last second.
    #[serde(rename = "lately")]
    pub recent: f32,
}

/// The shares of workspaces in the fleet's capacity.
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
    /// What was asked of this router.
    own: Window,
    /// Tokens a second that all may have together.
    capacity: f64,
    /// What each workspace had asked for in the last second when this router last told its peers.
    reported: HashMap<WorkspaceKey, Lately>,
    peers: HashMap<RouterId, Told>,
    /// The sum of all other routers' counts, as an active router last sent it to this standby.
    summary: Option<Told>,
    levels: Option<(Time, Levels)>,
    heard: Validity,
}

/// Counts that a peer sent, and when they came.
#[derive(Debug)]
struct Told {
    at: Time,
    counts: HashMap<WorkspaceKey, UsageCounts>,
}

/// The most that a workspace may have over the window, in tokens.
#[derive(Debug, Clone, Copy)]
struct Levels {
    /// Of the capacity that the configuration states, over the window.
    stated: f64,
    /// Of what was given to all, in a second.
    actual: f64,
}

/// Where a request stands among those of its workspace, against the parts that are fair.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UsageStanding {
    /// What the workspace was given, as a multiple of its fair share of the stated capacity;
    /// 0 where none is known.
    pub share: f64,
    /// Where the request stands among all that the workspace asked for in the last second, as
    /// a multiple of an even part of all that was given: up to 1 for as many as make up that
    /// part. Engines give more than is stated where little has to be read anew; of the rest
    /// nobody is to have more than another who wants more. 0 where all can be given.
    pub max_min_ratio: f64,
    /// What the workspace asked for in the last second, over the fleet, in tokens.
    pub demand: f64,
    /// The even part in a second, in tokens; 0 where none is known.
    pub max_min_share: f64,
}

impl WorkspaceKey {
    /// Returns the short name of a workspace.
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

    fn take(&mut self, other: UsageCounts) {
        self.requested = (self.requested - other.requested).max(0.0);
        self.served = (self.served - other.served).max(0.0);
        self.recent = (self.recent - other.recent).max(0.0);
    }
}

impl Told {
    fn new(counts: &[(WorkspaceKey, UsageCounts)], now: Time) -> Told {
        Told {
            at: now,
            counts: counts.iter().copied().collect(),
        }
    }
}

impl Quota {
    /// Makes a table with no capacity known, where nobody is above their share.
    pub fn new(window: Span) -> Quota {
        Quota {
            own: Window::new(window),
            capacity: 0.0,
            reported: HashMap::new(),
            peers: HashMap::new(),
            summary: None,
            levels: None,
            heard: HEARD,
        }
    }

    /// Sets how often peers tell their counts, which is more seldom in a large fleet.
    pub fn set_report_interval(&mut self, every: Span) {
        self.heard.set_report_interval(every);
    }

    /// Sets what all may have together, in tokens a second; 0 where it is not known.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.levels = None;
    }

    /// Counts what a workspace asks for.
    pub fn record_requested(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.own.record_requested(workspace, tokens, now);
    }

    /// Counts what a workspace was given, when its request begins.
    pub fn record_served(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.own.record_served(workspace, tokens, now);
    }

    /// Returns what a workspace asks of the peers more than these have told by now, in tokens in
    /// the last second, as far as can be told from what it asks here.
    ///
    /// A flood that begins reaches all routers at once, and each hears of the others' part only
    /// when they next tell their counts. Taken for all there is, its own part would be let through
    /// whole. So growth here, beyond what chance would make it, is taken to be growth there, by the
    /// proportion in which peers told of it before. Where nothing was told yet, all routers are
    /// taken to get as much; one whose callers use few routers is thinned too far until then.
    fn unheard(&self, workspace: WorkspaceKey, peers: f64, heard: usize, now: Time) -> f64 {
        let own = self.own.lately(workspace, now);
        let told = self.reported.get(&workspace).copied().unwrap_or_default();
        let grown = own.requests - CHANCE * own.requests.sqrt() - told.requests;
        if grown <= 0.0 {
            return 0.0;
        }
        let each = own.tokens / own.requests;
        let prior = PRIOR * each;
        let proportion = (peers + heard as f64 * prior) / (told.tokens + prior);
        grown * each * proportion
    }

    /// Returns this router's own counts, to tell the peers, and notes what it tells.
    pub fn report(&mut self, now: Time) -> Vec<(WorkspaceKey, UsageCounts)> {
        let keys = self.own.workspaces();
        let lately = keys.map(|key| (*key, self.own.lately(*key, now)));
        self.reported = lately.collect();
        let keys = self.own.workspaces();
        let sums = keys.map(|key| (*key, self.own.sum(*key, now)));
        sums.filter(|(_, sum)| sum.requested > 0.0 || sum.served > 0.0)
            .collect()
    }

    /// Takes a peer's counts, in place of those before.
    pub fn set_peer(&mut self, from: &RouterId, counts: &[(WorkspaceKey, UsageCounts)], now: Time) {
        self.peers.insert(from.clone(), Told::new(counts, now));
    }

    /// Replaces the sum of all other routers' counts.
    ///
    /// Some of these may send their own counts as well, so the larger of both counts.
    pub fn set_summary(&mut self, counts: &[(WorkspaceKey, UsageCounts)], now: Time) {
        self.summary = Some(Told::new(counts, now));
    }

    /// Returns the counts of all routers but one, to send them to that one.
    pub fn counts_except(&self, peer: &RouterId, now: Time) -> Vec<(WorkspaceKey, UsageCounts)> {
        let theirs = self.peers.get(peer);
        let theirs = theirs.filter(|told| self.heard.is_valid(told.at, now));
        let mut all = self.told(now);
        for key in self.own.workspaces() {
            all.entry(*key).or_default().add(self.own.sum(*key, now));
        }
        for (key, counts) in theirs.iter().flat_map(|told| &told.counts) {
            all.entry(*key).or_default().take(*counts);
        }
        let all = all.into_iter();
        all.filter(|(_, sum)| sum.requested > 0.0 || sum.served > 0.0)
            .collect()
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: Time) {
        self.peers
            .retain(|_, told| self.heard.is_valid(told.at, now));
        self.summary
            .take_if(|told| !self.heard.is_valid(told.at, now));
        self.own.forget(now);
    }

    /// Returns the counts of the peers that were heard of late.
    fn heard(&self, now: Time) -> impl Iterator<Item = &HashMap<WorkspaceKey, UsageCounts>> {
        let heard = self.peers.values();
        let heard = heard.filter(move |told| self.heard.is_valid(told.at, now));
        heard.map(|told| &told.counts)
    }

    /// Returns the counts of the last summary, where it counts.
    fn summed(&self, now: Time) -> Option<&HashMap<WorkspaceKey, UsageCounts>> {
        let summary = self.summary.as_ref();
        let summary = summary.filter(|told| self.heard.is_valid(told.at, now));
        summary.map(|told| &told.counts)
    }

    /// Returns the counts of all other routers.
    fn told(&self, now: Time) -> HashMap<WorkspaceKey, UsageCounts> {
        let mut all: HashMap<WorkspaceKey, UsageCounts> = HashMap::new();
        for (key, counts) in self.heard(now).flatten() {
            all.entry(*key).or_default().add(*counts);
        }
        for (key, counts) in self.summed(now).into_iter().flatten() {
            let sum = all.entry(*key).or_default();
            *sum = sum.max(*counts);
        }
        all
    }

    /// Adds to what so many peers told of a workspace what is known of it here.
    fn with_own(
        &self,
        key: WorkspaceKey,
        theirs: UsageCounts,
        heard: usize,
        now: Time,
    ) -> UsageCounts {
        let mut sum = self.own.sum(key, now);
        sum.add(theirs);
        sum.recent += self.unheard(key, f64::from(theirs.recent), heard, now) as f32;
        sum
    }

    fn sum(&self, workspace: WorkspaceKey, now: Time) -> UsageCounts {
        let mut theirs = UsageCounts::default();
        for counts in self.heard(now) {
            theirs.add(counts.get(&workspace).copied().unwrap_or_default());
        }
        let summed = self.summed(now).and_then(|all| all.get(&workspace));
        let theirs = theirs.max(summed.copied().unwrap_or_default());
        self.with_own(workspace, theirs, self.heard(now).count(), now)
    }

    /// Returns where a request of a workspace stands; `roll` is a number from 0 to 1 that is
    /// drawn for the request.
    ///
    /// The load is several workspaces that each ask for far more than there is, at many
    /// routers. Each router lets through the same part of each workspace's requests, even part
    /// over what is asked, and the sum over the fleet is that part. Counts that are late do
    /// little harm, as what is asked changes slowly. Judged by what it was given, a workspace
    /// above its part would get nothing for seconds and then, until all have heard of it, far too
    /// much.
    pub fn standing(&mut self, workspace: WorkspaceKey, roll: f64, now: Time) -> UsageStanding {
        if self.capacity <= 0.0 {
            return UsageStanding::default();
        }
        let levels = self.levels(now);
        let sum = self.sum(workspace, now);
        let lately = f64::from(sum.recent);
        UsageStanding {
            share: f64::from(sum.served) / levels.stated.max(1.0),
            max_min_ratio: match lately <= levels.actual {
                true => 0.0,
                false => roll * lately / levels.actual.max(1.0),
            },
            demand: lately,
            max_min_share: levels.actual,
        }
    }

    fn levels(&mut self, now: Time) -> Levels {
        if let Some((at, levels)) = self.levels {
            if now.since(at) < FRESH {
                return levels;
            }
        }
        let mut all = self.told(now);
        let heard = self.heard(now).count();
        for key in self.own.workspaces() {
            let sum = all.entry(*key).or_default();
            *sum = self.with_own(*key, *sum, heard, now);
        }
        let asks: Vec<f64> = all.values().map(|a| f64::from(a.requested)).collect();
        let lately: Vec<f64> = all.values().map(|a| f64::from(a.recent)).collect();
        let given: f64 = all.values().map(|a| f64::from(a.served)).sum();
        let stated = self.capacity * self.own.length().as_secs();
        let part = LATELY.as_secs() / self.own.length().as_secs();
        let levels = Levels {
            stated: max_min_share(&asks, stated),
            actual: max_min_share(&lately, given.max(stated) * part),
        };
        self.levels = Some((now, levels));
        levels
    }
}
