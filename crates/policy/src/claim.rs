//! What a request has of its answer.

/// What a request has of its answer when it asks for a replica or a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// Nothing. Where replicas are full it is refused, and its caller can come back.
    NotStarted,
    /// Its caller has the beginning, which a refusal would throw away.
    Started,
}
