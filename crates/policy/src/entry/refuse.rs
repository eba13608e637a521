//! Which requests are refused, and when their callers should come back.

use {
    super::{
        core::{
            Lives,
            Refused, //
        },
        Entry,
        Live, //
    },
    crate::{
        Job,
        JobId,
        Refusal,
        Span,
        Time, //
    },
};

/// Shortest and longest time that a refused caller is told to wait.
const AFTER: (Span, Span) = (Span::millis(50), Span::secs(60));
/// Time to come back after when nothing is known of the queue.
const AFTER_UNKNOWN: Span = Span::secs(1);

impl Entry {
    /// Returns why a request cannot be taken, and when to come back.
    pub(super) fn objection(
        &mut self,
        live: &Live,
        id: JobId,
        now: Time,
    ) -> Option<(Refusal, Span)> {
        if !self.seats.any_open() {
            return Some((Refusal::NoEndpoint, AFTER_UNKNOWN));
        }
        let left = live.job.deadline.since(now);
        let expect = self.expect(&live.job);
        let Some(queue) = self.queues.get_mut(&live.key) else {
            return (left <= expect).then_some((Refusal::Late, AFTER_UNKNOWN));
        };
        queue.pass(now);
        let most = self
            .ledger
            .queue_limit(live.key)
            .unwrap_or(self.rules.queue);
        if queue.len() >= most {
            let after = queue.drain.wait(queue.len().div_ceil(2));
            return Some((Refusal::QueueFull, clamp(after)));
        }
        let ahead = queue.before(&(live.due, live.number, id));
        let wait = match ahead {
            0 => Span::ZERO,
            n => queue.drain.wait(n).unwrap_or(Span::ZERO),
        };
        let need = wait + expect;
        if need < left {
            return None;
        }
        Some((Refusal::Late, clamp(Some(Span(need.0 - left.0)))))
    }

    /// Returns how long a request is thought to run.
    fn expect(&self, job: &Job) -> Span {
        job.expected_run
    }

    /// Returns the requests that can no longer be answered in time.
    pub(crate) fn overdue(&mut self, lives: &Lives, now: Time) -> Vec<Refused> {
        let mut out = Vec::new();
        for queue in self.queues.values_mut() {
            queue.pass(now);
            if now < queue.doomed {
                continue;
            }
            let after = clamp(queue.drain.wait(queue.len()));
            queue.doomed = Time(u64::MAX);
            for (_, _, id) in &queue.places {
                let job = &lives[*id].job;
                if job.deadline <= now {
                    out.push((*id, Refusal::Expired, after));
                } else if doomed(job) <= now {
                    out.push((*id, Refusal::Late, after));
                } else {
                    queue.doomed = queue.doomed.min(doomed(job));
                }
            }
        }
        out
    }
}

/// Returns when it is too late to start a request.
pub(super) fn doomed(job: &Job) -> Time {
    job.deadline - job.expected_run
}

fn clamp(after: Option<Span>) -> Span {
    after.unwrap_or(AFTER_UNKNOWN).clamp(AFTER.0, AFTER.1)
}
