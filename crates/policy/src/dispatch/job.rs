//! One request on its way through a router.

use {
    crate::{
        ServiceId,
        Share,
        Span,
        Time,
        Units,
        WorkspaceId, //
    },
    slotmap::new_key_type,
};

new_key_type! {
    /// A request that this router has accepted and not yet ended.
    pub struct JobId;
}

/// What is known of a request when it arrives.
#[derive(Debug, Clone)]
pub struct Job {
    /// The service asked for.
    pub service: ServiceId,
    /// The workspace that it is charged to.
    pub workspace: WorkspaceId,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer must be complete.
    pub deadline: Time,
    /// How urgent its profile is, from 0 to 9.
    pub urgency: u8,
    /// Rough cost, known beforehand.
    pub hint: Units,
    /// Share of its profile, which divides the charge.
    pub share: Share,
    /// Rough time that it runs; zero where nothing is known.
    pub expected_run: Span,
    /// Hash of its prompt's prefix, for replicas that cache it.
    pub prefix: Option<u64>,
}

/// How a started request ended at its replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct Completion {
    /// All the service it received.
    pub units: Units,
    /// Time from its start to the first byte of the answer.
    pub first_byte: Option<Span>,
    /// Mean time between two tokens, unless they were told as they came.
    pub token_gap: Option<Span>,
    /// Whether the replica showed no sign of overload or failure.
    pub ok: bool,
    /// Whether nothing was served, so that its charge is taken back.
    pub refund: bool,
}
