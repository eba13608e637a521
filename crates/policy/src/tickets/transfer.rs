//! How tickets change hands between routers.

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
    /// Takes the reply to a [`TransferRequest`] and returns what it means for the request.
    ///
    /// A reply may come late, twice or never. [`Claim::AskHolder`] names whom to ask next.
    pub fn apply_reply(&mut self, t: &Ticket, reply: TransferReply, now: Time) -> Claim {
        match reply {
            TransferReply::Transferred { to, hop } if to == self.me => {
                self.adopt(t, hop, now);
                self.claim(t, now)
            }
            // The reply is for an earlier start of this router, which may have used it.
            TransferReply::Transferred { .. } => Claim::Unknown,
            TransferReply::Moved { to, .. } if to.router == self.me.router && to != self.me => {
                Claim::Unknown
            }
            TransferReply::Moved { to, hop } if to == self.me => {
                self.adopt(t, hop, now);
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

    /// Answers another router's [`TransferRequest`]: gives the ticket away if it is unused.
    ///
    /// The same asker gets the same reply however often its question arrives.
    pub fn answer_transfer(&mut self, request: &TransferRequest, now: Time) -> TransferReply {
        let now = self.clock(now);
        let t = &request.ticket;
        if request.holder != self.me || request.requester == self.me {
            return TransferReply::Unknown;
        }
        // Whoever names this start as the holder has it from the router that gave the
        // ticket here, though the reply that said so may have been lost on its way.
        self.adopt(t, request.hop, now);
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

    /// Notes that the ticket came here by its `hop`th change of hands.
    fn adopt(&mut self, t: &Ticket, hop: u32, now: Time) {
        // A doubled reply arrives when the ticket was passed on, or used and forgotten. It
        // would make two holders, shown by two starts. Each change of hands has a higher
        // number, and what is forgotten is below the floor.
        if hop == 0 {
            return;
        }
        let now = self.clock(now);
        let expires = now + self.limits.ticket_ttl;
        match self.entries.get_mut(t) {
            None if t.issuer() == self.me || self.floors.below(t) => {}
            None => self.insert(t, hop, expires),
            Some(e) if hop > e.hop && matches!(e.state, State::Moved(_)) => {
                e.state = State::Held;
                e.hop = hop;
                e.until = e.until.max(expires + self.limits.outcome_ttl);
            }
            Some(_) => {}
        }
    }
}
