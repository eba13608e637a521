//! A few routers' decisions over a tiny model of messages and replicas.
#![allow(
    dead_code,
    reason = "each test binary uses its own part of this helper"
)]

pub mod oracle;

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
        ReplicaId,
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
        WorkspaceId, //
    },
    std::{
        cmp::Reverse,
        collections::{
            BTreeMap,
            BTreeSet, //
        },
    },
};

pub const TICK: Span = Span::millis(10);
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// Bytes that a message costs besides itself.
const FRAME: u64 = 10;

/// What messages between routers go through.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    pub delay: Span,
    /// Up to this much more, drawn for each message, so that they overtake each other.
    pub jitter: Span,
    /// Lost, in percent.
    pub loss: u8,
    /// Sent twice, in percent.
    pub double: u8,
}

impl Net {
    /// Nothing is lost, doubled or overtaken.
    pub const CLEAR: Net = Net {
        delay: Span(1_500),
        jitter: Span::ZERO,
        loss: 0,
        double: 0,
    };

    pub fn clear(&self) -> bool {
        self.loss == 0 && self.double == 0 && self.jitter == Span::ZERO
    }
}

pub struct Node {
    pub dispatch: Dispatch,
    pub peer: Peer,
    /// Requests taken in and not ended.
    pub open: BTreeMap<JobId, Open>,
    pub sent: u64,
    pub taken: u64,
    pub messages: u64,
}

/// A request as its caller knows it.
#[derive(Debug, Clone)]
pub struct Open {
    pub workspace: usize,
    pub run: Span,
    pub cost: f64,
    pub at: Option<(ReplicaId, Time)>,
    pub arrived: Time,
    pub deadline: Time,
}

enum Event {
    Message(usize, RouterId, Incarnation, Message),
    Finish(usize, Incarnation, JobId),
}

/// How one request ended.
#[derive(Debug, Clone)]
pub struct Ended {
    pub router: usize,
    pub workspace: usize,
    pub refused: Option<(policy::Refusal, Span)>,
    pub waited: Span,
}

pub struct Fleet {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub nodes: Vec<Option<Node>>,
    pub net: Net,
    /// Routers on the far side of a partition.
    pub cut: BTreeSet<usize>,
    /// Whether every router knows the list of replicas as it is.
    pub told: bool,
    pub rules: Rules,
    pub replicas: Vec<Replica>,
    pub running: BTreeMap<ReplicaId, u32>,
    pub served: Vec<f64>,
    pub ended: Vec<Ended>,
    /// Requests that died with their router.
    pub lost: usize,
    pub starts: u64,
    /// When a request of each workspace last started.
    pub last_start: Vec<Time>,
    incarnations: u64,
    events: BTreeMap<Reverse<(Time, u64)>, Event>,
    numbers: u64,
    /// Routers that were killed, as the others still know them.
    dead: Vec<Option<Peer>>,
}

/// Callers that ask again as soon as they have their answer.
pub struct Load {
    /// How many each workspace has at each router.
    pub callers: Vec<Vec<usize>>,
}

impl Load {
    /// Asks again for each caller that has its answer.
    pub fn ask(&self, f: &mut Fleet, run: (u64, u64)) {
        for (w, at) in self.callers.iter().enumerate() {
            for (n, many) in at.iter().enumerate() {
                let Some(node) = &f.nodes[n] else { continue };
                let open = node.open.values().filter(|o| o.workspace == w).count();
                for _ in open..*many {
                    let ms = f.rng.u64(run.0..run.1);
                    let cost = ms as f64 / 500.0;
                    let hint = cost * (0.5 + f.rng.f64());
                    f.submit(n, w, Span::millis(ms), cost, hint, Span::secs(60));
                }
            }
        }
    }
}

pub fn service() -> ServiceId {
    "drafting-llm".parse().unwrap()
}

pub fn workspace(n: usize) -> WorkspaceId {
    format!("w{n}").parse().unwrap()
}

