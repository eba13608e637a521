//! A small model of routers that decide together, in virtual time.

use {
    policy::{
        Action,
        Completion,
        Dispatch,
        Incarnation,
        Job,
        JobId,
        Message,
        Mode,
        Peer,
        PeerState,
        Replica,
        RouterId,
        Rules,
        ServiceId,
        ServiceRules,
        Share,
        Slots,
        Span,
        Time,
        Unit,
        Units,
        WorkspaceId,
        WorkspaceShare, //
    },
    std::{
        collections::{
            HashMap,
            VecDeque, //
        },
        time::Instant,
    },
};

const TICK: Span = Span::millis(10);
/// Time simulated before a figure, for the first requests to end.
const SETTLE: Span = Span::secs(11);
/// Time simulated for each figure.
const SPAN: Span = Span::secs(4);
/// How long a request runs: 323 tokens, 30 ms apart.
const RUN: Span = Span::secs(10);
/// Bytes that a stream adds to a message: its part of a frame, the chunk around it.
const FRAME: usize = 18;
/// Requests a second that a node takes.
const RATE: f64 = 70.0;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) routers: usize,
    pub(crate) services: usize,
    pub(crate) replicas: usize,
    pub(crate) workspaces: usize,
    pub(crate) backlogged: usize,
}

/// A part of the fleet of letter 1 that one machine carries: one model with its routers.
pub(crate) const MODEL: Size = Size {
    routers: 14,
    services: 1,
    replicas: 444,
    workspaces: 226,
    backlogged: 45,
};

/// What one router spent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cost {
    pub(crate) sent: f64,
    pub(crate) core: f64,
}

/// Makes a router that knows nothing.
pub(crate) fn empty() -> Dispatch {
    Dispatch::new(router(0), 0)
}

fn service(i: usize) -> ServiceId {
    format!("model-{i}").parse().expect("a valid name")
}

fn workspace(i: usize) -> WorkspaceId {
    format!("workspace-{i:05}").parse().expect("a valid name")
}

