//! Actions that the dispatcher asks the process to take.

use crate::{
    JobId,
    Message,
    Refusal,
    ReplicaId,
    RouterId,
    Span, //
};

/// An action to take now.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to this replica.
    Start {
        /// The request.
        job: JobId,
        /// The replica that runs it.
        replica: ReplicaId,
    },
    /// Reject the request, which has not run.
    Reject {
        /// The request.
        job: JobId,
        /// The reason.
        reason: Refusal,
        /// When the caller may retry.
        retry_after: Span,
    },
    /// Send a message to another router.
    Send {
        /// The router.
        to: RouterId,
        /// The message.
        msg: Message,
    },
}