pub fn rules(mode: Mode, slots: u32) -> Rules {
    Rules {
        mode,
        services: vec![ServiceRules {
            service: service(),
            unit: Unit::Tokens,
            window: Units(0.0),
            credit: Units(1.0),
            queue: 1000,
            start: Slots(slots),
            shares: Default::default(),
        }],
    }
}

impl Fleet {
    pub fn new(
        seed: u64,
        routers: usize,
        replicas: usize,
        workspaces: usize,
        rules: Rules,
    ) -> Fleet {
        let replicas = (0..replicas)
            .map(|n| Replica {
                id: format!("10.0.0.{n}:8000").parse().unwrap(),
                service: service(),
                zone: ZONES[n % ZONES.len()].parse().unwrap(),
                leaving: false,
            })
            .collect();
        let mut fleet = Fleet {
            now: Time(0),
            rng: fastrand::Rng::with_seed(seed),
            nodes: (0..routers).map(|_| None).collect(),
            net: Net::CLEAR,
            cut: BTreeSet::new(),
            told: true,
            rules,
            replicas,
            running: BTreeMap::new(),
            served: vec![0.0; workspaces],
            ended: Vec::new(),
            lost: 0,
            starts: 0,
            last_start: vec![Time(0); workspaces],
            incarnations: 0,
            events: BTreeMap::new(),
            numbers: 0,
            dead: vec![None; routers],
        };
        for n in 0..routers {
            fleet.start(n);
        }
        fleet.tell_routers();
        fleet
    }

    /// Starts a router with empty memory.
    pub fn boot(&mut self, n: usize) {
        self.start(n);
        self.tell_routers();
    }

    fn start(&mut self, n: usize) {
        self.incarnations += 1;
        let peer = Peer {
            id: format!("r{n}").parse().unwrap(),
            incarnation: Incarnation(self.incarnations),
            zone: ZONES[n % ZONES.len()].parse().unwrap(),
            state: PeerState::Live,
        };
        let mut dispatch = Dispatch::new(peer.clone(), 1);
        dispatch.configure(self.rules.clone(), self.now);
        dispatch.set_replicas(&service(), self.replicas.clone(), self.now);
        self.nodes[n] = Some(Node {
            dispatch,
            peer,
            open: BTreeMap::new(),
            sent: 0,
            taken: 0,
            messages: 0,
        });
        self.dead[n] = None;
    }

    /// Kills a router with all that it runs; the others notice when told of it.
    pub fn kill(&mut self, n: usize) {
        let Some(node) = self.nodes[n].take() else {
            return;
        };
        for open in node.open.into_values() {
            self.free(&open);
            self.lost += 1;
        }
        self.dead[n] = Some(node.peer);
    }

    /// Lets the oldest request at a router be given up by its caller.
    pub fn cancel(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        let Some((id, open)) = node.open.pop_first() else {
            return;
        };
        node.dispatch.cancel(id, self.now);
        self.lost += 1;
        self.free(&open);
        self.settle(n);
    }

    /// Tells every router which others it hears.
    pub fn tell_routers(&mut self) {
        let dead = |p: &Option<Peer>| {
            let state = PeerState::Suspect;
            p.clone().map(|p| Peer { state, ..p })
        };
        let peers: Vec<Option<Peer>> = self
            .nodes
            .iter()
            .zip(&self.dead)
            .map(|(n, d)| n.as_ref().map_or(dead(d), |n| Some(n.peer.clone())))
            .collect();
        for n in 0..self.nodes.len() {
            let list = peers
                .iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .filter_map(|(m, p)| {
                    let mut p = p.clone()?;
                    if self.cut.contains(&m) != self.cut.contains(&n) {
                        p.state = PeerState::Suspect;
                    }
                    Some(p)
                })
                .collect();
            if let Some(node) = &mut self.nodes[n] {
                node.dispatch.set_routers(list, self.now);
            }
            self.settle(n);
        }
    }

