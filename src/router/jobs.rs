//! Requests that wait for a decision of the dispatch.

use {
    async_std::channel::{
        bounded,
        Receiver,
        Sender, //
    },
    policy::{
        JobId,
        Refusal,
        ReplicaId,
        Span, //
    },
    slotmap::SecondaryMap,
};

/// A decision of the dispatch about a request.
#[derive(Debug)]
pub(crate) enum JobDecision {
    /// It may run on this replica now.
    Start(ReplicaId),
    /// It is rejected and did not run.
    Reject { reason: Refusal, retry_after: Span },
}

/// The tasks that wait for decisions, by request.
#[derive(Debug, Default)]
pub(crate) struct PendingJobs {
    waiting: SecondaryMap<JobId, Sender<JobDecision>>,
}

impl PendingJobs {
    /// Registers a request; its decisions arrive on the returned channel.
    pub(crate) fn add(&mut self, job: JobId) -> Receiver<JobDecision> {
        let (tx, rx) = bounded(1);
        self.waiting.insert(job, tx);
        rx
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        self.waiting.remove(job);
    }

    /// Returns whether no task waits.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Sends a decision to its task; returns whether one waits for it.
    pub(crate) fn send_decision(&self, job: JobId, decision: JobDecision) -> bool {
        self.waiting
            .get(job)
            .is_some_and(|tx| tx.try_send(decision).is_ok())
    }
}
