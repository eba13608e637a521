//! Several routers' tickets, the messages between them, and an oracle that sees the whole.

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

/// What may happen next. An index picks one of what there is then.
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
    /// A question or a reply arrives, and stays on the wire to arrive again.
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
    Refuse {
        grant: Index,
    },
    /// A grant that was given back or finished is given back once more.
    Again {
        grant: Index,
    },
    Finish {
        grant: Index,
        outcome: Outcome,
    },
    /// A new start of a router. The old process may be dead, or only paused.
    Restart {
        at: Index,
        killed: bool,
    },
    /// One process's clock goes on; the others' may stand still.
    Pass {
        at: Index,
        time: Span,
    },
    Tick {
        at: Index,
    },
}

#[derive(Debug)]
struct Process {
    holder: Holder,
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
struct Open {
    process: usize,
    grant: Grant,
    started: bool,
}

/// What truly happened to a ticket.
#[derive(Debug, Default)]
struct Truth {
    starts: u32,
    outcomes: Vec<Outcome>,
    never: bool,
}

/// Three routers, and more processes as they restart.
#[derive(Debug)]
pub struct World {
    processes: Vec<Process>,
    wire: Vec<Message>,
    known: Vec<Ticket>,
    open: Vec<Open>,
    /// Grants that have ended.
    stale: Vec<Open>,
    truth: HashMap<Ticket, Truth>,
}

fn process(router: usize, incarnation: u64) -> Process {
    let holder = Holder {
        router: format!("r{router}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    };
    let limits = RetentionLimits {
        ticket_ttl: Span::secs(10),
        outcome_ttl: Span::secs(10),
        answer_bytes: 64,
    };
    Process {
        tickets: Tickets::new(holder.clone(), limits),
        holder,
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
            stale: Vec::new(),
            truth: HashMap::new(),
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
                self.told(p, &t, claim);
            }
            Step::Deliver { message, to } => self.deliver(message, to),
            Step::Lose { message } => {
                if let Some(i) = pick(message, self.wire.len()) {
                    self.wire.swap_remove(i);
                }
            }
            Step::Start { grant } => self.start(grant),
            Step::Refuse { grant } => self.refuse(grant),
            Step::Again { grant } => {
                if let Some(i) = pick(grant, self.stale.len()) {
                    let Open { process, grant, .. } = &self.stale[i];
                    let p = &mut self.processes[*process];
                    p.tickets.release(grant, p.now);
                }
            }
            Step::Finish { grant, outcome } => self.finish(grant, *outcome),
            Step::Restart { at, killed } => self.restart(at, *killed),
            Step::Pass { at, time } => {
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

    /// Checks what a router tells about a ticket against the truth.
    fn told(&mut self, p: usize, t: &Ticket, claim: Claim) {
        let truth = self.truth.entry(t.clone()).or_default();
        match claim {
            Claim::Granted(grant) => {
                assert!(!truth.never, "{t} was called expired and is granted");
                assert_eq!(truth.starts, 0, "{t} is granted and ran before");
                let open = self
                    .open
                    .iter()
                    .any(|o| o.grant.ticket() == t && !self.processes[o.process].dead);
                assert!(!open, "{t} is granted twice at once");
                self.open.push(Open {
                    process: p,
                    grant,
                    started: false,
                });
            }
            Claim::AskHolder(request) => self.wire.push(Message::Request(request)),
            Claim::Done(record) => {
                assert_eq!(truth.starts, 1, "{t} is called done and never ran");
                assert!(truth.outcomes.contains(&record.outcome));
            }
            Claim::Expired => {
                assert_eq!(truth.starts, 0, "{t} is called expired and ran");
                truth.never = true;
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
        // An old process that was only paused may get it as well as the present one.
        let there: Vec<usize> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].dead && self.processes[*p].holder.router == *router)
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
                self.told(p, &ticket, claim);
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
        let truth = self.truth.entry(t.clone()).or_default();
        truth.starts += 1;
        assert_eq!(truth.starts, 1, "{t} was started twice");
        assert!(!truth.never, "{t} was called expired and starts");
    }

    fn refuse(&mut self, grant: &Index) {
        let Some(i) = pick(grant, self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        let p = &mut self.processes[open.process];
        if p.dead || open.started {
            return;
        }
        assert_eq!(self.truth[open.grant.ticket()].starts, 0);
        p.tickets.release(&open.grant, p.now);
        let open = self.open.remove(i);
        self.stale.push(open);
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
        let truth = self.truth.get_mut(open.grant.ticket()).unwrap();
        truth.outcomes.push(outcome);
        let answer = Some(Arc::from(vec![1u8; 12]));
        p.tickets.finish(&open.grant, outcome, answer, p.now);
        if outcome != Outcome::MayHaveRun {
            let open = self.open.remove(i);
            self.stale.push(open);
        }
    }

    fn restart(&mut self, at: &Index, killed: bool) {
        let p = self.alive(at);
        let holder = self.processes[p].holder.clone();
        let router: usize = holder.router.as_str()[1..].parse().unwrap();
        let last = self
            .processes
            .iter()
            .filter(|o| o.holder.router == holder.router);
        let next = last.map(|o| o.holder.incarnation.0).max().unwrap() + 1;
        self.processes[p].dead = killed;
        self.processes.push(process(router, next));
        if killed {
            self.open.retain(|o| o.process != p);
        }
    }
}
