//! Which routers may send requests to a cold replica.

use {
    crate::{
        placement::ReplicaKey,
        rendezvous,
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeMap, //
};

/// Maximum number of routers to which a cold replica is assigned.
const ASSIGNED_MAX: u32 = 4;
/// The routers of a fleet know different ones to be active while some fail, restart or are cut off,
/// and up to twice as many take a replica for theirs. Together they use this part of the limit
/// otherwise.
const LIMIT_DIVISOR: u32 = 2;
/// How long a router counts after it was last active. Its part of the limit stays reserved, since it
/// may only be out of reach.
const REMEMBERED: Span = Span::secs(60);

/// The routers that are or were active lately, among which cold replicas are assigned.
///
/// # Examples
///
/// ```
/// use policy::{placement::ReplicaKey, warmup::Assignment, RouterId, Time};
///
/// let names: Vec<RouterId> = (0..9).map(|i| format!("r{i}").parse().unwrap()).collect();
/// let mut assignment = Assignment::default();
/// assignment.observe_active(names.iter(), Time(0));
/// let assigned = names.iter().filter(|name| assignment.includes(ReplicaKey(7), 32, name));
/// assert_eq!(assigned.count(), 4);
/// // They may send 16 requests per second together.
/// assert_eq!(Assignment::part_of(32), 4);
/// ```
#[derive(Debug, Default)]
pub struct Assignment {
    active: BTreeMap<RouterId, Time>,
    /// Counts the changes of the set.
    generation: u64,
}

impl Assignment {
    /// Records which routers are active now.
    pub fn observe_active<'a>(&mut self, active: impl Iterator<Item = &'a RouterId>, now: Time) {
        for name in active {
            if let Some(last) = self.active.get_mut(name) {
                *last = now;
                continue;
            }
            self.active.insert(name.clone(), now);
            self.generation += 1;
        }
        let before = self.active.len();
        self.active.retain(|_, last| now.since(*last) < REMEMBERED);
        self.generation += u64::from(self.active.len() < before);
    }

    /// Returns a number that changes with the routers that are considered.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a replica to which all routers together may send `limit` requests per second
    /// is assigned to a router.
    pub fn includes(&self, replica: ReplicaKey, limit: u32, router: &RouterId) -> bool {
        let key = replica.0.to_string();
        let score = |name: &RouterId| rendezvous::score(&key, name.as_str());
        let own = score(router);
        let before = self.active.keys().filter(|name| score(name) > own);
        let assigned = assigned_count(limit) as usize;
        before.take(assigned).count() < assigned
    }

    /// Returns how many requests in one second each assigned router may send to a replica to which
    /// all routers together may send `limit`.
    pub fn part_of(limit: u32) -> u32 {
        (limit / LIMIT_DIVISOR)
            .checked_div(assigned_count(limit))
            .unwrap_or(0)
    }
}

fn assigned_count(limit: u32) -> u32 {
    ASSIGNED_MAX.min(limit / LIMIT_DIVISOR)
}
