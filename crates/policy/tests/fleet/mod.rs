//! Simulation of several routers' decisions, with a simple model of network and replicas.
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
/// Framing overhead of a message in bytes.
const FRAME: u64 = 10;

/// Properties of the network between routers.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    pub delay: Span,
    /// Maximum additional delay, drawn for each message, which reorders messages.
    pub jitter: Span,
    /// Lost messages, in percent.
    pub loss: u8,
    /// Duplicated messages, in percent.
    pub duplicate: u8,
}

impl Net {
    /// A network that loses, duplicates or reorders nothing.
    pub const RELIABLE: Net = Net {
        delay: Span(1_500),
        jitter: Span::ZERO,
        loss: 0,
        duplicate: 0,
    };

    pub fn is_reliable(&self) -> bool {
        self.loss == 0 && self.duplicate == 0 && self.jitter == Span::ZERO
    }
}

pub struct Node {
    pub dispatch: Dispatch,
    pub peer: Peer,
    /// Requests accepted and not ended.
    pub open: BTreeMap<JobId, OpenRequest>,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub messages: u64,
}

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    pub workspace: usize,
    pub run: Span,
    pub cost: f64,
    pub started: Option<(ReplicaId, Time)>,
    pub arrived: Time,
    pub deadline: Time,
}

enum Event {
    Message(usize, RouterId, Incarnation, Message),
    Finish(usize, Incarnation, JobId),
}

/// The end of one request.
#[derive(Debug, Clone)]
pub struct Ended {
    pub router: usize,
    pub workspace: usize,
    pub rejected: Option<(policy::Refusal, Span)>,
    pub waited: Span,
}

pub struct Fleet {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub nodes: Vec<Option<Node>>,
    pub net: Net,
    /// Routers on the other side of a partition.
    pub partitioned: BTreeSet<usize>,
    /// Whether every router knows the current list of replicas.
    pub replicas_current: bool,
    pub rules: Rules,
    pub replicas: Vec<Replica>,
    pub running: BTreeMap<ReplicaId, u32>,
    pub served: Vec<f64>,
    pub ended: Vec<Ended>,
    /// Requests lost with their router.
    pub lost: usize,
    pub starts: u64,
    /// When a request of each workspace last started.
    pub last_start: Vec<Time>,
    incarnations: u64,
    events: BTreeMap<Reverse<(Time, u64)>, Event>,
    event_count: u64,
    /// Routers that were killed, as the others still know them.
    killed: Vec<Option<Peer>>,
}

/// A closed-loop load: each caller submits its next request as soon as it has an answer.
pub struct ClosedLoopLoad {
    /// Number of callers by workspace and router.
    pub callers: Vec<Vec<usize>>,
}

