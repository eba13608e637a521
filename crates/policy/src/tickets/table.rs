//! The table of tickets of one router incarnation.

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

/// How long tickets, outcomes and answers are kept, and how much of the answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long a ticket is valid after it was issued or transferred here.
    pub ticket_ttl: Span,
    /// How long its outcome is kept after that.
    pub outcome_ttl: Span,
    /// The maximum total size of the recorded answers, in bytes.
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

/// The tickets that one router incarnation issued, holds, used or transferred.
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

/// The number of tickets in each state, for the dump and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Issued by this incarnation so far.
    pub issued: u64,
    /// Held here and unused, with an entry.
    pub held: usize,
    /// Whose request is running.
    pub running: usize,
    /// Ended, with a recorded outcome.
    pub done: usize,
    /// Transferred to other routers.
    pub moved: usize,
    /// Total size of the recorded answers, in bytes.
    pub bytes: usize,
}

impl Tickets {
    /// Creates the table of a router incarnation that has issued nothing.
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

    /// Issues `n` tickets. Until they are used, they take a few bytes together.
    pub fn issue(&mut self, n: u32, now: Time) -> Vec<Ticket> {
        let now = self.advance_clock(now);
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
    /// Claim when the request is dispatched, not when it is queued, so that duplicates get
    /// [`Claim::Running`] only for a short time.
    pub fn claim(&mut self, t: &Ticket, now: Time) -> Claim {
        let now = self.advance_clock(now);
        let me = self.me.clone();
        let Some(e) = self.entry(t) else {
            return self.claim_without_entry(t);
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

    /// Records how a granted request ended, for repeated requests with the same ticket.
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
        let now = self.advance_clock(now);
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
        e.keep_until = e.expires.max(now) + self.limits.outcome_ttl;
        if let Some(n) = bytes {
            self.track_answer(&grant.ticket, n);
        }
    }

    /// Releases a grant of which no byte of the request was written to an endpoint.
    ///
    /// The ticket may be used again, here or by a router that asks for it. A grant that was
    /// released or finished before has no effect, so it can't release a later attempt.
    pub fn release(&mut self, grant: &Grant, now: Time) {
        self.advance_clock(now);
        let Some(e) = self.entries.get_mut(&grant.ticket) else {
            return;
        };
        if matches!(e.state, State::Running) && e.attempt == grant.attempt {
            e.state = State::Held;
        }
    }

    /// Removes expired entries; should be called about once a second.
    pub fn tick(&mut self, now: Time) {
        let now = self.advance_clock(now);
        let Holder {
            router,
            incarnation,
        } = &self.me;
        if let Some(first) = self.issued.remove_expired(now - self.limits.outcome_ttl) {
            self.floors.raise(router, *incarnation, first);
        }
        let floors = &mut self.floors;
        let before = self.entries.len();
        self.entries.retain(|t, e| {
            let keep = matches!(e.state, State::Running) || now < e.keep_until;
            if !keep {
                floors.raise(&t.router, t.incarnation, t.number + 1);
            }
            keep
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

    /// Advances the clock to `now` unless that is earlier, and returns it. Callers on several
    /// threads may pass a slightly earlier time, but an expired ticket must stay expired.
    pub(super) fn advance_clock(&mut self, now: Time) -> Time {
        self.now = self.now.max(now);
        self.now
    }

    /// Returns the claim of a ticket that has no entry here.
    fn claim_without_entry(&self, t: &Ticket) -> Claim {
        if t.router == self.me.router || self.floors.is_below(t) {
            return Claim::Unknown;
        }
        Claim::AskHolder(TransferRequest {
            ticket: t.clone(),
            requester: self.me.clone(),
            holder: t.issuer(),
            hop: 0,
        })
    }

    /// Returns the entry of a ticket; creates it for a ticket that this incarnation issued.
    pub(super) fn entry(&mut self, t: &Ticket) -> Option<&mut Entry> {
        let local = t.issuer() == self.me;
        if local && !self.entries.contains_key(t) && !self.floors.is_below(t) {
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
            keep_until: expires + self.limits.outcome_ttl,
        };
        self.entries.insert(t.clone(), e);
    }

    /// Adds an answer to the eviction order, and drops the answers that are evicted.
    fn track_answer(&mut self, t: &Ticket, bytes: usize) {
        for evicted in self.answers.push(t, bytes) {
            if let Some(Entry {
                state: State::Done(r),
                ..
            }) = self.entries.get_mut(&evicted)
            {
                r.answer = None;
            }
        }
    }
}
