//! Whether a caller has the start of its answer.

/// Whether the caller of a request that needs a replica or a retry has the start of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// It has nothing. If all replicas are full the request is rejected, and its caller can retry.
    NotStarted,
    /// It has the start, which a rejection would waste.
    Started,
}
