//! The known replicas by service and version, and the part of them that is in use.

use {
    crate::{
        model::Replica,
        state::Tables, //
    },
    policy::{
        placement::{
            Board,
            Ranking,
            ReplicaKey,
            SubsetSize, //
        },
        streams::{
            ListedVersion,
            StreamOrigin, //
        },
        RosterChange,
        ServiceId,
        Span,
        Time,
        Zone, //
    },
    std::{
        collections::{
            BTreeMap,
            BTreeSet,
            HashMap, //
        },
        sync::Arc, //
    },
};

/// How often it is checked how many replicas are needed.
const SIZE_INTERVAL: Span = Span::millis(250);
/// How many times as many replicas as usual are considered for a request that none of these takes.
const WIDEST: usize = 4;

/// The known replicas, by service and by version.
#[derive(Debug, Default)]
pub(crate) struct ReplicaIndex {
    services: HashMap<ServiceId, Group>,
    versions: HashMap<StreamOrigin, Group>,
}

/// Replicas among which requests choose.
#[derive(Debug, Default)]
struct Group {
    ranking: Ranking,
    size: SubsetSize,
    /// When the size was last checked.
    sized: Option<Time>,
    /// The subsets that were last used, by the width of their scopes.
    subsets: BTreeMap<usize, (SubsetState, Subset)>,
}

/// What a subset was made from.
#[derive(Debug, PartialEq)]
struct SubsetState {
    generation: u64,
    size: usize,
    evacuated: BTreeSet<Zone>,
}

/// The replicas that a request chooses among.
#[derive(Debug, Clone)]
pub(crate) struct Subset {
    pub(crate) members: Arc<Vec<(ReplicaKey, Arc<Replica>)>>,
    /// There are no others that take work.
    pub(crate) complete: bool,
}

/// Which replicas a request may use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scope<'a> {
    pub(crate) service: &'a ServiceId,
    /// What began the stream, if it goes on.
    pub(crate) origin: Option<&'a StreamOrigin>,
    /// How many times as many replicas as usual are considered.
    pub(crate) width: usize,
}

impl Scope<'_> {
    /// Widens the scope after none of the replicas of a subset took the request. Returns whether
    /// that makes a difference.
    pub(crate) fn widen(&mut self, subset: &Subset) -> bool {
        self.width *= 2;
        !subset.complete && self.width <= WIDEST
    }
}

impl Group {
    fn insert(&mut self, replica: &Replica) {
        self.ranking.insert(&replica.id, &replica.zone);
    }

    /// Returns how many replicas are needed. All requests of the group run at those in use.
    fn size(&mut self, board: &Board, now: Time) -> usize {
        let is_due = |at: Time| now.since(at) >= SIZE_INTERVAL;
        if self.sized.is_none_or(is_due) {
            self.sized = Some(now);
            let usual = self.subsets.get(&1).map(|(_, subset)| &subset.members[..]);
            let members = usual.unwrap_or_default();
            let running = members.iter();
            let running = running.map(|(key, _)| board.load(*key, now).running);
            let slots = members.iter().map(|(_, replica)| replica.slots);
            self.size
                .update(running.sum(), median(slots.collect()), now);
        }
        self.size.get()
    }
}

/// Returns the median, or 0 without any number. A few replicas that report other numbers than the
/// rest have no influence on it.
fn median(mut numbers: Vec<u32>) -> u32 {
    if numbers.is_empty() {
        return 0;
    }
    let middle = numbers.len() / 2;
    *numbers.select_nth_unstable(middle).1
}

impl ReplicaIndex {
    fn insert(&mut self, replica: &Replica) {
        let service = self.services.entry(replica.service.clone()).or_default();
        service.insert(replica);
        let version = self.versions.entry(replica.origin()).or_default();
        version.insert(replica);
    }

    fn remove(&mut self, replica: &Replica) {
        let Replica { id, zone, .. } = replica;
        if let Some(service) = self.services.get_mut(&replica.service) {
            service.ranking.remove(id, zone);
        }
        let origin = replica.origin();
        if let Some(version) = self.versions.get_mut(&origin) {
            version.ranking.remove(id, zone);
            if version.ranking.is_empty() {
                self.versions.remove(&origin);
            }
        }
    }

    fn group(&mut self, scope: Scope<'_>) -> Option<&mut Group> {
        match scope.origin {
            Some(origin) => self.versions.get_mut(origin),
            None => self.services.get_mut(scope.service),
        }
    }
}

impl Tables {
    /// Applies the changes of the roster to all that is kept by replica.
    pub(crate) fn apply_roster_changes(&mut self, now: Time) {
        // Versions are known only from the first list on.
        if !self.roster.has_list() {
            return;
        }
        for change in self.roster.take_changes() {
            match change {
                RosterChange::Known { id, before } => {
                    if let Some(before) = before {
                        self.index.remove(&before);
                    }
                    let Some(replica) = self.roster.get(&id) else {
                        continue;
                    };
                    self.index.insert(replica);
                    let listed = ListedVersion {
                        key: replica.key(),
                        origin: replica.origin(),
                        draining: !self.roster.takes_work(&id),
                    };
                    self.versions.listed(listed, now);
                }
                RosterChange::Removed {
                    key,
                    value,
                    draining,
                    ..
                } => {
                    self.index.remove(&value);
                    self.versions.removed(key, draining, now);
                    self.forget_replica(key);
                }
            }
        }
        self.versions.finish(now);
    }

    fn forget_replica(&mut self, key: ReplicaKey) {
        self.speeds.remove(key);
        self.fleet_speeds.remove(key);
        self.latencies.remove(key);
        self.health.remove(&key);
        self.last_received.remove(&key);
        self.warmup.remove(key);
    }

    /// Returns the replicas that a request chooses among: those that take work, in no evacuated
    /// zone, as many as all requests need.
    pub(crate) fn subset(&mut self, scope: Scope<'_>, now: Time) -> Subset {
        self.apply_roster_changes(now);
        let Tables {
            index,
            roster,
            board,
            evacuations,
            ..
        } = self;
        let Some(group) = index.group(scope) else {
            return Subset {
                members: Arc::default(),
                complete: true,
            };
        };
        let size = group.size(board, now) * scope.width;
        let state = SubsetState {
            generation: roster.generation(),
            size,
            evacuated: evacuations.covered(now),
        };
        let known = group.subsets.get(&scope.width);
        if let Some((_, subset)) = known.filter(|(known, _)| *known == state) {
            return subset.clone();
        }
        let first = group.ranking.first(
            size,
            |zone| !state.evacuated.contains(zone),
            |id| roster.takes_work(id),
        );
        let complete = first.len() < size;
        let replicas = first.into_iter().filter_map(|id| roster.get(id));
        let mut members: Vec<_> = replicas.map(|r| (r.key(), r.clone())).collect();
        members.sort_by(|a, b| a.1.id.cmp(&b.1.id));
        let subset = Subset {
            members: Arc::new(members),
            complete,
        };
        group.subsets.insert(scope.width, (state, subset.clone()));
        subset
    }

    /// Returns whether any replica of the scope takes work, in evacuated zones too.
    pub(crate) fn has_ready(&mut self, scope: Scope<'_>, now: Time) -> bool {
        self.apply_roster_changes(now);
        let roster = &self.roster;
        let Some(group) = self.index.group(scope) else {
            return false;
        };
        let first = group.ranking.first(1, |_| true, |id| roster.takes_work(id));
        !first.is_empty()
    }
}

#[cfg(test)]
mod tests;
