//! The replicas that are cold, and the requests sent to them.

use {
    super::Assignment,
    crate::{
        placement::{
            ReplicaKey,
            ReplicaMap,
            ReplicaSet, //
        },
        RouterId,
        Span,
        Time, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::VecDeque, //
};

/// The span to which the limit on requests applies.
const WINDOW: Span = Span::secs(1);
/// How long a router must have been active before it sends requests to cold replicas. Before that it
/// may not know the others, nor what it sent to the replica before it restarted.
const MIN_ACTIVE_TIME: Span = Span::secs(2);

/// How the replicas of a service start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How long a replica is cold after it started.
    pub lasts: Span,
    /// Requests that all routers together may send to a cold replica within any second.
    pub requests: u32,
}

/// What a replica reports about its own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ColdReport {
    /// Number of the report, which increases.
    pub number: u64,
    /// How much longer it is cold.
    pub remaining: Span,
}

/// A cold replica, as one router reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReplica {
    /// The replica.
    pub key: ReplicaKey,
    /// How much longer it is cold.
    pub remaining: Span,
}

/// The replicas that are cold.
///
/// A replica counts as cold for longer rather than shorter than it is: too few requests cost some
/// of its capacity, too many crash it.
///
/// # Examples
///
/// ```
/// use policy::{placement::ReplicaKey, warmup::{ColdStart, Warmup}, RouterId, Span, Time};
///
/// let start = ColdStart { lasts: Span::secs(3), requests: 32 };
/// let (replica, router): (ReplicaKey, RouterId) = (ReplicaKey(7), "r1".parse()?);
/// let mut warmup = Warmup::default();
/// warmup.started(replica, start, Time(0));
/// warmup.assignment.observe_active([&router].into_iter(), Time(0));
/// let active_for = Span::secs(9);
/// let mut sent = 0;
/// while warmup.admits(replica, start, &router, active_for, Time(0)) {
///     warmup.record_sent(replica, Time(0));
///     sent += 1;
/// }
/// assert_eq!(sent, 4);
/// assert!(!warmup.is_cold(replica, Time(0) + Span::secs(3)));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Warmup {
    /// The routers among which cold replicas are assigned.
    pub assignment: Assignment,
    cold: ReplicaMap<Cold>,
    /// The last report of each listed replica.
    reports: ReplicaMap<ColdReport>,
}

#[derive(Debug)]
struct Cold {
    until: Time,
    /// It was not only a peer that reported it.
    observed: bool,
    /// Requests of this router in the last second.
    sent: VecDeque<Time>,
    /// Whether it is assigned to this router, and the generation of the assignment.
    assigned: Option<(u64, bool)>,
}

impl Warmup {
    /// Records that a replica has started, or was idle for long enough to have become cold.
    pub fn started(&mut self, replica: ReplicaKey, start: ColdStart, now: Time) {
        self.set_cold(replica, now + start.lasts, true);
    }

    /// Records a listed replica, and what it had reported when the list was made, if the list tells.
    /// Returns whether it was listed before.
    pub fn listed(&mut self, replica: ReplicaKey, report: Option<ColdReport>, made: Time) -> bool {
        let before = self.reports.get(&replica).copied();
        let report = report.or(before).unwrap_or_default();
        self.reports.insert(replica, report);
        // A report that is read again says nothing about the time since.
        if before != Some(report) && report.remaining > Span::ZERO {
            self.set_cold(replica, made + report.remaining, true);
        }
        before.is_some()
    }

    /// Records the cold replicas that a peer reports.
    pub fn apply_peer(&mut self, replicas: &[ColdReplica], now: Time) {
        for cold in replicas {
            self.set_cold(cold.key, now + cold.remaining, false);
        }
    }

    /// Returns the cold replicas that this router has observed, to report them to the peers.
    ///
    /// What others reported is left out: each of them would prolong it by the time that messages
    /// take.
    pub fn report(&self, now: Time) -> Vec<ColdReplica> {
        let observed = self
            .cold
            .iter()
            .filter(|(_, c)| c.observed && now < c.until);
        let reports = observed.map(|(key, c)| ColdReplica {
            key: *key,
            remaining: c.until.since(now),
        });
        reports.collect()
    }

    fn set_cold(&mut self, replica: ReplicaKey, until: Time, observed: bool) {
        let cold = self.cold.entry(replica).or_insert(Cold {
            until,
            observed,
            sent: VecDeque::new(),
            assigned: None,
        });
        cold.observed |= observed;
        cold.until = cold.until.max(until);
    }

    /// Returns whether a replica is cold.
    pub fn is_cold(&self, replica: ReplicaKey, now: Time) -> bool {
        self.cold.get(&replica).is_some_and(|c| now < c.until)
    }

    /// Returns the number of cold replicas.
    pub fn cold_count(&self, now: Time) -> usize {
        self.cold.values().filter(|c| now < c.until).count()
    }

    /// Returns the cold replicas to which `router`, which has been active for the given time, may
    /// send no more requests now.
    pub fn barred(
        &mut self,
        start: ColdStart,
        router: &RouterId,
        active_for: Span,
        now: Time,
    ) -> ReplicaSet {
        let cold: Vec<ReplicaKey> = self.cold.keys().copied().collect();
        let barred = cold
            .into_iter()
            .filter(|key| !self.admits(*key, start, router, active_for, now));
        barred.collect()
    }

    /// Returns whether `router`, which has been active for the given time, may send a request to a
    /// replica. A replica that isn't cold may get any number.
    pub fn admits(
        &mut self,
        replica: ReplicaKey,
        start: ColdStart,
        router: &RouterId,
        active_for: Span,
        now: Time,
    ) -> bool {
        let Some(cold) = self.cold.get_mut(&replica).filter(|c| now < c.until) else {
            return true;
        };
        if active_for < MIN_ACTIVE_TIME {
            return false;
        }
        while cold.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            cold.sent.pop_front();
        }
        if cold.sent.len() >= Assignment::part_of(start.requests) as usize {
            return false;
        }
        let generation = self.assignment.generation();
        match cold.assigned {
            Some((known, assigned)) if known == generation => assigned,
            _ => {
                let assigned = self.assignment.includes(replica, start.requests, router);
                cold.assigned = Some((generation, assigned));
                assigned
            }
        }
    }

    /// Records a request that is sent to a replica.
    pub fn record_sent(&mut self, replica: ReplicaKey, now: Time) {
        if let Some(cold) = self.cold.get_mut(&replica) {
            cold.sent.push_back(now);
        }
    }

    /// Drops a replica that is no longer listed.
    pub fn remove(&mut self, replica: ReplicaKey) {
        self.reports.remove(&replica);
    }

    /// Drops the replicas that are no longer cold.
    pub fn forget(&mut self, now: Time) {
        self.cold.retain(|_, c| now < c.until);
    }
}
