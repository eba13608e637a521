//! Counters of requests and service by workspace, since the router started.

use {
    policy::{
        Outcome,
        ServiceId,
        Units,
        WorkspaceId, //
    },
    std::collections::BTreeMap,
};

/// Counts by workspace and service.
#[derive(Debug, Default)]
pub(crate) struct RequestCounters {
    counts: BTreeMap<CounterKey, Counts>,
}

/// A workspace and a service that it uses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CounterKey {
    pub(crate) workspace: WorkspaceId,
    pub(crate) service: ServiceId,
}

/// Counters of one workspace at one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    /// Requests answered completely.
    pub(crate) answered: u64,
    /// Requests rejected without being run.
    pub(crate) refused: u64,
    /// Service received.
    pub(crate) received: Units,
}

impl RequestCounters {
    /// Adds service received.
    pub(crate) fn add_units(&mut self, key: &CounterKey, units: Units) {
        self.counts_of(key).received += units;
    }

    /// Counts how a request ended.
    pub(crate) fn record_outcome(&mut self, key: &CounterKey, outcome: Outcome) {
        let counts = self.counts_of(key);
        match outcome {
            Outcome::Answered | Outcome::Failed => counts.answered += 1,
            Outcome::NotRun => counts.refused += 1,
            Outcome::MayHaveRun => {}
        }
    }

    fn counts_of(&mut self, key: &CounterKey) -> &mut Counts {
        self.counts.entry(key.clone()).or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CounterKey, &Counts)> {
        self.counts.iter()
    }
}
