//! Rejection of requests that reach no replica.

use crate::{
    service::ActiveRequest,
    Action,
    Dispatch,
    Job,
    JobId,
    Refusal,
    ServiceId,
    Span,
    Time, //
};

/// When a caller may retry if this router is shutting down or doesn't know the service.
pub(super) const CLOSED_RETRY_AFTER: Span = Span::secs(1);

impl Dispatch {
    /// Rejects a queued request.
    pub(super) fn reject(&mut self, id: JobId, reason: Refusal, retry_after: Span, now: Time) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&request.job.service) {
            state.dequeue(id, &request, now);
        }
        self.actions.push(Action::Reject {
            job: id,
            reason,
            retry_after,
        });
    }

    /// Rejects all queued requests of a service.
    pub(super) fn reject_queued(&mut self, service: &ServiceId, reason: Refusal, now: Time) {
        let queued: Vec<JobId> = self
            .requests
            .iter()
            .filter(|(_, l)| &l.job.service == service && l.run.is_none())
            .map(|(id, _)| id)
            .collect();
        for id in queued {
            self.reject(id, reason, CLOSED_RETRY_AFTER, now);
        }
    }

    /// Returns the reason why no queue accepts a request.
    pub(super) fn closed_reason(&self) -> Refusal {
        match self.leaving {
            true => Refusal::Leaving,
            false => Refusal::NoEndpoint,
        }
    }

    /// Rejects a request that was not queued.
    pub(super) fn reject_new(&mut self, job: Job, reason: Refusal) -> JobId {
        let request = ActiveRequest::new(job);
        let id = self.requests.insert(request);
        self.requests.remove(id);
        self.actions.push(Action::Reject {
            job: id,
            reason,
            retry_after: CLOSED_RETRY_AFTER,
        });
        id
    }
}
