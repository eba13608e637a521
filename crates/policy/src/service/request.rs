//! A request between its arrival and its end.

use crate::{
    shares::Key,
    Job,
    ReplicaId,
    Time, //
};

/// A request that is queued or runs.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) job: Job,
    pub(crate) key: Key,
    /// Its place in the queue: by this moment, then by number.
    pub(crate) due: Time,
    pub(crate) number: u64,
    /// Replica that a retry should not go to.
    pub(crate) avoid: Option<ReplicaId>,
    /// Set once it has started.
    pub(crate) run: Option<Run>,
}

impl Live {
    /// Makes a request that is in no queue.
    pub(crate) fn unqueued(job: Job) -> Live {
        Live {
            key: Key::of(&job.workspace),
            due: due(&job),
            number: 0,
            avoid: None,
            run: None,
            job,
        }
    }
}

/// A started request.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) replica: ReplicaId,
    pub(crate) started: Time,
    /// What was charged for it, in thousandths of a unit.
    pub(crate) charged: i64,
}

/// Most urgent level.
const URGENCY_MAX: u64 = 9;

/// Returns the moment that a request is ordered by inside its workspace.
///
/// It is the deadline, brought forward by a tenth of the window for each level of
/// urgency. So the order is by deadline among equals, urgent work goes first, and
/// nothing waits forever, as even the least urgent grows old.
pub(crate) fn due(job: &Job) -> Time {
    let window = job.deadline.since(job.arrived).0;
    let urgency = u64::from(job.urgency).min(URGENCY_MAX);
    Time(job.arrived.0 + window / (URGENCY_MAX + 1) * (URGENCY_MAX + 1 - urgency))
}
