//! The load of each replica over the whole fleet.

use {
    crate::{
        ReplicaId,
        RouterId,
        Span,
        StartedAt,
        Time,
        Validity, //
    },
    rustc_hash::FxBuildHasher,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::{
        BTreeSet,
        HashMap,
        HashSet, //
    },
    xxhash_rust::xxh3::xxh3_64_with_seed, //
};

/// How long the load report of a peer is valid: this long at least, and until this many reports in
/// a row have been missed.
///
/// Peers report several times in this span, so a peer that sends nothing is disconnected or down,
/// and its requests end with it. With a longer span, the requests of a killed router would keep
/// free slots occupied. About one message in a hundred is lost.
const REPORT_VALIDITY: Validity = Validity::new(Span::millis(700), 2.3);

/// A 32-bit hash that identifies a replica in messages between routers: 4 bytes instead of 10 to
/// 20.
///
/// Two of 100 replicas have the same key with a probability of about one in a million. Each then
/// counts the other's load as its own, and gets fewer requests until one of them is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaKey(pub u32);

/// A map by replica.
///
/// A decision looks at every replica several times, and the keys are hashes already. The default
/// hasher protects against keys that callers choose, which these are not.
pub type ReplicaMap<V> = HashMap<ReplicaKey, V, FxBuildHasher>;

/// A set of replicas.
pub type ReplicaSet = HashSet<ReplicaKey, FxBuildHasher>;

/// What a router knows of the requests at all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct View {
    /// Requests of all routers, as far as it knows, including its own.
    pub running: u32,
    /// Requests of this router.
    pub local: u32,
    /// Peers whose own load reports are still valid.
    pub peers: usize,
}

/// The load of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent to it that have not ended.
    pub running: u32,
    /// Prompt tokens of these requests that it still has to read.
    pub unread: u64,
    /// Tokens that these requests take in its memory.
    pub memory: u64,
}

/// The load of each replica: the requests of this router, and those that its peers report.
///
/// # Examples
///
/// ```
/// use policy::{placement::{Board, Load, ReplicaKey}, ReplicaId, Time};
///
/// let mut board = Board::default();
/// let id: ReplicaId = "i-1".parse()?;
/// let load = Load { running: 1, unread: 800, memory: 900 };
/// board.start(ReplicaKey::of(&id), load);
/// board.set_peer(&"r2".parse()?, &[(ReplicaKey::of(&id), load)], Time(0));
/// assert_eq!(board.load(ReplicaKey::of(&id), Time(0)).running, 2);
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug)]
pub struct Board {
    local: ReplicaMap<Load>,
    peers: HashMap<RouterId, LoadReport>,
    /// The sum of the peers' reports.
    ///
    /// A decision looks at every replica; summing up the peers for each one would take more time
    /// than everything else that a request needs.
    peer_sum: ReplicaMap<Load>,
    /// The summed load of all other routers, as an active router last sent it to this standby.
    summary: Option<LoadReport>,
    /// Time of the oldest report among the peers.
    oldest: Option<Time>,
    validity: Validity,
}

impl Default for Board {
    fn default() -> Board {
        Board {
            local: ReplicaMap::default(),
            peers: HashMap::new(),
            peer_sum: ReplicaMap::default(),
            summary: None,
            oldest: None,
            validity: REPORT_VALIDITY,
        }
    }
}

#[derive(Debug)]
struct LoadReport {
    at: Time,
    loads: ReplicaMap<Load>,
    /// Requests in all of these loads.
    running: u32,
}

impl LoadReport {
    fn new(loads: &[(ReplicaKey, Load)], now: Time) -> LoadReport {
        LoadReport {
            at: now,
            loads: loads.iter().copied().collect(),
            running: loads.iter().map(|(_, load)| load.running).sum(),
        }
    }
}

impl ReplicaKey {
    /// Returns the key of a replica that doesn't publish when it started.
    pub fn of(id: &ReplicaId) -> ReplicaKey {
        ReplicaKey::of_start(id, None)
    }

    /// Returns the key of one incarnation of a replica.
    ///
    /// A replica may restart under the same id. It then holds no earlier requests, and everything
    /// that is stored under its key, here and at the peers, starts from scratch.
    pub fn of_start(id: &ReplicaId, started_at: Option<StartedAt>) -> ReplicaKey {
        let seed = started_at.map_or(0, |at| at.0);
        ReplicaKey(xxh3_64_with_seed(id.as_str().as_bytes(), seed) as u32)
    }
}

