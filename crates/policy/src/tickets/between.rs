//! How tickets change hands between routers.

use {
    super::{
        entry::State,
        Ask,
        Claim,
        Reply,
        Ticket,
        Tickets, //
    },
    crate::Time, //
};

impl Tickets {
    /// Takes the reply to an [`Ask`] and returns what it means for the request.
    ///
    /// A reply may come late, twice or never. [`Claim::Ask`] names whom to ask next.
    pub fn answered(&mut self, t: &Ticket, reply: Reply, now: Time) -> Claim {
        match reply {
            Reply::Yours { to, hop } if to == self.me => {
                self.adopt(t, hop, now);
                self.claim(t, now)
            }
            // The reply is for an earlier start of this router, which may have used it.
            Reply::Yours { .. } => Claim::Gone,
            Reply::Moved { to, .. } if to.router == self.me.router && to != self.me => Claim::Gone,
            Reply::Moved { to, hop } if to == self.me => {
                self.adopt(t, hop, now);
                self.claim(t, now)
            }
            Reply::Moved { to, hop } => Claim::Ask(Ask {
                ticket: t.clone(),
                by: self.me.clone(),
                of: to,
                hop,
            }),
            Reply::Running => Claim::Running,
            Reply::Done(record) => Claim::Done(record),
            Reply::Expired => Claim::Expired,
            Reply::Gone => Claim::Gone,
        }
    }

    /// Answers another router's [`Ask`]: gives the ticket away if it is unused.
    ///
    /// The same asker gets the same reply however often its question arrives.
    pub fn asked(&mut self, ask: &Ask, now: Time) -> Reply {
        let now = self.clock(now);
        let t = &ask.ticket;
        if ask.of != self.me || ask.by == self.me {
            return Reply::Gone;
        }
        // Whoever names this start as the holder has it from the router that gave the
        // ticket here, though the reply that said so may have been lost on its way.
        self.adopt(t, ask.hop, now);
        let Some(e) = self.entry(t) else {
            return Reply::Gone;
        };
        match &e.state {
            State::Held if now >= e.expires => Reply::Expired,
            State::Held => {
                e.state = State::Moved(ask.by.clone());
                e.hop += 1;
                Reply::Yours {
                    to: ask.by.clone(),
                    hop: e.hop,
                }
            }
            State::Running => Reply::Running,
            State::Done(record) => Reply::Done(record.clone()),
            State::Moved(to) if *to == ask.by => Reply::Yours {
                to: to.clone(),
                hop: e.hop,
            },
            State::Moved(to) => Reply::Moved {
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
