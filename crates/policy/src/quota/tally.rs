//! Outcomes of each workspace's requests at one router, for operators.

use {
    super::UsageStanding,
    crate::{
        placement::Bound,
        WorkspaceId, //
    },
    std::{
        cmp::Reverse,
        collections::HashMap, //
    },
};

/// Tokens of a workspace by the outcome of their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Outcomes {
    /// Started.
    pub started: u64,
    /// Rejected for lack of slots, though the request was within its workspace's max-min share.
    pub slots: u64,
    /// The same, because the best engines fail requests.
    pub failures: u64,
    /// The same, for any other reason such as the time to read prompts.
    pub time: u64,
    /// Rejected beyond the max-min share.
    pub beyond: u64,
}

impl Outcomes {
    /// Returns the rejected tokens.
    pub fn rejected(&self) -> u64 {
        self.slots + self.failures + self.time + self.beyond
    }
}

/// Counts outcomes until they are collected.
///
/// # Examples
///
/// ```
/// use policy::{placement::Bound, quota::{UsageStanding, Tally}};
///
/// let mut tally = Tally::default();
/// let workspace = "w1".parse()?;
/// tally.record_started(&workspace, 100);
/// tally.record_rejected(&workspace, 900, UsageStanding::default(), Bound::Slots);
/// let (_, outcomes) = &tally.take(8)[0];
/// assert_eq!((outcomes.started, outcomes.slots), (100, 900));
/// assert!(tally.take(8).is_empty());
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Default)]
pub struct Tally {
    counts: HashMap<WorkspaceId, Outcomes>,
}

impl Tally {
    /// Counts a request that starts.
    pub fn record_started(&mut self, workspace: &WorkspaceId, tokens: u64) {
        self.of(workspace).started += tokens;
    }

    /// Counts a rejected request, by the limit because of which its best engine doesn't take it.
    pub fn record_rejected(
        &mut self,
        workspace: &WorkspaceId,
        tokens: u64,
        usage: UsageStanding,
        bound: Bound,
    ) {
        let counts = self.of(workspace);
        let count = match (usage.max_min_ratio > 1.0, bound) {
            (true, _) => &mut counts.beyond,
            (false, Bound::Slots) => &mut counts.slots,
            (false, Bound::Failures) => &mut counts.failures,
            (false, _) => &mut counts.time,
        };
        *count += tokens;
    }

    /// Returns the workspaces with most rejected tokens, up to `most` of them, and resets the
    /// counts.
    pub fn take(&mut self, most: usize) -> Vec<(WorkspaceId, Outcomes)> {
        let rejected = self.counts.drain().filter(|(_, o)| o.rejected() > 0);
        let mut all: Vec<_> = rejected.collect();
        all.sort_by(|(a, x), (b, y)| {
            let key = |o: &Outcomes| Reverse(o.rejected());
            key(x).cmp(&key(y)).then_with(|| a.cmp(b))
        });
        all.truncate(most);
        all
    }

    fn of(&mut self, workspace: &WorkspaceId) -> &mut Outcomes {
        self.counts.entry(workspace.clone()).or_default()
    }
}