impl Load {
    fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread += other.unread;
        self.memory += other.memory;
    }

    fn max(self, other: Load) -> Load {
        Load {
            running: self.running.max(other.running),
            unread: self.unread.max(other.unread),
            memory: self.memory.max(other.memory),
        }
    }

    fn subtract(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

impl Board {
    /// Sets how often peers report. They do so less often in a large fleet, and a validity shorter
    /// than the interval would leave their load out most of the time.
    pub fn set_report_interval(&mut self, interval: Span) {
        self.validity.set_report_interval(interval);
    }

    /// Counts a request that is sent to a replica.
    pub fn start(&mut self, replica: ReplicaKey, load: Load) {
        self.local.entry(replica).or_default().add(load);
    }

    /// Records that the prompt of a request was read, since its first event arrived.
    pub fn read(&mut self, replica: ReplicaKey, tokens: u64) {
        if let Some(local) = self.local.get_mut(&replica) {
            local.unread = local.unread.saturating_sub(tokens);
        }
    }

    /// Subtracts what is left of a request that has ended.
    pub fn end(&mut self, replica: ReplicaKey, left: Load) {
        if let Some(local) = self.local.get_mut(&replica) {
            local.subtract(left);
            if *local == Load::default() {
                self.local.remove(&replica);
            }
        }
    }

    /// Replaces the report of a peer.
    pub fn set_peer(&mut self, from: &RouterId, loads: &[(ReplicaKey, Load)], now: Time) {
        let report = LoadReport::new(loads, now);
        for (key, load) in &report.loads {
            self.peer_sum.entry(*key).or_default().add(*load);
        }
        if let Some(before) = self.peers.insert(from.clone(), report) {
            self.subtract_report(&before);
        }
        self.oldest = self.peers.values().map(|report| report.at).min();
    }

    /// Replaces the summed load of all other routers.
    ///
    /// Some of these routers may also report to this one directly, so the larger value counts for
    /// each replica.
    pub fn set_summary(&mut self, loads: &[(ReplicaKey, Load)], now: Time) {
        self.summary = Some(LoadReport::new(loads, now));
    }

    /// Returns the load of all routers except one, as a summary for that one.
    pub fn loads_except(&self, peer: &RouterId, now: Time) -> Vec<(ReplicaKey, Load)> {
        let theirs = self.peers.get(peer);
        let theirs = theirs.filter(|report| self.validity.is_valid(report.at, now));
        let keys: BTreeSet<ReplicaKey> = self
            .local
            .keys()
            .chain(self.peer_sum.keys())
            .copied()
            .collect();
        let others = keys.into_iter().map(|key| {
            let mut load = self.load(key, now);
            if let Some(their_load) = theirs.and_then(|report| report.loads.get(&key)) {
                load.subtract(*their_load);
            }
            (key, load)
        });
        others.filter(|(_, load)| load.running > 0).collect()
    }

    fn subtract_report(&mut self, report: &LoadReport) {
        for (key, load) in &report.loads {
            if let Some(sum) = self.peer_sum.get_mut(key) {
                sum.subtract(*load);
                if *sum == Load::default() {
                    self.peer_sum.remove(key);
                }
            }
        }
    }

    /// Drops the reports that are no longer valid.
    pub fn forget(&mut self, now: Time) {
        self.summary
            .take_if(|report| !self.validity.is_valid(report.at, now));
        if self.oldest.is_none_or(|at| self.validity.is_valid(at, now)) {
            return;
        }
        let is_current = |report: &LoadReport| self.validity.is_valid(report.at, now);
        let (valid, expired) = std::mem::take(&mut self.peers)
            .into_iter()
            .partition(|(_, report)| is_current(report));
        self.peers = valid;
        let expired: HashMap<RouterId, LoadReport> = expired;
        for report in expired.values() {
            self.subtract_report(report);
        }
        self.oldest = self.peers.values().map(|report| report.at).min();
    }

    /// Returns the load of a replica over the whole fleet.
    pub fn load(&self, replica: ReplicaKey, now: Time) -> Load {
        let summary = self.summary.as_ref();
        let summary = summary.filter(|report| self.validity.is_valid(report.at, now));
        let summed = summary.and_then(|report| report.loads.get(&replica));
        let reported = self.reported(replica, now);
        let mut sum = self.local(replica);
        sum.add(reported.max(summed.copied().unwrap_or_default()));
        sum
    }

    /// Returns the load of a replica that the peers report.
    fn reported(&self, replica: ReplicaKey, now: Time) -> Load {
        if self.oldest.is_none_or(|at| self.validity.is_valid(at, now)) {
            return self.peer_sum.get(&replica).copied().unwrap_or_default();
        }
        // The sum still includes a peer whose report has expired.
        let mut sum = Load::default();
        for report in self.peers.values() {
            if !self.validity.is_valid(report.at, now) {
                continue;
            }
            if let Some(load) = report.loads.get(&replica) {
                sum.add(*load);
            }
        }
        sum
    }

    /// Returns the load of this router's own requests at a replica.
    pub fn local(&self, replica: ReplicaKey) -> Load {
        self.local.get(&replica).copied().unwrap_or_default()
    }

    /// Returns how many requests this router has at replicas.
    pub fn running(&self) -> u32 {
        self.local.values().map(|load| load.running).sum()
    }

    /// Returns what this router knows of the requests at all replicas.
    pub fn view(&self, now: Time) -> View {
        let valid = self.peers.values();
        let valid = valid.filter(|report| self.validity.is_valid(report.at, now));
        let (peers, reported) =
            valid.fold((0, 0), |(n, sum), report| (n + 1, sum + report.running));
        let summary = self.summary.as_ref();
        let summary = summary.filter(|report| self.validity.is_valid(report.at, now));
        let local = self.running();
        View {
            running: local + reported.max(summary.map_or(0, |report| report.running)),
            local,
            peers,
        }
    }

    /// Returns this router's own load, to report it to the peers.
    pub fn report(&self) -> Vec<(ReplicaKey, Load)> {
        self.local.iter().map(|(key, load)| (*key, *load)).collect()
    }
}
