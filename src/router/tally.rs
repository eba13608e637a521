//! What workspaces asked of this router since it started.

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
pub(crate) struct Tally {
    counts: BTreeMap<Account, Counts>,
}

/// A workspace at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Account {
    pub(crate) workspace: WorkspaceId,
    pub(crate) service: ServiceId,
}

/// What one workspace asked of one service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    /// Requests answered whole.
    pub(crate) answered: u64,
    /// Requests refused as not run.
    pub(crate) refused: u64,
    /// Service received.
    pub(crate) received: Units,
}

impl Tally {
    /// Counts service as it is received.
    pub(crate) fn serve(&mut self, account: &Account, units: Units) {
        self.of(account).received += units;
    }

    /// Counts how a request ended.
    pub(crate) fn note(&mut self, account: &Account, outcome: Outcome) {
        let counts = self.of(account);
        match outcome {
            Outcome::Answered | Outcome::Failed => counts.answered += 1,
            Outcome::NotRun => counts.refused += 1,
            Outcome::MayHaveRun => {}
        }
    }

    fn of(&mut self, account: &Account) -> &mut Counts {
        self.counts.entry(account.clone()).or_default()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Account, &Counts)> {
        self.counts.iter()
    }
}