fn router(i: usize) -> Peer {
    Peer {
        id: format!("router-{i}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        zone: format!("zone-{}", i % 9).parse().expect("a valid name"),
        state: PeerState::Live,
    }
}

fn rules(size: Size) -> Rules {
    let shares: Vec<WorkspaceShare> = (0..size.workspaces)
        .map(|i| WorkspaceShare {
            workspace: workspace(i),
            share: Share::ONE,
            queue: None,
        })
        .collect();
    let shares = std::sync::Arc::new(shares);
    let services = (0..size.services).map(|i| ServiceRules {
        service: service(i),
        unit: Unit::Tokens,
        window: Units(200.0),
        credit: Units(50.0),
        queue: 1_000,
        start: Slots(22),
        shares: shares.clone(),
    });
    Rules {
        mode: Mode::Fleet,
        services: services.collect(),
    }
}

/// Makes one router that knows a fleet of this size.
pub(crate) fn node(me: usize, size: Size) -> Dispatch {
    let now = Time(0);
    let mut d = Dispatch::new(router(me), me as u64);
    d.configure(rules(size), now);
    for s in 0..size.services {
        let list = (0..size.replicas)
            .filter(|r| r % size.services == s)
            .map(|r| Replica {
                id: format!("10.1.{}.{}:8000", r >> 8, r & 255)
                    .parse()
                    .expect("a valid name"),
                service: service(s),
                zone: format!("zone-{}", r % 9).parse().expect("a valid name"),
                leaving: false,
            });
        d.set_replicas(&service(s), list.collect(), now);
    }
    let others = (0..size.routers).filter(|i| *i != me).map(router);
    d.set_routers(others.collect(), now);
    d
}

/// Runs the routers of one model against each other.
pub(crate) fn run(size: Size) -> Cost {
    let mut fleet = Fleet::new(size);
    fleet.advance(SETTLE);
    fleet.sent = 0;
    fleet.seconds = 0.0;
    fleet.advance(SPAN);
    let share = size.routers as f64 * SPAN.as_secs();
    Cost {
        sent: fleet.sent as f64 / share,
        core: fleet.seconds / share * 100.0,
    }
}

/// Routers that receive each other's messages a tick later.
struct Fleet {
    size: Size,
    nodes: Vec<Dispatch>,
    index: HashMap<RouterId, usize>,
    now: Time,
    ending: VecDeque<Ending>,
    sent: usize,
    seconds: f64,
    debt: f64,
    next: usize,
    /// Whose request each is.
    owners: HashMap<(usize, JobId), usize>,
}

/// A request that runs.
struct Ending {
    at: Time,
    node: usize,
    job: JobId,
}

impl Fleet {
    fn new(size: Size) -> Fleet {
        let index = (0..size.routers).map(|i| (router(i).id, i)).collect();
        let mut fleet = Fleet {
            size,
            nodes: (0..size.routers).map(|i| node(i, size)).collect(),
            index,
            now: Time(0),
            ending: VecDeque::new(),
            sent: 0,
            seconds: 0.0,
            debt: 0.0,
            next: 0,
            owners: HashMap::new(),
        };
        fleet.flood();
        fleet
    }

    /// Gives the backlogged workspaces more than all slots can run.
    fn flood(&mut self) {
        let nodes = self.nodes.len();
        if nodes == 0 {
            return;
        }
        let slots = self.size.replicas * 22;
        let each = (2 * slots / self.size.backlogged.max(1)).min(900);
        for b in 0..self.size.backlogged {
            // Each workspace's callers keep to a few routers of one model.
            let spots = nodes / self.size.services;
            for k in 0..each {
                let spot = (b / self.size.services + k % 3) % spots.max(1);
                let at = (spot * self.size.services + b % self.size.services) % nodes;
                self.submit(at, b);
            }
        }
    }

    fn submit(&mut self, at: usize, w: usize) {
        let job = Job {
            // Callers of a model are sent to its own few routers.
            service: service(at % self.size.services),
            workspace: workspace(w),
            arrived: self.now,
            deadline: self.now + Span::secs(3_600),
            urgency: 0,
            hint: Units(300.0),
            share: Share::ONE,
            expected_run: Span::ZERO,
            prefix: None,
        };
        let begin = Instant::now();
        let job = self.nodes[at].submit(job, self.now);
        self.seconds += begin.elapsed().as_secs_f64();
        self.owners.insert((at, job), w);
    }

    fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.arrive();
        self.end_due();
        let begin = Instant::now();
        for n in &mut self.nodes {
            n.tick(self.now);
        }
        self.seconds += begin.elapsed().as_secs_f64();
        let mut mail = Vec::new();
        for i in 0..self.nodes.len() {
            mail.extend(self.act(i));
        }
        for (from, to, msg) in mail {
            self.sent += rmp_serde::to_vec(&msg).map_or(0, |b| b.len()) + FRAME;
            let Some(&to) = self.index.get(&to) else {
                continue;
            };
            let id = router(from).id;
            let begin = Instant::now();
            self.nodes[to].deliver(&id, Incarnation(1), msg, self.now);
            self.seconds += begin.elapsed().as_secs_f64();
        }
    }

    /// Ends what is due; a workspace that is backlogged asks again at once.
    fn end_due(&mut self) {
        while self.ending.front().is_some_and(|e| e.at <= self.now) {
            let Some(e) = self.ending.pop_front() else {
                return;
            };
            let finish = Completion {
                units: Units(300.0),
                first_byte: Some(Span::millis(300)),
                token_gap: Some(Span::millis(25)),
                ok: true,
                refund: false,
            };
            let begin = Instant::now();
            self.nodes[e.node].finish(e.job, finish, self.now);
            self.seconds += begin.elapsed().as_secs_f64();
            let w = self.owners.remove(&(e.node, e.job));
            if let Some(w) = w.filter(|w| *w < self.size.backlogged) {
                self.submit(e.node, w);
            }
        }
    }

    /// New requests of the workspaces that are not backlogged, at a tenth of the rate.
    fn arrive(&mut self) {
        let others = self.size.workspaces.saturating_sub(self.size.backlogged);
        if others == 0 {
            return;
        }
        self.debt += RATE / 10.0 * TICK.as_secs() * self.nodes.len() as f64;
        while self.debt >= 1.0 {
            self.debt -= 1.0;
            self.next += 1;
            let w = self.size.backlogged + self.next % others;
            // Each workspace's callers keep to a few routers of one model.
            let spots = (self.nodes.len() / self.size.services).max(1);
            let spot = (w + self.next % 3) % spots;
            let at = (spot * self.size.services + w % self.size.services) % self.nodes.len();
            self.submit(at, w);
        }
    }

    fn act(&mut self, i: usize) -> Vec<(usize, RouterId, Message)> {
        let mut mail = Vec::new();
        for action in self.nodes[i].take_actions() {
            match action {
                Action::Start { job, .. } => self.ending.push_back(Ending {
                    at: self.now + RUN,
                    node: i,
                    job,
                }),
                Action::Send { to, msg } => mail.push((i, to, msg)),
                Action::Reject { .. } => {}
            }
        }
        mail
    }
}
