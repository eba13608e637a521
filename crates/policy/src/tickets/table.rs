//! The tickets that one start of a router knows of.

use {
    super::{
        answers::Answers,
        entry::{
            Entry,
            State, //
        },
        floors::Floors,
        issued::Issued,
        Answer,
        Claim,
        Grant,
        Holder,
        Record,
        Ticket,
        TransferRequest, //
    },
    crate::{
        Outcome,
        Span,
        Time, //
    },
    std::{
        collections::HashMap,
        sync::Arc, //
    },
};

/// How long and how much is remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long a ticket may be used after it was issued, or after it came here.
    pub ticket_ttl: Span,
    /// How long its outcome is kept beyond that.
    pub outcome_ttl: Span,
    /// How many bytes of recorded answers are kept.
    pub answer_bytes: usize,
}

impl Default for RetentionLimits {
    fn default() -> RetentionLimits {
        RetentionLimits {
            ticket_ttl: Span::secs(120),
            outcome_ttl: Span::secs(300),
            answer_bytes: 32 << 20,
        }
    }
}

/// The tickets that one start of a router issued, holds, used or gave away.
///
/// # Examples
///
/// ```
/// use policy::{tickets::{Claim, Holder, RetentionLimits, Tickets}, Incarnation, Outcome, Time};
///
/// let me = Holder { router: "r1".parse().unwrap(), incarnation: Incarnation(1) };
/// let mut tickets = Tickets::new(me, RetentionLimits::default());
/// let t = tickets.issue(1, Time(0)).remove(0);
/// let Claim::Granted(grant) = tickets.claim(&t, Time(1)) else { panic!() };
/// assert_eq!(tickets.claim(&t, Time(2)), Claim::Running);
/// tickets.finish(&grant, Outcome::Answered, None, Time(3));
/// assert!(matches!(tickets.claim(&t, Time(4)), Claim::Done(_)));
/// ```
#[derive(Debug)]
pub struct Tickets {
    pub(super) me: Holder,
    pub(super) limits: RetentionLimits,
    now: Time,
    issued: Issued,
    pub(super) floors: Floors,
    answers: Answers,
    pub(super) entries: HashMap<Ticket, Entry>,
}

/// How many tickets are in which state, for the dump and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Issued by this start so far.
    pub issued: u64,
    /// Held for others' requests, unused.
    pub held: usize,
    /// Running.
    pub running: usize,
    /// Ended, with the outcome remembered.
    pub done: usize,
    /// Given to other routers.
    pub moved: usize,
    /// Bytes of recorded answers.
    pub bytes: usize,
}

impl Tickets {
    /// Makes the table of a router start that has issued nothing.
    pub fn new(me: Holder, limits: RetentionLimits) -> Tickets {
        Tickets {
            me,
            now: Time::default(),
            issued: Issued::default(),
            floors: Floors::default(),
            answers: Answers::new(limits.answer_bytes),
            entries: HashMap::new(),
            limits,
        }
    }

    /// Issues `n` tickets. They cost a few bytes together until they are used.
    pub fn issue(&mut self, n: u32, now: Time) -> Vec<Ticket> {
        let now = self.clock(now);
        let Holder {
            router,
            incarnation,
        } = &self.me;
        self.issued
            .take(n, now, self.limits.ticket_ttl)
            .map(|number| Ticket {
                router: router.clone(),
                incarnation: *incarnation,
                number,
            })
            .collect()
    }

    /// Claims the ticket for a request that this router is about to start.
    ///
    /// To keep the time short in which a duplicate is told [`Claim::Running`], claim when
    /// the request is dispatched, not when it is queued.
    pub fn claim(&mut self, t: &Ticket, now: Time) -> Claim {
        let now = self.clock(now);
        let me = self.me.clone();
        let Some(e) = self.entry(t) else {
            return self.unknown(t);
        };
        match &e.state {
            State::Held if now >= e.expires => Claim::Expired,
            State::Held => {
                e.state = State::Running;
                e.attempt += 1;
                Claim::Granted(Grant {
                    ticket: t.clone(),
                    attempt: e.attempt,
                })
            }
            State::Running => Claim::Running,
            State::Done(record) => Claim::Done(record.clone()),
            State::Moved(to) => Claim::AskHolder(TransferRequest {
                ticket: t.clone(),
                requester: me,
                holder: to.clone(),
                hop: e.hop,
            }),
        }
    }

