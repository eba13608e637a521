//! What a claim comes to, and what routers ask each other about a ticket.

use {
    super::{
        Holder,
        Ticket, //
    },
    crate::Outcome,
    serde::{
        de::{
            Deserializer,
            Error,
            SeqAccess,
            Visitor, //
        },
        Deserialize,
        Serialize,
        Serializer, //
    },
    std::{
        fmt,
        sync::Arc, //
    },
};

/// What a router may do for a request that carries a ticket.
#[derive(Debug, PartialEq, Eq)]
pub enum Claim {
    /// It may start the request, and must end the grant by `finish` or `release`.
    Granted(Grant),
    /// The request runs, or is about to; its outcome can be had later.
    Running,
    /// The request has ended; the same outcome is given again.
    Done(Record),
    /// Another router holds the ticket: ask it. If it can't be asked, the request may
    /// have run.
    AskHolder(TransferRequest),
    /// The request never ran and never will: "not run" is true.
    Expired,
    /// Nobody remembers: the request may have run.
    Unknown,
}

/// The right to start the request of a ticket now. It can't be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    pub(super) ticket: Ticket,
    pub(super) attempt: u32,
}

impl Grant {
    /// Returns the ticket it was granted for.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// How a request ended, with its answer where that is still kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The outcome.
    pub outcome: Outcome,
    /// The recorded answer.
    pub answer: Option<Answer>,
}

/// The bytes of a recorded answer, cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer(pub Arc<[u8]>);

/// A question of one router to another: may I start the request of this ticket?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The ticket.
    pub ticket: Ticket,
    /// Who asks.
    #[serde(rename = "by")]
    pub requester: Holder,
    /// Who is asked: the issuer, or whom the ticket went to.
    #[serde(rename = "of")]
    pub holder: Holder,
    /// How often the ticket had changed hands when it came to `of`.
    pub hop: u32,
}

/// The answer to a [`TransferRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferReply {
    /// The ticket is now held by the asker, and by nobody else.
    #[serde(rename = "Yours")]
    Transferred {
        /// The asker it was given to.
        to: Holder,
        /// How often it has changed hands.
        hop: u32,
    },
    /// It went to another router before.
    Moved {
        /// Who got it.
        to: Holder,
        /// How often it had changed hands then.
        hop: u32,
    },
    /// The request runs, or is about to.
    Running,
    /// The request has ended.
    Done(Record),
    /// It never ran and never will.
    Expired,
    /// The router asked does not remember.
    #[serde(rename = "Gone")]
    Unknown,
}

impl Serialize for Answer {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Answer {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Answer, D::Error> {
        d.deserialize_byte_buf(Bytes)
    }
}

struct Bytes;

impl<'de> Visitor<'de> for Bytes {
    type Value = Answer;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, b: &[u8]) -> Result<Answer, E> {
        Ok(Answer(Arc::from(b)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Answer, A::Error> {
        let mut all = Vec::new();
        while let Some(b) = seq.next_element()? {
            all.push(b);
        }
        Ok(Answer(Arc::from(all)))
    }
}
