//! A request as the dispatcher sees it.

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
    /// Identifies a request from its acceptance to its end.
    pub struct JobId;
}

/// Properties of a request at its arrival.
#[derive(Debug, Clone)]
pub struct Job {
    /// The requested service.
    pub service: ServiceId,
    /// The workspace to charge.
    pub workspace: WorkspaceId,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer must be complete.
    pub deadline: Time,
    /// Urgency of its profile, from 0 to 9.
    pub urgency: u8,
    /// Estimated cost.
    pub hint: Units,
    /// Share of its profile, which divides the charge.
    pub share: Share,
    /// Estimated run time; zero if unknown.
    pub expected_run: Span,
    /// Hash of the prompt's prefix, for replicas that cache it.
    pub prefix: Option<u64>,
}

/// How a started request ended at its replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct Completion {
    /// Total service received.
    pub units: Units,
    /// Time from its start to the first byte of the answer.
    pub first_byte: Option<Span>,
    /// Mean time between two tokens, unless recorded while they arrived.
    pub token_gap: Option<Span>,
    /// Whether the replica showed no sign of overload or failure.
    pub ok: bool,
    /// Whether nothing was served, so that the charge is refunded.
    pub refund: bool,
}
