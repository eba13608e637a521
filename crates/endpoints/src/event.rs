//! Events that a call yields while it runs.

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

/// An event of a call. In order: at most one head, any data, one end.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The head of the answer, after its id was checked.
    Head {
        /// The status.
        status: u16,
        /// The headers, without those that frame the message.
        headers: Vec<Header>,
        /// The length of the body, if the head states it.
        length: Option<u64>,
    },
    /// A part of the body; for a stream, complete server-sent events only.
    Data {
        /// The bytes.
        bytes: Vec<u8>,
        /// How many tokens they carry.
        tokens: u32,
    },
    /// The end, always the last event.
    End(End),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub struct End {
    /// The outcome; claims no more than is known.
    pub outcome: Outcome,
    /// Tokens forwarded.
    pub tokens: u32,
    /// Time from the request to the first token.
    pub first_token: Option<Span>,
    /// Mean time between tokens.
    pub token_gap: Option<Span>,
    /// The error, if there was one.
    pub cause: Option<CallError>,
    /// Whether the endpoint reported that it is leaving.
    pub leaving: bool,
    /// How often the stream was resumed.
    pub resumed: u32,
}
