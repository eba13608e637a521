//! The ticket tables of several routers, the messages between them, and an oracle that sees
//! all of them.

use {
    policy::{
        tickets::{
            Claim,
            Grant,
            Holder,
            RetentionLimits,
            Ticket,
            Tickets,
            TransferReply,
            TransferRequest, //
        },
        Incarnation,
        Outcome,
        Span,
        Time, //
    },
    proptest::sample::Index,
    std::{
        collections::HashMap,
        sync::Arc, //
    },
};

/// A step of the simulation. Each index selects one of the objects that exist at that time.
#[derive(Debug, Clone)]
pub enum Step {
    Issue {
        at: Index,
        count: u32,
    },
    Claim {
        at: Index,
        ticket: Index,
    },
    /// A request or a reply arrives, and stays on the wire so that it may arrive again.
    Deliver {
        message: Index,
        to: Index,
    },
    Lose {
        message: Index,
    },
    /// The first byte of a granted request is written.
    Start {
        grant: Index,
    },
    Reject {
        grant: Index,
    },
    /// A grant that was released or finished is released once more.
    ReleaseAgain {
        grant: Index,
    },
    Finish {
        grant: Index,
        outcome: Outcome,
    },
    /// A router restarts. The old process may be dead, or only paused.
    Restart {
        at: Index,
        killed: bool,
    },
    /// The clock of one process advances; those of the others may stand still.
    AdvanceClock {
        at: Index,
        time: Span,
    },
    Tick {
        at: Index,
    },
}

#[derive(Debug)]
struct Process {
    id: Holder,
    now: Time,
    tickets: Tickets,
    dead: bool,
}

#[derive(Debug, Clone)]
enum Message {
    Request(TransferRequest),
    Reply {
        to: Holder,
        ticket: Ticket,
        reply: TransferReply,
    },
}

#[derive(Debug)]
struct OpenGrant {
    process: usize,
    grant: Grant,
    started: bool,
}

/// What actually happened to a ticket.
#[derive(Debug, Default)]
struct History {
    starts: u32,
    outcomes: Vec<Outcome>,
    reported_expired: bool,
}

/// Three routers, and more processes as they restart.
#[derive(Debug)]
pub struct World {
    processes: Vec<Process>,
    wire: Vec<Message>,
    known: Vec<Ticket>,
    open: Vec<OpenGrant>,
    /// Grants that have ended.
    ended: Vec<OpenGrant>,
    history: HashMap<Ticket, History>,
}

