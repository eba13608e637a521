//! Faults that a stand-in plays on request.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::VecDeque,
        sync::{
            Arc,
            Mutex, //
        },
    },
};

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// The connection is reset before a byte of the request is read; it never runs.
    ResetUnread,
    /// The request runs, then the connection is reset before the first byte of the answer.
    ResetUnanswered,
    /// The request runs, and the connection is reset after the head of the answer.
    ResetAfterHead,
    /// The answer is cut after some tokens of a stream, or some bytes of a plain answer.
    Cut {
        /// How much is sent before the cut.
        after: u32,
    },
    /// The request runs, and nothing is ever answered; the connection stays open.
    Silent,
    /// Nothing comes after some tokens or bytes; the connection stays open.
    SilentAfter {
        /// How much is sent before the silence.
        after: u32,
    },
    /// The request is read and never runs, and nothing is answered.
    Ignored,
    /// The whole answer belongs to a request of another id.
    WrongId,
    /// The head carries no id at all.
    NoId,
    /// The answer comes late.
    Delay {
        /// How late it comes.
        ms: u64,
    },
    /// The whole answer of the request and one for another id, in one piece.
    Twice,
    /// The whole answer of the request, and some time later one for another id.
    Stray {
        /// How much later it comes.
        ms: u64,
    },
    /// A resumed stream begins this many tokens too early.
    Overlap {
        /// How many tokens come twice.
        by: u32,
    },
    /// A resumed stream leaves this many tokens out.
    Skip {
        /// How many tokens are missing.
        by: u32,
    },
    /// The request is not taken, and the answer says so.
    Refuse,
    /// The request runs and ends in a status of 500.
    Fail,
}

/// An order to play a fault, the body of `POST /admin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// What goes wrong.
    pub fault: Fault,
    /// With how many requests, from the next one on.
    #[serde(default = "one")]
    pub count: u32,
}

fn one() -> u32 {
    1
}

/// The faults still to be played, in order.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Mutex<VecDeque<Option<Fault>>>>);

impl Faults {
    /// Plays a fault with the next `count` requests that have none yet.
    pub fn order(&self, fault: Fault, count: u32) {
        let mut queue = self.0.lock().unwrap();
        queue.extend((0..count).map(|_| Some(fault)));
    }

    /// Lets the next request that has no fault yet pass without one.
    pub fn pass(&self) {
        self.0.lock().unwrap().push_back(None);
    }

    /// Forgets the faults that were not played.
    pub fn clear(&self) {
        self.0.lock().unwrap().clear();
    }

    /// Takes the fault of the next request.
    pub(crate) fn next(&self) -> Option<Fault> {
        self.0.lock().unwrap().pop_front().flatten()
    }
}
