//! Admission control: which requests are rejected, and when their callers may retry.

use {
    super::{
        state::{
            ActiveRequests,
            Rejection, //
        },
        ActiveRequest,
        ServiceState, //
    },
    crate::{
        Job,
        JobId,
        Refusal,
        Span,
        Time, //
    },
};

/// Minimum and maximum retry delay sent to a rejected caller.
const RETRY_AFTER_RANGE: (Span, Span) = (Span::millis(50), Span::secs(60));
/// Retry delay if the drain rate of the queue is unknown.
const RETRY_AFTER_DEFAULT: Span = Span::secs(1);

impl ServiceState {
    /// Returns why a request can't be accepted, and the retry delay.
    pub(super) fn rejection(
        &mut self,
        request: &ActiveRequest,
        id: JobId,
        now: Time,
    ) -> Option<(Refusal, Span)> {
        if !self.replica_slots.any_available() {
            return Some((Refusal::NoEndpoint, RETRY_AFTER_DEFAULT));
        }
        let left = request.job.deadline.since(now);
        let expect = self.run_estimate(&request.job);
        let Some(queue) = self.queues.get_mut(&request.key) else {
            return (left <= expect).then_some((Refusal::Late, RETRY_AFTER_DEFAULT));
        };
        queue.update_drain(now);
        let most = self
            .ledger
            .queue_limit(request.key)
            .unwrap_or(self.rules.queue);
        if queue.len() >= most {
            let delay = queue.drain.time_to_drain(queue.len().div_ceil(2));
            return Some((Refusal::QueueFull, clamp(delay)));
        }
        let ahead = queue.ahead_of(&(request.due, request.number, id));
        let wait = match ahead {
            0 => Span::ZERO,
            n => queue.drain.time_to_drain(n).unwrap_or(Span::ZERO),
        };
        let need = wait + expect;
        if need < left {
            return None;
        }
        Some((Refusal::Late, clamp(Some(Span(need.0 - left.0)))))
    }

    /// Returns the estimated run time of a request.
    fn run_estimate(&self, job: &Job) -> Span {
        job.expected_run
    }

    /// Returns the queued requests that can no longer be answered in time.
    pub(crate) fn overdue(&mut self, requests: &ActiveRequests, now: Time) -> Vec<Rejection> {
        let mut out = Vec::new();
        for queue in self.queues.values_mut() {
            queue.update_drain(now);
            if now < queue.next_too_late {
                continue;
            }
            let delay = clamp(queue.drain.time_to_drain(queue.len()));
            queue.next_too_late = Time(u64::MAX);
            for (_, _, id) in &queue.positions {
                let job = &requests[*id].job;
                if job.deadline <= now {
                    out.push((*id, Refusal::Expired, delay));
                } else if latest_start(job) <= now {
                    out.push((*id, Refusal::Late, delay));
                } else {
                    queue.next_too_late = queue.next_too_late.min(latest_start(job));
                }
            }
        }
        out
    }
}

/// Returns the latest time at which a request may start.
pub(super) fn latest_start(job: &Job) -> Time {
    job.deadline - job.expected_run
}

fn clamp(delay: Option<Span>) -> Span {
    delay
        .unwrap_or(RETRY_AFTER_DEFAULT)
        .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}
