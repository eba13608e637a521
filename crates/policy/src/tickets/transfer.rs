//! Transfer of tickets between routers.

use {
    super::{
        entry::State,
        Claim,
        Ticket,
        Tickets,
        TransferReply,
        TransferRequest, //
    },
    crate::Time, //
};

impl Tickets {
    /// Applies the reply to a [`TransferRequest`] and returns the resulting claim.
    ///
    /// A reply may be delayed, duplicated or lost. [`Claim::AskHolder`] names the router to ask
    /// next.
    pub fn apply_reply(&mut self, t: &Ticket, reply: TransferReply, now: Time) -> Claim {
        match reply {
            TransferReply::Transferred { to, hop } if to == self.me => {
                self.accept_transfer(t, hop, now);
                self.claim(t, now)
            }
            // The reply is for an earlier incarnation of this router, which may have used it.
            TransferReply::Transferred { .. } => Claim::Unknown,
            TransferReply::Moved { to, .. } if to.router == self.me.router && to != self.me => {
                Claim::Unknown
            }
            TransferReply::Moved { to, hop } if to == self.me => {
                self.accept_transfer(t, hop, now);
                self.claim(t, now)
            }
            TransferReply::Moved { to, hop } => Claim::AskHolder(TransferRequest {
                ticket: t.clone(),
                requester: self.me.clone(),
                holder: to,
                hop,
            }),
            TransferReply::Running => Claim::Running,
            TransferReply::Done(record) => Claim::Done(record),
            TransferReply::Expired => Claim::Expired,
            TransferReply::Unknown => Claim::Unknown,
        }
    }

    /// Answers another router's [`TransferRequest`]: transfers the ticket if it is unused.
    ///
    /// The same requester gets the same reply however often its request arrives.
    pub fn answer_transfer(&mut self, request: &TransferRequest, now: Time) -> TransferReply {
        let now = self.advance_clock(now);
        let t = &request.ticket;
        if request.holder != self.me || request.requester == self.me {
            return TransferReply::Unknown;
        }
        // A requester that names this incarnation as the holder learned that from the router
        // that transferred the ticket here, even if the reply to this router was lost.
        self.accept_transfer(t, request.hop, now);
        let Some(e) = self.entry(t) else {
            return TransferReply::Unknown;
        };
        match &e.state {
            State::Held if now >= e.expires => TransferReply::Expired,
            State::Held => {
                e.state = State::Moved(request.requester.clone());
                e.hop += 1;
                TransferReply::Transferred {
                    to: request.requester.clone(),
                    hop: e.hop,
                }
            }
            State::Running => TransferReply::Running,
            State::Done(record) => TransferReply::Done(record.clone()),
            State::Moved(to) if *to == request.requester => TransferReply::Transferred {
                to: to.clone(),
                hop: e.hop,
            },
            State::Moved(to) => TransferReply::Moved {
                to: to.clone(),
                hop: e.hop,
            },
        }
    }

    /// Records that the ticket came here by its `hop`th transfer.
    fn accept_transfer(&mut self, t: &Ticket, hop: u32, now: Time) {
        // A duplicate reply may arrive after the ticket was transferred on, or was used and its
        // entry removed. Accepting it would make two holders, and the request would run twice.
        // Each transfer therefore has a higher number, and removed entries are below the floor.
        if hop == 0 {
            return;
        }
        let now = self.advance_clock(now);
        let expires = now + self.limits.ticket_ttl;
        match self.entries.get_mut(t) {
            None if t.issuer() == self.me || self.floors.is_below(t) => {}
            None => self.insert(t, hop, expires),
            Some(e) if hop > e.hop && matches!(e.state, State::Moved(_)) => {
                e.state = State::Held;
                e.hop = hop;
                e.keep_until = e.keep_until.max(expires + self.limits.outcome_ttl);
            }
            Some(_) => {}
        }
    }
}
