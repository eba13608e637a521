//! How much work each replica has, over the whole fleet.

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
        HashMap, //
    },
    xxhash_rust::xxh3::xxh3_64_with_seed, //
};

/// A peer's word counts for this long at least, and until so many words have been missed.
///
/// Peers speak several times in this span, so one that is not heard was cut off or is gone,
/// and its requests end with it. Kept for longer, a killed router's requests would keep
/// places taken that are free. One word in some hundred is lost.
const HEARD: Validity = Validity::new(Span::millis(700), 2.3);

/// A short name of a replica for messages between routers: 4 bytes in place of 10 to 20.
///
/// Two replicas of 100 share a name by a chance of about one in a million; each then counts
/// the other's work as its own, and gets less until one of them is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaKey(pub u32);

/// What is known of each replica.
///
/// A decision looks at every replica several times, and these names are hashes already. The usual
/// hash function guards against keys that callers choose, which these are not.
pub type ReplicaMap<V> = HashMap<ReplicaKey, V, FxBuildHasher>;

/// A router's view of the requests at all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct View {
    /// Requests of all routers, as far as it knows, its own included.
    pub running: u32,
    /// Its own.
    pub local: u32,
    /// Peers that sent their loads themselves a moment ago.
    pub peers: usize,
}

/// Work at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent there that have not ended.
    pub running: u32,
    /// Prompt tokens of these that the replica has still to read.
    pub unread: u64,
    /// Tokens that these take of the replica's memory.
    pub memory: u64,
}

/// The work of each replica: this router's requests, and what peers told of theirs.
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
    own: ReplicaMap<Load>,
    peers: HashMap<RouterId, Told>,
    /// Sum of what the peers told.
    ///
    /// A decision looks at every replica, and adding up the peers for each would take more time
    /// than all else that a request takes.
    told: ReplicaMap<Load>,
    /// The sum of all other routers' work, as an active router last sent it to this standby.
    summary: Option<Told>,
    /// When the peer that was not heard for longest last spoke.
    oldest: Option<Time>,
    heard: Validity,
}

impl Default for Board {
    fn default() -> Board {
        Board {
            own: ReplicaMap::default(),
            peers: HashMap::new(),
            told: ReplicaMap::default(),
            summary: None,
            oldest: None,
            heard: HEARD,
        }
    }
}

#[derive(Debug)]
struct Told {
    at: Time,
    loads: ReplicaMap<Load>,
    /// Requests of all loads.
    running: u32,
}

impl Told {
    fn new(loads: &[(ReplicaKey, Load)], now: Time) -> Told {
        Told {
            at: now,
            loads: loads.iter().copied().collect(),
            running: loads.iter().map(|(_, load)| load.running).sum(),
        }
    }
}

impl ReplicaKey {
    /// Returns the short name of a replica that does not tell when it started.
    pub fn of(id: &ReplicaId) -> ReplicaKey {
        ReplicaKey::of_start(id, None)
    }

