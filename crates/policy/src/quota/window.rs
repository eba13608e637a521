//! Requested and served tokens of workspaces at this router.

use {
    super::{
        UsageCounts,
        WorkspaceKey, //
    },
    crate::{
        Span,
        Time, //
    },
    std::collections::{
        HashMap,
        VecDeque, //
    },
};

/// Length of one step of the window.
const STEP_LENGTH: Span = Span::millis(250);
/// Span of the recent demand, by which several floods share the capacity. A new flood is admitted
/// in full until its demand shows, which takes this long.
pub(super) const RECENT_SPAN: Span = Span::secs(1);

/// Counts of workspaces over a sliding window.
#[derive(Debug)]
pub(super) struct Window {
    length: Span,
    steps: HashMap<WorkspaceKey, VecDeque<Step>>,
}

/// One step of the window.
#[derive(Debug, Clone, Copy)]
struct Step {
    at: Time,
    counts: UsageCounts,
    /// Number of requests.
    requests: u32,
    /// Tokens of requests that this router rejected before it counted them as requested.
    rejected: f32,
}

/// Demand of a workspace in the last second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentDemand {
    pub(super) tokens: f64,
    pub(super) requests: f64,
}

impl Window {
    pub(super) fn new(length: Span) -> Window {
        Window {
            length,
            steps: HashMap::new(),
        }
    }

    pub(super) fn length(&self) -> Span {
        self.length
    }

    /// Counts a request and the tokens that it requests.
    pub(super) fn record_requested(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        let step = self.step(workspace, now);
        step.counts.requested += tokens as f32;
        step.requests += 1;
    }

    /// Counts the tokens of a request that is rejected before it counts as requested.
    pub(super) fn record_rejected(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.step(workspace, now).rejected += tokens as f32;
    }

    /// Returns these tokens of a workspace over the window.
    pub(super) fn rejected(&self, workspace: WorkspaceKey, now: Time) -> f64 {
        let steps = self.since(workspace, self.length, now);
        steps.map(|step| f64::from(step.rejected)).sum()
    }

    /// Counts tokens that are served.
    pub(super) fn record_served(&mut self, workspace: WorkspaceKey, tokens: f64, now: Time) {
        self.step(workspace, now).counts.served += tokens as f32;
    }

    fn step(&mut self, workspace: WorkspaceKey, now: Time) -> &mut Step {
        let length = self.length;
        let steps = self.steps.entry(workspace).or_default();
        while steps.front().is_some_and(|s| now.since(s.at) >= length) {
            steps.pop_front();
        }
        if steps.back().is_none_or(|s| now.since(s.at) >= STEP_LENGTH) {
            steps.push_back(Step {
                at: now,
                counts: UsageCounts::default(),
                requests: 0,
                rejected: 0.0,
            });
        }
        let last = steps.len() - 1;
        &mut steps[last]
    }

    /// Returns the workspaces with counts.
    pub(super) fn workspaces(&self) -> impl Iterator<Item = &WorkspaceKey> {
        self.steps.keys()
    }

    /// Returns a workspace's counts over the window.
    pub(super) fn sum(&self, workspace: WorkspaceKey, now: Time) -> UsageCounts {
        let mut sum = UsageCounts::default();
        for step in self.since(workspace, self.length, now) {
            sum.add(step.counts);
        }
        sum.recent = self.recent(workspace, now).tokens as f32;
        sum
    }

    /// Returns the demand of a workspace in the last second.
    pub(super) fn recent(&self, workspace: WorkspaceKey, now: Time) -> RecentDemand {
        let steps = self.since(workspace, RECENT_SPAN, now);
        steps.fold(RecentDemand::default(), |sum, step| RecentDemand {
            tokens: sum.tokens + f64::from(step.counts.requested),
            requests: sum.requests + f64::from(step.requests),
        })
    }

    fn since(&self, workspace: WorkspaceKey, span: Span, now: Time) -> impl Iterator<Item = &Step> {
        let steps = self.steps.get(&workspace).into_iter().flatten();
        steps.filter(move |s| now.since(s.at) < span)
    }

    /// Drops workspaces without counts in the window.
    pub(super) fn forget(&mut self, now: Time) {
        let length = self.length;
        let recent = |s: &Step| now.since(s.at) < length;
        self.steps
            .retain(|_, steps| steps.back().is_some_and(recent));
    }
}
