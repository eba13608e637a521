//! A simulated fleet of membership tables and the network between them, in virtual time.

use {
    fastrand::Rng,
    policy::{
        members::{
            Event,
            Heartbeat,
            LocalStatus,
            Members,
            MembershipParams,
            RouterAddresses,
            State, //
        },
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

/// The time step of the simulation.
const STEP: Span = Span::millis(10);
/// The time between the resumption of a stopped process and its first read from a socket.
const RESUME_DELAY: Span = Span::millis(100);

/// One router process.
pub struct Node {
    pub table: Members,
    pub incarnation: u64,
    pub up: bool,
    /// When the process resumes, if it is stopped.
    pub frozen: Option<Time>,
    pub replaced: bool,
    /// The revision in force, adopted from the first heartbeat with a higher one.
    pub config: u64,
    pub leaving: bool,
    pub heartbeats: u64,
    pub bytes: u64,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub rng: Rng,
    /// Pairs (from, to) whose heartbeats are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    pub loss: f64,
    /// Fraction of the heartbeats that arrive twice.
    pub duplicated: f64,
    /// Mean of the exponential delay that is added to the minimum network delay.
    pub jitter: Span,
    pub tick: Span,
    /// How often a running router was declared suspect, and dead.
    pub false_alarms: (u32, u32),
    ids: Vec<RouterId>,
    wire: BTreeMap<(Time, u64), (usize, Incarnation, Heartbeat)>,
    sent: u64,
    seen: BTreeMap<(usize, usize), State>,
}

pub fn id(i: usize) -> RouterId {
    format!("router-{i}").parse().unwrap()
}

fn index(id: &RouterId) -> usize {
    id.as_str()[7..].parse().unwrap()
}

pub fn addresses(i: usize) -> RouterAddresses {
    RouterAddresses {
        addr: ([10, 0, (i / 250) as u8, (i % 250) as u8], 7400).into(),
        caller_addr: ([10, 0, (i / 250) as u8, (i % 250) as u8], 7500).into(),
        operator_addr: None,
        zone: format!("hall-{}", i % 3).parse().unwrap(),
    }
}

impl Node {
    pub fn adopt_config(&mut self, config: u64) {
        self.config = self.config.max(config);
        self.table.set_local_status(LocalStatus {
            config: self.config,
            leaving: self.leaving,
            ..LocalStatus::default()
        });
    }
}

impl Fleet {
    pub fn new(n: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Time(1_000_000),
            nodes: Vec::new(),
            rng: Rng::with_seed(seed),
            blocked: BTreeSet::new(),
            loss: 0.0,
            duplicated: 0.0,
            jitter: Span::millis(1),
            tick: Span::millis(50),
            false_alarms: (0, 0),
            ids: (0..n).map(id).collect(),
            wire: BTreeMap::new(),
            sent: 0,
            seen: BTreeMap::new(),
        };
        for i in 0..n {
            let node = fleet.start(i, n, 1);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&self, i: usize, n: usize, incarnation: u64) -> Node {
        let seed = i as u64 + incarnation * 1000;
        let start = Incarnation(incarnation);
        let mut table = Members::new(
            id(i),
            start,
            addresses(i),
            MembershipParams::default(),
            seed,
        );
        for j in 0..n {
            table.seed(id(j), addresses(j), self.now);
        }
        Node {
            table,
            incarnation,
            up: true,
            frozen: None,
            replaced: false,
            config: 0,
            leaving: false,
            heartbeats: 0,
            bytes: 0,
        }
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    pub fn restart(&mut self, i: usize) {
        let n = self.nodes.len();
        let next = self.nodes[i].incarnation + 1;
        self.nodes[i] = self.start(i, n, next);
    }

    pub fn freeze(&mut self, i: usize, s: Span) {
        // Heartbeats that arrive meanwhile are queued until the process resumes, so a freeze
        // can be extended but not shortened.
        self.nodes[i].frozen = self.nodes[i].frozen.max(Some(self.now + s));
    }

    /// Drops every heartbeat between the two sides.
    pub fn split(&mut self, left: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if left.contains(&a) != left.contains(&b) {
                    self.blocked.insert((a, b));
                }
            }
        }
    }

    pub fn leave(&mut self, i: usize) {
        self.nodes[i].leaving = true;
        self.nodes[i].adopt_config(0);
    }

    pub fn run(&mut self, s: Span) {
        let end = self.now + s;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until `done`, for at most `most`; returns the elapsed time.
    pub fn until(&mut self, most: Span, done: impl Fn(&Fleet) -> bool) -> Option<Span> {
        let start = self.now;
        // Checking all pairs of a large fleet costs more than the simulation itself.
        let look = if self.nodes.len() > 100 { 10 } else { 1 };
        while !done(self) {
            if self.now.since(start) >= most {
                return None;
            }
            self.run(Span(STEP.0 * look));
        }
        Some(self.now.since(start))
    }

    /// Returns the state of `b` in the table of `a`.
    pub fn state(&self, a: usize, b: usize) -> Option<State> {
        self.nodes[a].table.get(&self.ids[b]).map(|m| m.state)
    }

    /// Returns whether every running router sees `b` in this state.
    pub fn all_see(&self, b: usize, state: State) -> bool {
        (0..self.nodes.len())
            .filter(|a| *a != b && self.running(*a))
            .all(|a| self.state(a, b) == Some(state))
    }

    /// Returns whether every running router sees every other one as live.
    pub fn all_live(&self) -> bool {
        (0..self.nodes.len())
            .filter(|b| self.running(*b))
            .all(|b| self.all_see(b, State::Live))
    }

    pub fn running(&self, a: usize) -> bool {
        self.nodes[a].up && self.nodes[a].frozen.is_none()
    }

    fn step(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            node.frozen = node.frozen.filter(|t| *t > now);
        }
        self.deliver();
        for i in 0..self.nodes.len() {
            let tick_due = (now.0 + i as u64 * STEP.0) % self.tick.0 == 0;
            if tick_due && self.running(i) {
                self.nodes[i].table.tick(now);
            }
            self.send(i);
        }
    }

    fn deliver(&mut self) {
        let mut held = Vec::new();
        while let Some(entry) = self.wire.first_entry() {
            let (at, n) = *entry.key();
            if at > self.now {
                break;
            }
            let (to, incarnation, heartbeat) = entry.remove();
            let node = &mut self.nodes[to];
            if !node.up || incarnation != Incarnation(node.incarnation) {
                continue;
            }
            match node.frozen {
                // A resumed process reads its clock before its sockets.
                Some(t) => held.push(((t + RESUME_DELAY, n), (to, incarnation, heartbeat))),
                None => {
                    node.adopt_config(heartbeat.config);
                    node.table.receive_heartbeat(heartbeat, self.now);
                }
            }
        }
        self.wire.extend(held);
    }

    fn send(&mut self, i: usize) {
        let events = self.nodes[i].table.take_events();
        if !self.nodes[i].up {
            return;
        }
        let mut changed = false;
        for e in events {
            match e {
                Event::SendHeartbeat { to, heartbeat, .. } => {
                    self.transmit(i, index(&to), *heartbeat)
                }
                Event::Changed => changed = true,
                Event::Replaced(_) => self.nodes[i].replaced = true,
            }
        }
        if changed {
            self.count_false_alarms(i);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, heartbeat: Heartbeat) {
        self.nodes[from].heartbeats += 1;
        self.nodes[from].bytes += rmp_serde::to_vec(&heartbeat).unwrap().len() as u64;
        if self.blocked.contains(&(from, to)) || self.rng.f64() < self.loss {
            return;
        }
        let peer = Incarnation(self.nodes[to].incarnation);
        let copies = 1 + u64::from(self.rng.f64() < self.duplicated);
        for _ in 0..copies {
            let tail = -(1.0 - self.rng.f64()).ln() * self.jitter.0 as f64;
            let at = self.now + Span(1_500 + tail as u64);
            self.sent += 1;
            self.wire
                .insert((at, self.sent), (to, peer, heartbeat.clone()));
        }
    }

    /// Counts the running routers that one router newly declares suspect or dead.
    fn count_false_alarms(&mut self, a: usize) {
        for b in 0..self.nodes.len() {
            let Some(state) = self.state(a, b) else {
                continue;
            };
            let before = self.seen.insert((a, b), state);
            if before == Some(state) || !self.running(b) {
                continue;
            }
            match state {
                State::Suspect => self.false_alarms.0 += 1,
                State::Dead => self.false_alarms.1 += 1,
                _ => {}
            }
        }
    }
}