fn process(router: usize, incarnation: u64) -> Process {
    let id = Holder {
        router: format!("r{router}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    };
    let limits = RetentionLimits {
        ticket_ttl: Span::secs(10),
        outcome_ttl: Span::secs(10),
        answer_bytes: 64,
    };
    Process {
        tickets: Tickets::new(id.clone(), limits),
        id,
        now: Time::default(),
        dead: false,
    }
}

fn pick(i: &Index, len: usize) -> Option<usize> {
    (len > 0).then(|| i.index(len))
}

impl World {
    pub fn new() -> World {
        World {
            processes: (0..3).map(|r| process(r, 1)).collect(),
            wire: Vec::new(),
            known: Vec::new(),
            open: Vec::new(),
            ended: Vec::new(),
            history: HashMap::new(),
        }
    }

    pub fn step(&mut self, step: &Step) {
        match step {
            Step::Issue { at, count } => {
                let p = self.alive(at);
                let p = &mut self.processes[p];
                let new = p.tickets.issue(*count, p.now);
                self.known.extend(new);
            }
            Step::Claim { at, ticket } => {
                let Some(t) = pick(ticket, self.known.len()) else {
                    return;
                };
                let (t, p) = (self.known[t].clone(), self.alive(at));
                let now = self.processes[p].now;
                let claim = self.processes[p].tickets.claim(&t, now);
                self.check_claim(p, &t, claim);
            }
            Step::Deliver { message, to } => self.deliver(message, to),
            Step::Lose { message } => {
                if let Some(i) = pick(message, self.wire.len()) {
                    self.wire.swap_remove(i);
                }
            }
            Step::Start { grant } => self.start(grant),
            Step::Reject { grant } => self.reject(grant),
            Step::ReleaseAgain { grant } => {
                if let Some(i) = pick(grant, self.ended.len()) {
                    let OpenGrant { process, grant, .. } = &self.ended[i];
                    let p = &mut self.processes[*process];
                    p.tickets.release(grant, p.now);
                }
            }
            Step::Finish { grant, outcome } => self.finish(grant, *outcome),
            Step::Restart { at, killed } => self.restart(at, *killed),
            Step::AdvanceClock { at, time } => {
                let p = self.alive(at);
                self.processes[p].now += *time;
            }
            Step::Tick { at } => {
                let p = self.alive(at);
                let p = &mut self.processes[p];
                p.tickets.tick(p.now);
            }
        }
    }

    fn alive(&self, i: &Index) -> usize {
        let alive: Vec<usize> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].dead)
            .collect();
        alive[i.index(alive.len())]
    }

    /// Checks a claim against what actually happened to the ticket.
    fn check_claim(&mut self, p: usize, t: &Ticket, claim: Claim) {
        let history = self.history.entry(t.clone()).or_default();
        match claim {
            Claim::Granted(grant) => {
                assert!(
                    !history.reported_expired,
                    "{t} was reported as expired and is granted"
                );
                assert_eq!(history.starts, 0, "{t} is granted and ran before");
                let open = self
                    .open
                    .iter()
                    .any(|o| o.grant.ticket() == t && !self.processes[o.process].dead);
                assert!(!open, "{t} is granted twice at once");
                self.open.push(OpenGrant {
                    process: p,
                    grant,
                    started: false,
                });
            }
            Claim::AskHolder(request) => self.wire.push(Message::Request(request)),
            Claim::Done(record) => {
                assert_eq!(history.starts, 1, "{t} is reported as done and never ran");
                assert!(history.outcomes.contains(&record.outcome));
            }
            Claim::Expired => {
                assert_eq!(history.starts, 0, "{t} is reported as expired and ran");
                history.reported_expired = true;
            }
            Claim::Running | Claim::Unknown => {}
        }
    }

    fn deliver(&mut self, message: &Index, to: &Index) {
        let Some(i) = pick(message, self.wire.len()) else {
            return;
        };
        let m = self.wire[i].clone();
        let router = match &m {
            Message::Request(request) => &request.holder.router,
            Message::Reply { to, .. } => &to.router,
        };
        // An old process that was only paused may receive it, as may the present one.
        let there: Vec<usize> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].dead && self.processes[*p].id.router == *router)
            .collect();
        let Some(p) = pick(to, there.len()).map(|i| there[i]) else {
            return;
        };
        let Process { tickets, now, .. } = &mut self.processes[p];
        match m {
            Message::Request(request) => {
                let reply = tickets.answer_transfer(&request, *now);
                self.wire.push(Message::Reply {
                    to: request.requester.clone(),
                    ticket: request.ticket,
                    reply,
                });
            }
            Message::Reply { ticket, reply, .. } => {
                let claim = tickets.apply_reply(&ticket, reply, *now);
                self.check_claim(p, &ticket, claim);
            }
        }
    }

    fn start(&mut self, grant: &Index) {
        let Some(i) = pick(grant, self.open.len()) else {
            return;
        };
        let open = &mut self.open[i];
        if self.processes[open.process].dead || open.started {
            return;
        }
        open.started = true;
        let t = open.grant.ticket();
        let history = self.history.entry(t.clone()).or_default();
        history.starts += 1;
        assert_eq!(history.starts, 1, "{t} was started twice");
        assert!(
            !history.reported_expired,
            "{t} was reported as expired and starts"
        );
    }

    fn reject(&mut self, grant: &Index) {
        let Some(i) = pick(grant, self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        let p = &mut self.processes[open.process];
        if p.dead || open.started {
            return;
        }
        assert_eq!(self.history[open.grant.ticket()].starts, 0);
        p.tickets.release(&open.grant, p.now);
        let open = self.open.remove(i);
        self.ended.push(open);
    }

    fn finish(&mut self, grant: &Index, outcome: Outcome) {
        let Some(i) = pick(grant, self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        let p = &mut self.processes[open.process];
        if p.dead || !open.started {
            return;
        }
        let history = self.history.get_mut(open.grant.ticket()).unwrap();
        history.outcomes.push(outcome);
        let answer = Some(Arc::from(vec![1u8; 12]));
        p.tickets.finish(&open.grant, outcome, answer, p.now);
        if outcome != Outcome::MayHaveRun {
            let open = self.open.remove(i);
            self.ended.push(open);
        }
    }

    fn restart(&mut self, at: &Index, killed: bool) {
        let p = self.alive(at);
        let id = self.processes[p].id.clone();
        let router: usize = id.router.as_str()[1..].parse().unwrap();
        let last = self.processes.iter().filter(|o| o.id.router == id.router);
        let next = last.map(|o| o.id.incarnation.0).max().unwrap() + 1;
        self.processes[p].dead = killed;
        self.processes.push(process(router, next));
        if killed {
            self.open.retain(|o| o.process != p);
        }
    }
}
