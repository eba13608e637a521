//! What a call yields while it runs.

use {
    crate::{
        CallError,
        Header, //
    },
    policy::{
        Outcome,
        Span, //
    },
};

/// What a call yields, in order: at most one head, data, one end.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The head of the answer, once its id was found right.
    Head {
        /// The status.
        status: u16,
        /// The headers, without those that frame the message.
        headers: Vec<Header>,
        /// The length of the body, where it is known beforehand.
        length: Option<u64>,
    },
    /// A part of the body; of a stream only whole server-sent events.
    Data {
        /// The bytes.
        bytes: Vec<u8>,
        /// How many tokens they carry.
        tokens: u32,
    },
    /// The end, always the last.
    End(End),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub struct End {
    /// No more than is known.
    pub outcome: Outcome,
    /// Tokens passed on.
    pub tokens: u32,
    /// Time from the request to the first token.
    pub first_token: Option<Span>,
    /// Mean time between tokens.
    pub token_gap: Option<Span>,
    /// What went wrong, if anything did.
    pub cause: Option<CallError>,
    /// Whether the endpoint said that it is leaving.
    pub leaving: bool,
    /// How often the stream was resumed.
    pub resumed: u32,
}
