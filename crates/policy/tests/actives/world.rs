//! A fleet of routers that tell each other who they are, in virtual time.

use {
    policy::{
        actives::{
            router_key,
            Actives,
            HelloKind,
            LoadFlags,
            RouterInfo,
            HELLO_EVERY, //
        },
        placement::{
            Board,
            Load,
            ReplicaKey, //
        },
        Era,
        Incarnation,
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

/// One word in so many is lost.
const LOST: f64 = 0.01;
/// Least number of active routers.
pub(crate) const LEAST: usize = 12;
/// Requests a second of all callers, who spread over the routers that are active.
const RATE: f64 = 2_400.0;
/// Addresses of others that one who starts is told.
const KNOWN: usize = 64;
/// Bytes of a word on who a router is, and of one on its loads, with the heads of its datagram.
const HELLO_BYTES: u64 = 170;
const LOADS_BYTES: u64 = 600;
/// Bytes of a summary of 160 replicas and 60 workspaces.
const SUMMARY_BYTES: u64 = 3_700;
/// Requests at replicas from which on a router that stands by tells of them.
const BUSY: u32 = 4;
/// The one replica that there is.
const REPLICA: ReplicaKey = ReplicaKey(1);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Hello {
        next: Span,
        known: Vec<SocketAddr>,
    },
    Loads {
        next: Span,
        said: LoadFlags,
        running: u32,
    },
    Summary {
        next: Span,
        running: u32,
        sharers: usize,
    },
}

type Word = (
    Reverse<(Time, u64)>,
    usize,
    usize,
    u32,
    Incarnation,
    Era,
    What,
);

#[derive(Debug)]
struct Router {
    fleet: Actives,
    board: Board,
    up: bool,
    number: u32,
    speaks: Time,
    /// The newest era of the store that it knows of, which each of its words carries.
    era: Era,
}

/// The fleet, and the network between its routers.
#[derive(Debug)]
pub(crate) struct World {
    routers: Vec<Router>,
    words: BinaryHeap<Word>,
    at: HashMap<SocketAddr, usize>,
    sequence: u64,
    pub(crate) now: Time,
    /// Zones that can't reach the others.
    pub(crate) cut: HashSet<usize>,
    /// What each router sent and got, in bytes.
    pub(crate) sent: Vec<u64>,
    pub(crate) got: Vec<u64>,
    rng: fastrand::Rng,
}

const ZONES: usize = 5;

pub(crate) fn name(i: usize) -> RouterId {
    format!("r{i:03}").parse().unwrap()
}

fn address(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7000).into()
}

