//! The part of a service's replicas that requests are sent to.
//!
//! A fleet may have far more replicas than its requests need. If each request could go to any of
//! them, a choice would take time for each replica, prompts would find nothing cached, and a
//! connection would hardly ever be used twice. So all routers rank the replicas in the same order,
//! and use as many of the first ones as the requests need.

use {
    crate::{
        rendezvous,
        ReplicaId,
        Span,
        Time,
        Zone, //
    },
    std::{
        cmp::Reverse,
        collections::{
            BTreeMap,
            BTreeSet, //
        },
    },
};

/// The key that orders the replicas of an availability zone.
const RANKING_KEY: &str = "subset";
/// The least number of replicas in use, so that the failure of a tenth leaves room for their requests.
/// A choice looks at each of them.
const SUBSET_MIN: usize = 256;
/// Part of the slots in use up to which a subset is large enough: so much that the loss of a zone or
/// of some replicas at once leaves it half idle.
const OCCUPANCY_TARGET: f64 = 0.25;
/// How long a subset stays larger than needed. Each change of its size changes the preferred
/// replicas of many prompts.
const SHRINK_DELAY: Span = Span::secs(60);

/// Replicas in the order in which they are used.
///
/// # Examples
///
/// ```
/// use policy::placement::Ranking;
///
/// let mut ranking = Ranking::default();
/// for (id, zone) in [("i-1", "a"), ("i-2", "a"), ("i-3", "b")] {
///     ranking.insert(&id.parse()?, &zone.parse()?);
/// }
/// let two = ranking.first(2, |_| true, |_| true);
/// assert!(two.iter().any(|id| id.as_str() == "i-3"), "one of each zone");
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    zones: BTreeMap<Zone, BTreeSet<Rank>>,
    len: usize,
}

/// The place of a replica in its zone; the lowest is used first.
type Rank = (Reverse<u64>, ReplicaId);

fn rank(id: &ReplicaId) -> Rank {
    let score = rendezvous::score(RANKING_KEY, id.as_str());
    (Reverse(score), id.clone())
}

impl Ranking {
    /// Adds a replica.
    pub fn insert(&mut self, id: &ReplicaId, zone: &Zone) {
        let ranks = self.zones.entry(zone.clone()).or_default();
        self.len += usize::from(ranks.insert(rank(id)));
    }

    /// Removes a replica.
    pub fn remove(&mut self, id: &ReplicaId, zone: &Zone) {
        let Some(ranks) = self.zones.get_mut(zone) else {
            return;
        };
        self.len -= usize::from(ranks.remove(&rank(id)));
        if ranks.is_empty() {
            self.zones.remove(zone);
        }
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the first `count` replicas that take requests, from each zone in turn.
    pub fn first(
        &self,
        count: usize,
        uses_zone: impl Fn(&Zone) -> bool,
        takes_work: impl Fn(&ReplicaId) -> bool,
    ) -> Vec<&ReplicaId> {
        let zones = self.zones.iter().filter(|(zone, _)| uses_zone(zone));
        let ready = zones.map(|(_, ranks)| {
            let ids = ranks.iter().map(|(_, id)| id);
            ids.filter(|id| takes_work(id))
        });
        let mut zones: Vec<_> = ready.collect();
        let mut first = Vec::new();
        while !zones.is_empty() && first.len() < count {
            zones.retain_mut(|zone| {
                if first.len() == count {
                    return true;
                }
                let next = zone.next();
                first.extend(next);
                next.is_some()
            });
        }
        first
    }
}

/// How many replicas of a service are used.
///
/// # Examples
///
/// ```
/// use policy::{placement::SubsetSize, Time};
///
/// let mut size = SubsetSize::default();
/// let few = size.get();
/// size.update(5_000, 16, Time(0));
/// assert!(size.get() > few);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct SubsetSize {
    size: usize,
    /// When so many were needed last.
    needed: Time,
}

impl Default for SubsetSize {
    fn default() -> SubsetSize {
        SubsetSize {
            size: SUBSET_MIN,
            needed: Time(0),
        }
    }
}

impl SubsetSize {
    /// Returns how many replicas are used.
    pub fn get(&self) -> usize {
        self.size
    }

    /// Records that `running` requests run at replicas of `slots` slots.
    ///
    /// Sizes are far apart, so that routers that know slightly different numbers use the same one.
    pub fn update(&mut self, running: u32, slots: u32, now: Time) {
        let need = f64::from(running) / (f64::from(slots.max(1)) * OCCUPANCY_TARGET);
        let mut size = SUBSET_MIN;
        while (size as f64) < need {
            size *= 2;
        }
        if size >= self.size || now.since(self.needed) >= SHRINK_DELAY {
            self.size = size;
            self.needed = now;
        }
    }
}