    /// Returns the short name of one start of a replica.
    ///
    /// A replica may start again under its id. It then holds nothing of before, and whatever is
    /// remembered under this name, here and at the peers, starts anew with it.
    pub fn of_start(id: &ReplicaId, born: Option<StartedAt>) -> ReplicaKey {
        let seed = born.map_or(0, |b| b.0);
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

    fn take(&mut self, other: Load) {
        self.running = self.running.saturating_sub(other.running);
        self.unread = self.unread.saturating_sub(other.unread);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

impl Board {
    /// Sets how often peers speak. In a large fleet they do so more seldom, and a word that
    /// counted for less than the time to the next would be missing most of the time.
    pub fn set_report_interval(&mut self, every: Span) {
        self.heard.set_report_interval(every);
    }

    /// Counts a request that is sent to a replica.
    pub fn start(&mut self, replica: ReplicaKey, load: Load) {
        self.own.entry(replica).or_default().add(load);
    }

    /// Notes that a request's prompt was read, as its first event came.
    pub fn read(&mut self, replica: ReplicaKey, tokens: u64) {
        if let Some(own) = self.own.get_mut(&replica) {
            own.unread = own.unread.saturating_sub(tokens);
        }
    }

    /// Takes away what is left of a request that has ended.
    pub fn end(&mut self, replica: ReplicaKey, left: Load) {
        if let Some(own) = self.own.get_mut(&replica) {
            own.take(left);
            if *own == Load::default() {
                self.own.remove(&replica);
            }
        }
    }

    /// Takes what a peer tells of its requests, in place of what it told before.
    pub fn set_peer(&mut self, from: &RouterId, loads: &[(ReplicaKey, Load)], now: Time) {
        let told = Told::new(loads, now);
        for (key, load) in &told.loads {
            self.told.entry(*key).or_default().add(*load);
        }
        if let Some(before) = self.peers.insert(from.clone(), told) {
            self.take_back(&before);
        }
        self.oldest = self.peers.values().map(|told| told.at).min();
    }

    /// Replaces the sum of all other routers' work.
    ///
    /// Some of these may send their own loads as well, so the larger of both counts for a replica.
    pub fn set_summary(&mut self, loads: &[(ReplicaKey, Load)], now: Time) {
        self.summary = Some(Told::new(loads, now));
    }

    /// Returns the work of all routers but one, to send it to that one.
    pub fn loads_except(&self, peer: &RouterId, now: Time) -> Vec<(ReplicaKey, Load)> {
        let theirs = self.peers.get(peer);
        let theirs = theirs.filter(|told| self.heard.is_valid(told.at, now));
        let keys: BTreeSet<ReplicaKey> = self.own.keys().chain(self.told.keys()).copied().collect();
        let others = keys.into_iter().map(|key| {
            let mut load = self.load(key, now);
            if let Some(own) = theirs.and_then(|told| told.loads.get(&key)) {
                load.take(*own);
            }
            (key, load)
        });
        others.filter(|(_, load)| load.running > 0).collect()
    }

    fn take_back(&mut self, told: &Told) {
        for (key, load) in &told.loads {
            if let Some(sum) = self.told.get_mut(key) {
                sum.take(*load);
                if *sum == Load::default() {
                    self.told.remove(key);
                }
            }
        }
    }

    /// Drops the word of peers that were not heard for a while.
    pub fn forget(&mut self, now: Time) {
        self.summary
            .take_if(|told| !self.heard.is_valid(told.at, now));
        if self.oldest.is_none_or(|at| self.heard.is_valid(at, now)) {
            return;
        }
        let heard = |told: &Told| self.heard.is_valid(told.at, now);
        let (heard, silent) = std::mem::take(&mut self.peers)
            .into_iter()
            .partition(|(_, told)| heard(told));
        self.peers = heard;
        let silent: HashMap<RouterId, Told> = silent;
        for told in silent.values() {
            self.take_back(told);
        }
        self.oldest = self.peers.values().map(|told| told.at).min();
    }

    /// Returns the work of a replica over the fleet.
    pub fn load(&self, replica: ReplicaKey, now: Time) -> Load {
        let summary = self.summary.as_ref();
        let summary = summary.filter(|told| self.heard.is_valid(told.at, now));
        let summed = summary.and_then(|told| told.loads.get(&replica));
        let told = self.told(replica, now);
        let mut sum = self.local(replica);
        sum.add(told.max(summed.copied().unwrap_or_default()));
        sum
    }

    /// Returns what the peers told of a replica.
    fn told(&self, replica: ReplicaKey, now: Time) -> Load {
        if self.oldest.is_none_or(|at| self.heard.is_valid(at, now)) {
            return self.told.get(&replica).copied().unwrap_or_default();
        }
        // Somebody is silent, and was not forgotten yet.
        let mut sum = Load::default();
        for told in self.peers.values() {
            if !self.heard.is_valid(told.at, now) {
                continue;
            }
            if let Some(load) = told.loads.get(&replica) {
                sum.add(*load);
            }
        }
        sum
    }

    /// Returns this router's own work at a replica.
    pub fn local(&self, replica: ReplicaKey) -> Load {
        self.own.get(&replica).copied().unwrap_or_default()
    }

    /// Returns how many requests this router has at replicas.
    pub fn running(&self) -> u32 {
        self.own.values().map(|load| load.running).sum()
    }

    /// Returns what this router knows of the requests at all replicas.
    pub fn view(&self, now: Time) -> View {
        let heard = self.peers.values();
        let heard = heard.filter(|told| self.heard.is_valid(told.at, now));
        let (peers, told) =
            heard.fold((0, 0), |(peers, sum), told| (peers + 1, sum + told.running));
        let summary = self.summary.as_ref();
        let summary = summary.filter(|told| self.heard.is_valid(told.at, now));
        let own = self.running();
        View {
            running: own + told.max(summary.map_or(0, |told| told.running)),
            local: own,
            peers,
        }
    }

    /// Returns this router's own work, to tell the peers.
    pub fn report(&self) -> Vec<(ReplicaKey, Load)> {
        self.own.iter().map(|(key, load)| (*key, *load)).collect()
    }
}