/// Two in five zones' first routers are large, as a few are on the users' instances.
fn intro(i: usize, incarnation: u64) -> RouterInfo {
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
            words: BinaryHeap::new(),
            at: (0..n).map(|i| (address(i), i)).collect(),
            sequence: 0,
            now: Time(0),
            cut: HashSet::new(),
            sent: vec![0; n],
            got: vec![0; n],
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..n {
            let speaks = world.now + Span::millis(world.rng.u64(0..300));
            world.routers.push(Router {
                fleet: Actives::new(name(i), intro(i, 1), LEAST, Span::millis(100)),
                board: Board::default(),
                up: true,
                number: 0,
                speaks,
                era: Era::default(),
            });
            world.seed(i);
        }
        world
    }

    /// Tells a router of the three whose addresses settings name.
    fn seed(&mut self, i: usize) {
        for seed in 0..3.min(self.routers.len()) {
            self.routers[i].fleet.add_address(address(seed), self.now);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.routers.len()
    }

    /// Has a router send so many requests to the replica, which do not end.
    pub(crate) fn hold(&mut self, i: usize, running: u32) {
        let load = Load {
            running,
            ..Load::default()
        };
        self.routers[i].board.start(REPLICA, load);
    }

    /// Returns how many requests a router has at the replica.
    pub(crate) fn own(&self, i: usize) -> u32 {
        self.routers[i].board.running()
    }

    /// Returns how many requests of all routers one knows of.
    pub(crate) fn known(&self, i: usize) -> u32 {
        self.routers[i].board.view(self.now).running
    }

    /// Has the store name an era to a router.
    pub(crate) fn name_era(&mut self, i: usize, era: Era) {
        self.routers[i].era = era;
    }

    /// Returns the newest era that a router knows of.
    pub(crate) fn era(&self, i: usize) -> Era {
        self.routers[i].era
    }

    /// Returns among how many routers one takes what the fleet may spend to be divided.
    pub(crate) fn sharers(&self, i: usize) -> usize {
        self.routers[i].fleet.sharers(self.now)
    }

    /// Ends a router's process.
    pub(crate) fn kill(&mut self, i: usize) {
        self.routers[i].up = false;
    }

    /// Starts a router that knows nobody but those that its settings name.
    pub(crate) fn start(&mut self, i: usize) {
        let incarnation = self.routers[i].fleet.local().incarnation.0 + 1;
        let own = intro(i, incarnation);
        self.routers[i] = Router {
            fleet: Actives::new(name(i), own, LEAST, Span::millis(100)),
            board: Board::default(),
            up: true,
            number: 0,
            speaks: self.now + Span::millis(self.rng.u64(0..300)),
            era: Era::default(),
        };
        self.seed(i);
    }

    /// Has a router say that it takes no more callers.
    pub(crate) fn leave(&mut self, i: usize) {
        self.routers[i].fleet.set_ready(false);
        self.speak(i, true);
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::millis(5);
            self.deliver();
            for i in 0..self.routers.len() {
                if self.routers[i].up && self.now >= self.routers[i].speaks {
                    self.speak(i, false);
                }
            }
        }
    }

    fn speak(&mut self, i: usize, urgent: bool) {
        let now = self.now;
        let router = &mut self.routers[i];
        router.number += 1;
        let number = router.number;
        let running = router.board.running();
        let due = router.fleet.due(running >= BUSY, urgent, now);
        let said = LoadFlags {
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
        router.speaks = now + router.fleet.gossip_interval();
        let loads = |next, said| What::Loads {
            next,
            said,
            running,
        };
        let hello = |next| What::Hello {
            next,
            known: Vec::new(),
        };
        for to in &due.active_peers {
            let next = due.active_next;
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(next));
            }
            let said = LoadFlags {
                to_active: true,
                ..said
            };
            self.send(i, *to, number, loads(next, said));
        }
        for to in &due.addressed {
            let next = due.active_next;
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(next));
            }
            self.send(i, *to, number, loads(next, said));
        }
        for to in &due.busy_standbys {
            if number % HELLO_EVERY == 1 {
                self.send(i, *to, number, hello(due.busy_next));
            }
        }
        for (to, running) in summaries {
            let next = due.active_next;
            let summary = What::Summary {
                next,
                running,
                sharers,
            };
            self.send(i, to, number, summary);
        }
        for to in &due.remote {
            self.send(i, *to, number, hello(due.remote_next));
        }
        for to in &due.standbys {
            self.send(i, *to, number, hello(due.standbys_next));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, number: u32, what: What) {
        let bytes = match &what {
            What::Hello { known, .. } => HELLO_BYTES + 12 * known.len() as u64,
            What::Loads { .. } => LOADS_BYTES,
            What::Summary { .. } => SUMMARY_BYTES,
        };
        self.sent[from] += bytes;
        let Some(to) = self.at.get(&to).copied() else {
            return;
        };
        if self.rng.f64() < LOST {
            return;
        }
        let at = self.now + Span::millis(self.rng.u64(1..8));
        self.sequence += 1;
        let incarnation = self.routers[from].fleet.local().incarnation;
        self.got[to] += bytes;
        self.words.push((
            Reverse((at, self.sequence)),
            from,
            to,
            number,
            incarnation,
            self.routers[from].era,
            what,
        ));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |i: usize| self.cut.contains(&(i % ZONES));
        from % ZONES == to % ZONES || !cut(from) && !cut(to)
    }

    fn deliver(&mut self) {
        while self.words.peek().is_some_and(|w| w.0 .0 .0 <= self.now) {
            let (_, from, to, number, incarnation, era, what) = self.words.pop().unwrap();
            if !self.routers[to].up || !self.reaches(from, to) {
                continue;
            }
            let known = &mut self.routers[to].era;
            *known = era.max(*known);
            match what {
                What::Hello { next, known } => {
                    self.hello(from, to, number, incarnation, next, &known)
                }
                What::Loads {
                    next,
                    said,
                    running,
                } => {
                    let key = router_key(&name(from), incarnation);
                    let router = &mut self.routers[to];
                    let heard = router
                        .fleet
                        .receive_loads(key, number, next, said, self.now);
                    if heard.is_some() {
                        router
                            .board
                            .set_peer(&name(from), &at_replica(running), self.now);
                    }
                }
                What::Summary {
                    next,
                    running,
                    sharers,
                } => {
                    let key = router_key(&name(from), incarnation);
                    let router = &mut self.routers[to];
                    let said = LoadFlags::default();
                    let heard = router
                        .fleet
                        .receive_loads(key, number, next, said, self.now);
                    if heard.is_some() {
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
        let intro = RouterInfo {
            incarnation,
            ..self.routers[from].fleet.local().clone()
        };
        let asks = self.routers[from].fleet.needs_addresses();
        let silent = self.routers[from].fleet.silent();
        let speaker = &self.routers[from].fleet;
        let rate = match speaker.is_active() {
            true => RATE / speaker.active_count() as f64,
            false => 0.0,
        };
        let fleet = &mut self.routers[to].fleet;
        let heard = fleet.receive_hello(&name(from), number, intro, next, rate, now);
        if heard == HelloKind::Stale {
            return;
        }
        fleet.receive_silent(&silent, now);
        for addr in known {
            fleet.add_address(*addr, now);
        }
        if heard == HelloKind::First && asks {
            self.answer(to, from);
        }
    }

    fn answer(&mut self, i: usize, to: usize) {
        let skip = self.rng.usize(..1_000);
        let router = &mut self.routers[i];
        router.number += 1;
        let (number, next) = (router.number, router.fleet.hello_interval());
        let known = router.fleet.sample_addresses(KNOWN, skip);
        self.send(i, address(to), number, What::Hello { next, known });
    }

    /// Returns the routers that one takes for active, in order.
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

    /// Returns how many of those that a router would name to callers are down.
    pub(crate) fn dead_named(&mut self, i: usize) -> usize {
        let up: HashSet<RouterId> = (0..self.len())
            .filter(|i| self.routers[*i].up)
            .map(name)
            .collect();
        let named = self.active(i);
        named.iter().filter(|name| !up.contains(name)).count()
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.len()).filter(|i| self.routers[*i].up).collect()
    }

    /// Returns after how long nearly all that are up take the same routers for active; none after
    /// `most`.
    ///
    /// A word that was lost comes again seconds later, so one that stands by may miss one or two
    /// of the active ones, which does no harm.
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
        let differs = |other: Vec<RouterId>| {
            let missing = first.iter().filter(|name| !other.contains(name)).count();
            let more = other.iter().filter(|name| !first.contains(name)).count();
            missing.max(more)
        };
        // Requests take more than the least number of routers have to give.
        first.len() >= LEAST.min(up.len()) && up.iter().all(|i| differs(self.active(*i)) <= 2)
    }

    /// Returns how many routers the active one and the other one know that know fewest.
    pub(crate) fn least_known(&self) -> (usize, usize) {
        let least = |active: bool| {
            let up = self
                .routers
                .iter()
                .filter(|r| r.up && r.fleet.is_active() == active);
            up.map(|r| r.fleet.count(self.now))
                .min()
                .unwrap_or(self.len())
        };
        (least(true), least(false))
    }

    /// Forgets what was sent and got.
    pub(crate) fn reset_bytes(&mut self) {
        self.sent.fill(0);
        self.got.fill(0);
    }

    /// Returns whether a router is among those that it takes for active itself.
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
