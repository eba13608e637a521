//! A request from its arrival to its end.

use crate::{
    shares::Key,
    Job,
    ReplicaId,
    Time, //
};

/// A queued or running request.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) job: Job,
    pub(crate) key: Key,
    /// Its position in the queue: ordered by due time, then by number.
    pub(crate) due: Time,
    pub(crate) number: u64,
    /// The replica that a retry avoids.
    pub(crate) avoid: Option<ReplicaId>,
    /// Set once it has started.
    pub(crate) run: Option<Run>,
}

impl ActiveRequest {
    /// Creates a request that is in no queue.
    pub(crate) fn new(job: Job) -> ActiveRequest {
        ActiveRequest {
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
    /// Its charge so far, in thousandths of a unit.
    pub(crate) charged: i64,
}

/// The highest urgency.
const URGENCY_MAX: u64 = 9;

/// Returns the due time that orders requests within their workspace.
///
/// It is the deadline, moved forward by a tenth of the time from arrival to deadline for each
/// level of urgency. Equally urgent requests run in order of their deadlines, urgent ones run
/// first, and none starves, as even the least urgent request becomes due.
pub(crate) fn due(job: &Job) -> Time {
    let window = job.deadline.since(job.arrived).0;
    let urgency = u64::from(job.urgency).min(URGENCY_MAX);
    Time(job.arrived.0 + window / (URGENCY_MAX + 1) * (URGENCY_MAX + 1 - urgency))
}