impl ClosedLoopLoad {
    /// Submits a request for each caller that has its answer.
    pub fn submit_missing(&self, f: &mut Fleet, run: (u64, u64)) {
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
            net: Net::RELIABLE,
            partitioned: BTreeSet::new(),
            replicas_current: true,
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
            event_count: 0,
            killed: vec![None; routers],
        };
        for n in 0..routers {
            fleet.start_router(n);
        }
        fleet.announce_routers();
        fleet
    }

    /// Starts a router without any state.
    pub fn restart(&mut self, n: usize) {
        self.start_router(n);
        self.announce_routers();
    }

    fn start_router(&mut self, n: usize) {
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
            sent_bytes: 0,
            received_bytes: 0,
            messages: 0,
        });
        self.killed[n] = None;
    }

    /// Kills a router with all that it runs; the others detect it by `announce_routers`.
    pub fn kill(&mut self, n: usize) {
        let Some(node) = self.nodes[n].take() else {
            return;
        };
        for open in node.open.into_values() {
            self.free_slot(&open);
            self.lost += 1;
        }
        self.killed[n] = Some(node.peer);
    }

    /// Cancels the oldest request at a router.
    pub fn cancel(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        let Some((id, open)) = node.open.pop_first() else {
            return;
        };
        node.dispatch.cancel(id, self.now);
        self.lost += 1;
        self.free_slot(&open);
        self.apply_actions(n);
    }

    /// Sends every router the list of the others, with those that it can reach.
    pub fn announce_routers(&mut self) {
        let dead = |p: &Option<Peer>| {
            let state = PeerState::Suspect;
            p.clone().map(|p| Peer { state, ..p })
        };
        let peers: Vec<Option<Peer>> = self
            .nodes
            .iter()
            .zip(&self.killed)
            .map(|(n, d)| n.as_ref().map_or(dead(d), |n| Some(n.peer.clone())))
            .collect();
        for n in 0..self.nodes.len() {
            let list = peers
                .iter()
                .enumerate()
                .filter(|(m, _)| *m != n)
                .filter_map(|(m, p)| {
                    let mut p = p.clone()?;
                    if self.partitioned.contains(&m) != self.partitioned.contains(&n) {
                        p.state = PeerState::Suspect;
                    }
                    Some(p)
                })
                .collect();
            if let Some(node) = &mut self.nodes[n] {
                node.dispatch.set_routers(list, self.now);
            }
            self.apply_actions(n);
        }
    }

    /// Begins or cancels the shutdown of a replica; the routers learn it by `announce_replicas`.
    pub fn mark_replica(&mut self, n: usize, leaving: bool) {
        self.replicas[n].leaving = leaving;
        self.replicas_current = false;
    }

    /// Sends every router the list of replicas.
    pub fn announce_replicas(&mut self) {
        for n in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[n] {
                let list = self.replicas.clone();
                node.dispatch.set_replicas(&service(), list, self.now);
            }
            self.apply_actions(n);
        }
        self.replicas_current = true;
    }

    /// Shuts a router down gracefully: it accepts no requests and finishes the running ones.
    pub fn leave(&mut self, n: usize) {
        if let Some(node) = &mut self.nodes[n] {
            node.peer.state = PeerState::Leaving;
            node.dispatch.leave(self.now);
        }
        self.apply_actions(n);
        self.announce_routers();
    }

    /// Partitions these routers from the others; an empty set ends the partition.
    pub fn partition(&mut self, cut: BTreeSet<usize>) {
        self.partitioned = cut;
        self.announce_routers();
    }

    /// Submits a request at a router.
    pub fn submit(
        &mut self,
        n: usize,
        workspace: usize,
        run: Span,
        cost: f64,
        hint: f64,
        timeout: Span,
    ) {
        let job = Job {
            service: service(),
            workspace: self::workspace(workspace),
            arrived: self.now,
            deadline: self.now + timeout,
            urgency: (self.now.0 / 10_000 % 10) as u8,
            hint: Units(hint),
            share: Share::ONE,
            expected_run: Span::ZERO,
            prefix: None,
        };
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        let open = OpenRequest {
            workspace,
            run,
            cost,
            started: None,
            arrived: self.now,
            deadline: self.now + timeout,
        };
        let id = node.dispatch.submit(job, self.now);
        node.open.insert(id, open);
        self.apply_actions(n);
    }

    /// Applies the actions of a router.
    pub fn apply_actions(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        for action in node.dispatch.take_actions() {
            match action {
                Action::Start { job, replica } => self.start_request(n, job, replica),
                Action::Reject {
                    job,
                    reason,
                    retry_after,
                } => self.reject(n, job, reason, retry_after),
                Action::Send { to, msg } => self.send(n, &to, msg),
            }
        }
    }

    fn start_request(&mut self, n: usize, job: JobId, replica: ReplicaId) {
        let node = self.nodes[n].as_mut().unwrap();
        let inc = node.peer.incarnation;
        let open = node.open.get_mut(&job).expect("an unknown job was started");
        assert!(open.started.is_none(), "a job was started twice");
        open.started = Some((replica.clone(), self.now));
        let done = self.now + open.run;
        *self.running.entry(replica.clone()).or_default() += 1;
        self.starts += 1;
        self.last_start[open.workspace] = self.now;
        let withdrawn = self.replicas.iter().any(|r| r.leaving && r.id == replica);
        assert!(
            !withdrawn || !self.replicas_current,
            "a request was started on a replica that is shutting down"
        );
        self.push(done, Event::Finish(n, inc, job));
    }

    fn reject(&mut self, n: usize, job: JobId, reason: policy::Refusal, retry_after: Span) {
        let node = self.nodes[n].as_mut().unwrap();
        let open = node.open.remove(&job).expect("an unknown job was rejected");
        assert!(open.started.is_none(), "a started job was rejected");
        self.ended.push(Ended {
            router: n,
            workspace: open.workspace,
            rejected: Some((reason, retry_after)),
            waited: self.now.since(open.arrived),
        });
    }

    fn send(&mut self, n: usize, to: &RouterId, msg: Message) {
        let node = self.nodes[n].as_mut().unwrap();
        let bytes = rmp_serde::to_vec(&msg).unwrap();
        node.sent_bytes += bytes.len() as u64 + FRAME;
        node.messages += 1;
        let (id, inc) = (node.peer.id.clone(), node.peer.incarnation);
        let m: usize = to.as_str()[1..].parse().unwrap();
        if self.partitioned.contains(&m) != self.partitioned.contains(&n)
            || self.rng.u8(..100) < self.net.loss
        {
            return;
        }
        if let Some(to) = &mut self.nodes[m] {
            to.received_bytes += bytes.len() as u64 + FRAME;
        }
        let times = if self.rng.u8(..100) < self.net.duplicate {
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
        self.event_count += 1;
        self.events.insert(Reverse((at, self.event_count)), event);
    }

    fn free_slot(&mut self, open: &OpenRequest) {
        if let Some((replica, _)) = &open.started {
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
        let started_at = open.started.as_ref().unwrap().1;
        self.free_slot(&open);
        self.served[open.workspace] += open.cost;
        self.ended.push(Ended {
            router: n,
            workspace: open.workspace,
            rejected: None,
            waited: started_at.since(open.arrived),
        });
        self.apply_actions(n);
    }

    /// Advances time to the next tick, and ticks every router.
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
                    self.apply_actions(n);
                }
            }
        }
        self.now = end;
        for n in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[n] {
                node.dispatch.tick(end);
            }
            self.apply_actions(n);
        }
    }

    /// Returns the number of queued requests of a workspace.
    pub fn waiting(&self, workspace: usize) -> usize {
        self.nodes
            .iter()
            .flatten()
            .flat_map(|n| n.open.values())
            .filter(|o| o.workspace == workspace && o.started.is_none())
            .count()
    }

    /// Returns whether more than a third of the routers were killed and are still listed.
    pub fn many_dead(&self) -> bool {
        let live = self.nodes.iter().flatten().count();
        let dead = self.killed.iter().flatten().count();
        live * 3 < (live + dead) * 2
    }

    /// Returns the owner of the pool.
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

    /// Returns the number of running requests.
    pub fn busy(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        let open = self.replicas.iter().filter(|r| !r.leaving).count() as u32;
        open * self.rules.services[0].start.0
    }
}
