//! Requests that are refused without a replica.

use crate::{
    service::Live,
    Action,
    Dispatch,
    Job,
    JobId,
    Refusal,
    ServiceId,
    Span,
    Time, //
};

/// When a caller of a router that is leaving, or of an unknown service, may come back.
pub(super) const AFTER_NONE: Span = Span::secs(1);

impl Dispatch {
    /// Refuses a queued request.
    pub(super) fn refuse(&mut self, id: JobId, reason: Refusal, retry_after: Span, now: Time) {
        let Some(live) = self.lives.remove(id) else {
            return;
        };
        if let Some(entry) = self.services.get_mut(&live.job.service) {
            entry.unqueue(id, &live, now);
        }
        self.actions.push(Action::Reject {
            job: id,
            reason,
            retry_after,
        });
    }

    /// Refuses all that is queued at a service.
    pub(super) fn refuse_queued(&mut self, service: &ServiceId, reason: Refusal, now: Time) {
        let queued: Vec<JobId> = self
            .lives
            .iter()
            .filter(|(_, l)| &l.job.service == service && l.run.is_none())
            .map(|(id, _)| id)
            .collect();
        for id in queued {
            self.refuse(id, reason, AFTER_NONE, now);
        }
    }

    /// Returns why no queue takes a request.
    pub(super) fn closed(&self) -> Refusal {
        match self.leaving {
            true => Refusal::Leaving,
            false => Refusal::NoEndpoint,
        }
    }

    /// Refuses a request that no queue takes.
    pub(super) fn turn_away(&mut self, job: Job, reason: Refusal) -> JobId {
        let live = Live::unqueued(job);
        let id = self.lives.insert(live);
        self.lives.remove(id);
        self.actions.push(Action::Reject {
            job: id,
            reason,
            retry_after: AFTER_NONE,
        });
        id
    }
}