    /// Marks a replica as leaving, or as back; the routers learn it by the list later.
    pub fn mark(&mut self, n: usize, leaving: bool) {
        self.replicas[n].leaving = leaving;
        self.told = false;
    }

    /// Tells every router the list of replicas.
    pub fn tell_replicas(&mut self) {
        for n in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[n] {
                let list = self.replicas.clone();
                node.dispatch.set_replicas(&service(), list, self.now);
            }
            self.settle(n);
        }
        self.told = true;
    }

    /// Ends a router in order: it takes nothing new in and finishes what runs.
    pub fn leave(&mut self, n: usize) {
        if let Some(node) = &mut self.nodes[n] {
            node.peer.state = PeerState::Leaving;
            node.dispatch.leave(self.now);
        }
        self.settle(n);
        self.tell_routers();
    }

    /// Cuts these routers off from the others; none heals the partition.
    pub fn partition(&mut self, cut: BTreeSet<usize>) {
        self.cut = cut;
        self.tell_routers();
    }

    /// Takes a request in at a router.
    pub fn submit(
        &mut self,
        n: usize,
        workspace: usize,
        run: Span,
        cost: f64,
        hint: f64,
        window: Span,
    ) {
        let job = Job {
            service: service(),
            workspace: self::workspace(workspace),
            arrived: self.now,
            deadline: self.now + window,
            urgency: (self.now.0 / 10_000 % 10) as u8,
            hint: Units(hint),
            share: Share::ONE,
            expected_run: Span::ZERO,
            prefix: None,
        };
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        let open = Open {
            workspace,
            run,
            cost,
            at: None,
            arrived: self.now,
            deadline: self.now + window,
        };
        let id = node.dispatch.submit(job, self.now);
        node.open.insert(id, open);
        self.settle(n);
    }

    /// Does what a router has decided.
    pub fn settle(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        for action in node.dispatch.take_actions() {
            match action {
                Action::Start { job, replica } => self.begin(n, job, replica),
                Action::Reject {
                    job,
                    reason,
                    retry_after,
                } => self.reject(n, job, reason, retry_after),
                Action::Send { to, msg } => self.send(n, &to, msg),
            }
        }
    }

    fn begin(&mut self, n: usize, job: JobId, replica: ReplicaId) {
        let node = self.nodes[n].as_mut().unwrap();
        let inc = node.peer.incarnation;
        let open = node.open.get_mut(&job).expect("a start of an unknown job");
        assert!(open.at.is_none(), "a second start of a job");
        open.at = Some((replica.clone(), self.now));
        let done = self.now + open.run;
        *self.running.entry(replica.clone()).or_default() += 1;
        self.starts += 1;
        self.last_start[open.workspace] = self.now;
        let gone = self.replicas.iter().any(|r| r.leaving && r.id == replica);
        assert!(!gone || !self.told, "a start on a replica that leaves");
        self.push(done, Event::Finish(n, inc, job));
    }

    fn reject(&mut self, n: usize, job: JobId, reason: policy::Refusal, retry_after: Span) {
        let node = self.nodes[n].as_mut().unwrap();
        let open = node.open.remove(&job).expect("a refusal of an unknown job");
        assert!(open.at.is_none(), "a refusal of a started job");
        self.ended.push(Ended {
            router: n,
            workspace: open.workspace,
            refused: Some((reason, retry_after)),
            waited: self.now.since(open.arrived),
        });
    }

    fn send(&mut self, n: usize, to: &RouterId, msg: Message) {
        let node = self.nodes[n].as_mut().unwrap();
        let bytes = rmp_serde::to_vec(&msg).unwrap();
        node.sent += bytes.len() as u64 + FRAME;
        node.messages += 1;
        let (id, inc) = (node.peer.id.clone(), node.peer.incarnation);
        let m: usize = to.as_str()[1..].parse().unwrap();
        if self.cut.contains(&m) != self.cut.contains(&n) || self.rng.u8(..100) < self.net.loss {
            return;
        }
        if let Some(to) = &mut self.nodes[m] {
            to.taken += bytes.len() as u64 + FRAME;
        }
        let times = if self.rng.u8(..100) < self.net.double {
            2
        } else {
            1
        };
        for _ in 0..times {
            let extra = Span(self.rng.u64(..=self.net.jitter.0));
            let msg = rmp_serde::from_slice(&bytes).unwrap();
            let at = self.now + self.net.delay + extra;
            self.push(at, Event::Message(m, id.clone(), inc, msg));
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.numbers += 1;
        self.events.insert(Reverse((at, self.numbers)), event);
    }

    fn free(&mut self, open: &Open) {
        if let Some((replica, _)) = &open.at {
            *self.running.get_mut(replica).unwrap() -= 1;
        }
    }

    fn finish(&mut self, n: usize, inc: Incarnation, job: JobId) {
        let now = self.now;
        let Some(node) = self.nodes[n].as_mut().filter(|n| n.peer.incarnation == inc) else {
            return;
        };
        let Some(open) = node.open.remove(&job) else {
            return;
        };
        let f = Completion {
            units: Units(open.cost),
            first_byte: None,
            token_gap: None,
            ok: true,
            refund: false,
        };
        node.dispatch.finish(job, f, now);
        let started = open.at.as_ref().unwrap().1;
        self.free(&open);
        self.served[open.workspace] += open.cost;
        self.ended.push(Ended {
            router: n,
            workspace: open.workspace,
            refused: None,
            waited: started.since(open.arrived),
        });
        self.settle(n);
    }

    /// Lets time pass up to the next tick, then ticks every router.
    pub fn step(&mut self) {
        let end = self.now + TICK;
        while let Some((&Reverse((at, number)), _)) = self.events.last_key_value() {
            if at > end {
                break;
            }
            let event = self.events.remove(&Reverse((at, number))).unwrap();
            self.now = at;
            match event {
                Event::Finish(n, inc, job) => self.finish(n, inc, job),
                Event::Message(n, from, inc, msg) => {
                    if let Some(node) = &mut self.nodes[n] {
                        node.dispatch.deliver(&from, inc, msg, at);
                    }
                    self.settle(n);
                }
            }
        }
        self.now = end;
        for n in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[n] {
                node.dispatch.tick(end);
            }
            self.settle(n);
        }
    }

    /// Returns how many requests of a workspace wait.
    pub fn waiting(&self, workspace: usize) -> usize {
        self.nodes
            .iter()
            .flatten()
            .flat_map(|n| n.open.values())
            .filter(|o| o.workspace == workspace && o.at.is_none())
            .count()
    }

    /// Returns whether more than a third of the routers vanished and were not yet dropped.
    pub fn many_dead(&self) -> bool {
        let live = self.nodes.iter().flatten().count();
        let dead = self.dead.iter().flatten().count();
        live * 3 < (live + dead) * 2
    }

    /// Returns the router that lends the slots.
    pub fn owner(&self) -> usize {
        let first = self.nodes.iter().flatten().next().unwrap();
        let owner = first.dispatch.dump().services[0].owner.clone().unwrap();
        owner.as_str()[1..].parse().unwrap()
    }

    /// Returns the share of a workspace.
    pub fn share(&self, w: usize) -> f64 {
        let shares = &self.rules.services[0].shares;
        let share = shares.iter().find(|s| s.workspace == workspace(w));
        share.map_or(1.0, |s| s.share.get())
    }

    /// Returns how many requests run.
    pub fn busy(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns how many may run.
    pub fn slots(&self) -> u32 {
        let open = self.replicas.iter().filter(|r| !r.leaving).count() as u32;
        open * self.rules.services[0].start.0
    }
}
