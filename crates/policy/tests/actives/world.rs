//! A fleet of routers that exchange messages in virtual time.

use {
    policy::{
        actives::{
            router_key,
            Actives,
            HelloKind,
            LoadFlags,
            RouterInfo,
            Urgency,
            HELLO_EVERY, //
        },
        placement::{
            Board,
            Load,
            ReplicaKey, //
        },
        Era,
        Incarnation,
        Listed,
        Roster,
        RouterId,
        Span,
        Time, //
    },
    std::{
        cmp::Reverse,
        collections::{
            BinaryHeap,
            HashMap,
            HashSet, //
        },
        net::SocketAddr, //
    },
};

/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.01;
/// Minimum number of active routers.
pub(crate) const ACTIVE_MIN: usize = 12;
/// Requests per second of all callers, who spread over the active routers.
const REQUESTS_PER_S: f64 = 2_400.0;
/// Number of addresses that a router sends to one that starts.
const KNOWN_ADDRESSES: usize = 64;
/// Bytes of a hello and of a load message, including the datagram headers.
const HELLO_BYTES: u64 = 170;
const LOADS_BYTES: u64 = 600;
/// Bytes of a summary of 160 replicas and 60 workspaces.
const SUMMARY_BYTES: u64 = 3_700;
/// Number of running requests from which a standby reports its load.
const BUSY: u32 = 4;
/// The only replica.
const REPLICA: ReplicaKey = ReplicaKey(1);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Payload {
    Hello {
        next: Span,
        known: Vec<SocketAddr>,
    },
    Loads {
        next: Span,
        flags: LoadFlags,
        running: u32,
    },
    Summary {
        next: Span,
        running: u32,
        sharers: usize,
    },
}

type Message = (
    Reverse<(Time, u64)>,
    usize,
    usize,
    u32,
    Incarnation,
    Era,
    Vec<ReplicaKey>,
    Payload,
);

#[derive(Debug)]
struct Router {
    fleet: Actives,
    board: Board,
    up: bool,
    number: u32,
    next_send: Time,
    /// The newest era of the store that it knows of, which each of its messages contains.
    era: Era,
    /// The replicas, of which its hellos name those that announced they are leaving.
    roster: Roster<()>,
}

/// The fleet, and the network between its routers.
#[derive(Debug)]
pub(crate) struct World {
    routers: Vec<Router>,
    messages: BinaryHeap<Message>,
    at: HashMap<SocketAddr, usize>,
    sequence: u64,
    pub(crate) now: Time,
    /// Zones that can't reach the others.
    pub(crate) partitioned: HashSet<usize>,
    /// Bytes that each router sent and received.
    pub(crate) sent: Vec<u64>,
    pub(crate) received: Vec<u64>,
    rng: fastrand::Rng,
}

pub(crate) const ZONES: usize = 5;

pub(crate) fn name(i: usize) -> RouterId {
    format!("r{i:03}").parse().unwrap()
}

fn address(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7000).into()
}

/// The first three routers of each zone are large, as some instances have more processor time.
fn info(i: usize, incarnation: u64) -> RouterInfo {
    RouterInfo {
        incarnation: Incarnation(incarnation),
        peers: address(i),
        callers: address(i),
        zone: format!("zone-{}", i % ZONES).parse().unwrap(),
        processor: if i < 3 * ZONES { 0.5 } else { 0.12 },
        ready: true,
    }
}

