//! Requests that wait for a decision.

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

/// What was decided about a request.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It may run on this replica now.
    Start(ReplicaId),
    /// It is refused; it did not run.
    Refuse {
        /// Why.
        why: Refusal,
        /// When to come back.
        after: Span,
    },
}

/// Who waits for a decision about which request.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    waiting: SecondaryMap<JobId, Sender<Verdict>>,
}

impl Jobs {
    /// Registers a request; its verdicts come over the channel.
    pub(crate) fn add(&mut self, job: JobId) -> Receiver<Verdict> {
        let (tx, rx) = bounded(1);
        self.waiting.insert(job, tx);
        rx
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        self.waiting.remove(job);
    }

    /// Tells whether nobody waits.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Passes on a verdict; returns whether somebody waits for it.
    pub(crate) fn tell(&self, job: JobId, verdict: Verdict) -> bool {
        self.waiting
            .get(job)
            .is_some_and(|tx| tx.try_send(verdict).is_ok())
    }
}