    /// Records how a granted request ended, for those who ask again.
    ///
    /// [`Outcome::NotRun`] is the same as [`Tickets::release`]. A later answer replaces
    /// [`Outcome::MayHaveRun`]; any other second call is ignored.
    pub fn finish(
        &mut self,
        grant: &Grant,
        outcome: Outcome,
        answer: Option<Arc<[u8]>>,
        now: Time,
    ) {
        if outcome == Outcome::NotRun {
            return self.release(grant, now);
        }
        let now = self.clock(now);
        let max = self.limits.answer_bytes / 4;
        let answer = answer.filter(|a| a.len() <= max).map(Answer);
        let Some(e) = self.entries.get_mut(&grant.ticket) else {
            return;
        };
        let open = match &e.state {
            State::Running => true,
            State::Done(r) => r.outcome == Outcome::MayHaveRun,
            State::Held | State::Moved(_) => false,
        };
        if !open || e.attempt != grant.attempt {
            return;
        }
        let bytes = answer.as_ref().map(|a| a.0.len());
        e.state = State::Done(Record { outcome, answer });
        e.until = e.expires.max(now) + self.limits.outcome_ttl;
        if let Some(n) = bytes {
            self.record(&grant.ticket, n);
        }
    }

    /// Gives a grant back: no byte of the request was written to an endpoint.
    ///
    /// The ticket may be used again, here or by a router that asks. A grant that was given
    /// back or finished before changes nothing, so it can't free a later attempt's ticket.
    pub fn release(&mut self, grant: &Grant, now: Time) {
        self.clock(now);
        let Some(e) = self.entries.get_mut(&grant.ticket) else {
            return;
        };
        if matches!(e.state, State::Running) && e.attempt == grant.attempt {
            e.state = State::Held;
        }
    }

    /// Drops what need not be remembered any longer; call it every second or so.
    pub fn tick(&mut self, now: Time) {
        let now = self.clock(now);
        let Holder {
            router,
            incarnation,
        } = &self.me;
        if let Some(first) = self.issued.retire(now - self.limits.outcome_ttl) {
            self.floors.raise(router, *incarnation, first);
        }
        let floors = &mut self.floors;
        let before = self.entries.len();
        self.entries.retain(|t, e| {
            let stays = matches!(e.state, State::Running) || now < e.until;
            if !stays {
                floors.raise(&t.router, t.incarnation, t.number + 1);
            }
            stays
        });
        if self.entries.len() != before {
            let entries = &self.entries;
            self.answers.retain(|t| entries.contains_key(t));
        }
    }

    /// Counts the tickets by state.
    pub fn counts(&self) -> Counts {
        let mut c = Counts {
            issued: self.issued.count(),
            bytes: self.answers.bytes(),
            ..Counts::default()
        };
        for e in self.entries.values() {
            match e.state {
                State::Held => c.held += 1,
                State::Running => c.running += 1,
                State::Done(_) => c.done += 1,
                State::Moved(_) => c.moved += 1,
            }
        }
        c
    }

    /// Returns the latest time seen. Callers on several threads may pass one that is a
    /// little older; a ticket once called expired must stay so.
    pub(super) fn clock(&mut self, now: Time) -> Time {
        self.now = self.now.max(now);
        self.now
    }

    /// What a request comes to whose ticket has no entry here.
    fn unknown(&self, t: &Ticket) -> Claim {
        if t.router == self.me.router || self.floors.below(t) {
            return Claim::Unknown;
        }
        Claim::AskHolder(TransferRequest {
            ticket: t.clone(),
            requester: self.me.clone(),
            holder: t.issuer(),
            hop: 0,
        })
    }

    /// Finds the entry of a ticket, making one for an own ticket just issued.
    pub(super) fn entry(&mut self, t: &Ticket) -> Option<&mut Entry> {
        let own = t.issuer() == self.me;
        if own && !self.entries.contains_key(t) && !self.floors.below(t) {
            let expires = self.issued.expires(t.number)?;
            self.insert(t, 0, expires);
        }
        self.entries.get_mut(t)
    }

    pub(super) fn insert(&mut self, t: &Ticket, hop: u32, expires: Time) {
        let e = Entry {
            state: State::Held,
            hop,
            attempt: 0,
            expires,
            until: expires + self.limits.outcome_ttl,
        };
        self.entries.insert(t.clone(), e);
    }

    fn record(&mut self, t: &Ticket, bytes: usize) {
        for old in self.answers.push(t, bytes) {
            if let Some(Entry {
                state: State::Done(r),
                ..
            }) = self.entries.get_mut(&old)
            {
                r.answer = None;
            }
        }
    }
}