impl World {
    pub(crate) fn new(n: usize, seed: u64) -> World {
        let mut world = World {
            routers: Vec::new(),
            messages: BinaryHeap::new(),
            at: (0..n).map(|i| (address(i), i)).collect(),
            sequence: 0,
            now: Time(0),
            partitioned: HashSet::new(),
            sent: vec![0; n],
            received: vec![0; n],
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..n {
            let next_send = world.now + Span::millis(world.rng.u64(0..300));
            world.routers.push(Router {
                fleet: Actives::new(name(i), info(i, 1), ACTIVE_MIN, Span::millis(100)),
                board: Board::default(),
                up: true,
                number: 0,
                next_send,
                era: Era::default(),
                roster: Roster::default(),
            });
            world.seed(i);
        }
        world
    }

    /// Adds the three seed addresses of the settings to a router.
    fn seed(&mut self, i: usize) {
        for seed in 0..3.min(self.routers.len()) {
            self.routers[i].fleet.add_address(address(seed), self.now);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.routers.len()
    }

    /// Starts this many requests of a router at the replica, which do not end.
    pub(crate) fn start_requests(&mut self, i: usize, running: u32) {
        let load = Load {
            running,
            ..Load::default()
        };
        self.routers[i].board.start(REPLICA, load);
    }

    /// Returns how many requests a router has at the replica.
    pub(crate) fn local(&self, i: usize) -> u32 {
        self.routers[i].board.running()
    }

    /// Returns how many requests of all routers a router knows of.
    pub(crate) fn known(&self, i: usize) -> u32 {
        self.routers[i].board.view(self.now).running
    }

    /// Sets the store's era at a router.
    pub(crate) fn set_era(&mut self, i: usize, era: Era) {
        self.routers[i].era = era;
    }

    /// Returns the newest era that a router knows of.
    pub(crate) fn era(&self, i: usize) -> Era {
        self.routers[i].era
    }

    /// Lets a replica announce to a router that it is leaving.
    pub(crate) fn announce_leaving(&mut self, i: usize) {
        let now = self.now;
        self.routers[i].roster.announce_leaving(REPLICA, now);
    }

    /// Returns whether a router knows that the replica is leaving, though the list doesn't say so.
    pub(crate) fn knows_leaving(&mut self, i: usize) -> bool {
        let replica = Listed {
            id: "i-1".parse().unwrap(),
            key: REPLICA,
            value: (),
            draining: false,
        };
        let now = self.now;
        let roster = &mut self.routers[i].roster;
        roster.apply_list([replica], now);
        roster.ready().count() == 0
    }

    /// Returns among how many routers a router divides the retry budget.
    pub(crate) fn sharers(&self, i: usize) -> usize {
        self.routers[i].fleet.sharers(self.now)
    }

    /// Ends a router's process.
    pub(crate) fn kill(&mut self, i: usize) {
        self.routers[i].up = false;
    }

    /// Starts a router that knows only the seed addresses.
    pub(crate) fn start(&mut self, i: usize) {
        let incarnation = self.routers[i].fleet.local().incarnation.0 + 1;
        let local = info(i, incarnation);
        self.routers[i] = Router {
            fleet: Actives::new(name(i), local, ACTIVE_MIN, Span::millis(100)),
            board: Board::default(),
            up: true,
            number: 0,
            next_send: self.now + Span::millis(self.rng.u64(0..300)),
            era: Era::default(),
            roster: Roster::default(),
        };
        self.seed(i);
    }

    /// Lets a router announce that it takes no more callers.
    pub(crate) fn leave(&mut self, i: usize) {
        self.routers[i].fleet.set_ready(false);
        self.send_due(i, Urgency::All);
    }

    /// Returns the routers to which a router passes updates on, beside the active ones.
    pub(crate) fn followers(&mut self, i: usize) -> Vec<usize> {
        let now = self.now;
        let due = self.routers[i].fleet.due(false, Urgency::Relayed, now);
        let followers = due.followers.iter();
        followers.map(|addr| self.at[addr]).collect()
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::millis(5);
            self.deliver();
            for i in 0..self.routers.len() {
                if self.routers[i].up && self.now >= self.routers[i].next_send {
                    self.send_due(i, Urgency::None);
                }
            }
        }
    }

    fn send_due(&mut self, i: usize, urgency: Urgency) {
        let now = self.now;
        let router = &mut self.routers[i];
        router.number += 1;
        let number = router.number;
        let running = router.board.running();
        let due = router.fleet.due(running >= BUSY, urgency, now);
        let flags = LoadFlags {
            busy: running >= BUSY,
            from_active: router.fleet.acts_active(now),
            ..LoadFlags::default()
        };
        router
            .board
            .set_report_interval(router.fleet.gossip_interval());
        let sharers = router.fleet.sharers(now);
        let summaries: Vec<(SocketAddr, u32)> = due
            .relayed
            .iter()
            .map(|(name, addr)| (*addr, running_in(&router.board.loads_except(name, now))))
            .collect();
        router.next_send = now + router.fleet.gossip_interval();
        let loads = |next, flags| Payload::Loads {
            next,
            flags,
            running,
        };
        let hello = |next| Payload::Hello {
            next,
            known: Vec::new(),
        };
        for to in &due.active_peers {
            let next = due.active_next;
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(next));
            }
            let flags = LoadFlags {
                to_active: true,
                ..flags
            };
            self.send(i, *to, number, loads(next, flags));
        }
        for to in &due.addressed {
            let next = due.active_next;
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(next));
            }
            self.send(i, *to, number, loads(next, flags));
        }
        for to in &due.busy_standbys {
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(due.busy_next));
            }
        }
        for (to, running) in summaries {
            let next = due.active_next;
            let summary = Payload::Summary {
                next,
                running,
                sharers,
            };
            self.send(i, to, number, summary);
        }
        for to in &due.followers {
            self.send(i, *to, number, hello(due.followers_next));
        }
        for to in &due.remote {
            self.send(i, *to, number, hello(due.remote_next));
        }
        for to in &due.standbys {
            self.send(i, *to, number, hello(due.standbys_next));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, number: u32, payload: Payload) {
        let bytes = match &payload {
            Payload::Hello { known, .. } => HELLO_BYTES + 12 * known.len() as u64,
            Payload::Loads { .. } => LOADS_BYTES,
            Payload::Summary { .. } => SUMMARY_BYTES,
        };
        self.sent[from] += bytes;
        let Some(to) = self.at.get(&to).copied() else {
            return;
        };
        if self.rng.f64() < LOSS_RATE {
            return;
        }
        let at = self.now + Span::millis(self.rng.u64(1..8));
        self.sequence += 1;
        let incarnation = self.routers[from].fleet.local().incarnation;
        self.received[to] += bytes;
        let leaving = match &payload {
            Payload::Hello { .. } => self.routers[from].roster.announced_leaving(self.now),
            _ => Vec::new(),
        };
        self.messages.push((
            Reverse((at, self.sequence)),
            from,
            to,
            number,
            incarnation,
            self.routers[from].era,
            leaving,
            payload,
        ));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let partitioned = |i: usize| self.partitioned.contains(&(i % ZONES));
        from % ZONES == to % ZONES || !partitioned(from) && !partitioned(to)
    }

    fn deliver(&mut self) {
        while self.messages.peek().is_some_and(|w| w.0 .0 .0 <= self.now) {
            let (_, from, to, number, incarnation, era, leaving, payload) =
                self.messages.pop().unwrap();
            if !self.routers[to].up || !self.reaches(from, to) {
                continue;
            }
            let known = &mut self.routers[to].era;
            *known = era.max(*known);
            for key in leaving {
                self.routers[to].roster.announce_leaving(key, self.now);
            }
            match payload {
                Payload::Hello { next, known } => {
                    self.hello(from, to, number, incarnation, next, &known)
                }
                Payload::Loads {
                    next,
                    flags,
                    running,
                } => {
                    let key = router_key(&name(from), incarnation);
                    let router = &mut self.routers[to];
                    let received_from = router
                        .fleet
                        .receive_loads(key, number, next, flags, self.now);
                    if received_from.is_some() {
                        router
                            .board
                            .set_peer(&name(from), &at_replica(running), self.now);
                    }
                }
                Payload::Summary {
                    next,
                    running,
                    sharers,
                } => {
                    let key = router_key(&name(from), incarnation);
                    let router = &mut self.routers[to];
                    let flags = LoadFlags::default();
                    let received_from = router
                        .fleet
                        .receive_loads(key, number, next, flags, self.now);
                    if received_from.is_some() {
                        router.fleet.set_sharers(sharers, self.now);
                        router.board.set_summary(&at_replica(running), self.now);
                    }
                }
            }
        }
    }

    fn hello(
        &mut self,
        from: usize,
        to: usize,
        number: u32,
        incarnation: Incarnation,
        next: Span,
        known: &[SocketAddr],
    ) {
        let now = self.now;
        let info = RouterInfo {
            incarnation,
            ..self.routers[from].fleet.local().clone()
        };
        let asks_for_addresses = self.routers[from].fleet.needs_addresses();
        let silent = self.routers[from].fleet.silent();
        let sender = &self.routers[from].fleet;
        let rate = match sender.is_active() {
            true => REQUESTS_PER_S / sender.active_count() as f64,
            false => 0.0,
        };
        let fleet = &mut self.routers[to].fleet;
        let kind = fleet.receive_hello(&name(from), number, info, next, rate, now);
        if kind == HelloKind::Stale {
            return;
        }
        fleet.receive_silent(&silent, now);
        for addr in known {
            fleet.add_address(*addr, now);
        }
        if kind == HelloKind::First && asks_for_addresses {
            self.answer(to, from);
        }
    }

    fn answer(&mut self, i: usize, to: usize) {
        let skip = self.rng.usize(..1_000);
        let router = &mut self.routers[i];
        router.number += 1;
        let (number, next) = (router.number, router.fleet.hello_interval());
        let known = router.fleet.sample_addresses(KNOWN_ADDRESSES, skip);
        self.send(i, address(to), number, Payload::Hello { next, known });
    }

    /// Returns the routers that a router considers active, in order.
    pub(crate) fn active(&mut self, i: usize) -> Vec<RouterId> {
        let now = self.now;
        let fleet = &mut self.routers[i].fleet;
        fleet.refresh(now);
        let mut all: Vec<RouterId> = fleet.active().map(|(name, _)| name.clone()).collect();
        if fleet.is_active() {
            all.push(fleet.name().clone());
        }
        all.sort();
        all
    }

    /// Returns how many of the routers that a router would list to callers are down.
    pub(crate) fn dead_listed(&mut self, i: usize) -> usize {
        let up: HashSet<RouterId> = (0..self.len())
            .filter(|i| self.routers[*i].up)
            .map(name)
            .collect();
        let listed = self.active(i);
        listed.iter().filter(|name| !up.contains(name)).count()
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.len()).filter(|i| self.routers[*i].up).collect()
    }

    /// Returns the time until nearly all live routers agree on the active ones, or none if that
    /// takes longer than `most`.
    ///
    /// A lost message is followed by another only seconds later, so a standby may miss one or two
    /// of the active routers, which does no harm.
    pub(crate) fn agree_within(&mut self, most: Span) -> Option<Span> {
        let from = self.now;
        while self.now.since(from) <= most {
            if self.agree() {
                return Some(self.now.since(from));
            }
            self.run(Span::millis(500));
        }
        None
    }

    fn agree(&mut self) -> bool {
        let up = self.up();
        let Some(i) = up.iter().copied().find(|i| self.is_active(*i)) else {
            return false;
        };
        let first = self.active(i);
        let difference = |other: Vec<RouterId>| {
            let missing = first.iter().filter(|name| !other.contains(name)).count();
            let more = other.iter().filter(|name| !first.contains(name)).count();
            missing.max(more)
        };
        // The requests need more processor time than the minimum number of routers has.
        first.len() >= ACTIVE_MIN.min(up.len())
            && up.iter().all(|i| difference(self.active(*i)) <= 2)
    }

    /// Returns the lowest number of routers that an active router knows, and that a standby knows.
    pub(crate) fn fewest_known(&self) -> (usize, usize) {
        let fewest = |active: bool| {
            let up = self
                .routers
                .iter()
                .filter(|r| r.up && r.fleet.is_active() == active);
            up.map(|r| r.fleet.count(self.now))
                .min()
                .unwrap_or(self.len())
        };
        (fewest(true), fewest(false))
    }

    /// Resets the byte counts.
    pub(crate) fn reset_bytes(&mut self) {
        self.sent.fill(0);
        self.received.fill(0);
    }

    /// Returns whether a router considers itself active.
    pub(crate) fn is_active(&mut self, i: usize) -> bool {
        let now = self.now;
        let fleet = &mut self.routers[i].fleet;
        fleet.refresh(now);
        fleet.is_active()
    }
}

fn at_replica(running: u32) -> [(ReplicaKey, Load); 1] {
    let load = Load {
        running,
        ..Load::default()
    };
    [(REPLICA, load)]
}

fn running_in(loads: &[(ReplicaKey, Load)]) -> u32 {
    loads.iter().map(|(_, load)| load.running).sum()
}
