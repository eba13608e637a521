//! What a decision asks the process to do.

use crate::{
    JobId,
    Message,
    Refusal,
    ReplicaId,
    RouterId,
    Span, //
};

/// Something to be done now.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to this replica.
    Start {
        /// The request.
        job: JobId,
        /// Where it runs.
        replica: ReplicaId,
    },
    /// Refuse the request; it has not run.
    Reject {
        /// The request.
        job: JobId,
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Span,
    },
    /// Pass a message to another router.
    Send {
        /// The router.
        to: RouterId,
        /// The message.
        msg: Message,
    },
}
