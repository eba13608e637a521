//! Results of a claim, and the messages that transfer a ticket between routers.

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

/// The result of claiming a ticket: what the router may do for the request.
#[derive(Debug, PartialEq, Eq)]
pub enum Claim {
    /// It may start the request, and must end the grant with `finish` or `release`.
    Granted(Grant),
    /// The request is running or about to start; its outcome will be available later.
    Running,
    /// The request has ended; its recorded outcome is returned again.
    Done(Record),
    /// Another router holds the ticket and must be asked. If it cannot be reached, the request
    /// may have run.
    AskHolder(TransferRequest),
    /// The request never ran and never will: "not run" is true.
    Expired,
    /// No router has a record of the ticket: the request may have run.
    Unknown,
}

/// The right to start the request of a ticket now. It cannot be cloned.
#[derive(Debug, PartialEq, Eq)]
pub struct Grant {
    pub(super) ticket: Ticket,
    pub(super) attempt: u32,
}

impl Grant {
    /// Returns the granted ticket.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

/// How a request ended, with its answer if that is still kept.
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

/// A request from one router to another to transfer a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The ticket.
    pub ticket: Ticket,
    /// The router that asks for the ticket.
    #[serde(rename = "by")]
    pub requester: Holder,
    /// The router that is asked: the issuer, or the one to which the ticket was transferred.
    #[serde(rename = "of")]
    pub holder: Holder,
    /// Number of transfers up to `holder`.
    pub hop: u32,
}

/// The reply to a [`TransferRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferReply {
    /// The ticket is now held by the requester, and by no other router.
    #[serde(rename = "Yours")]
    Transferred {
        /// The requester that holds it now.
        to: Holder,
        /// Number of transfers, including this one.
        hop: u32,
    },
    /// The ticket was transferred to another router before.
    Moved {
        /// The router that got it.
        to: Holder,
        /// Number of transfers, including that one.
        hop: u32,
    },
    /// The request is running or about to start.
    Running,
    /// The request has ended.
    Done(Record),
    /// The request never ran and never will.
    Expired,
    /// The router that was asked has no record of the ticket.
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
