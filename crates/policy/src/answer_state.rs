//! Whether a caller has the start of its answer.

/// Whether the caller of a request that needs a replica or a retry has the start of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// It has nothing. If all replicas are full the request is rejected, and its caller can retry.
    NotStarted,
    /// It has the start from an earlier attempt. The request counts as a new one, but a rejection
    /// would waste that start.
    Resumed,
    /// It has the start, which a rejection would waste.
    Started,
}
