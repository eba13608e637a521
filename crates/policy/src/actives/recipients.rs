//! Whom a router tells something, and how often.

use {
    super::{
        Actives,
        Peer, //
    },
    crate::{
        rendezvous,
        RouterId,
        Span,
        Time, //
    },
    std::{
        collections::HashSet,
        net::SocketAddr, //
    },
};

/// A router introduces itself with every third message on its loads.
pub const HELLO_EVERY: u32 = 3;
/// Active routers that send summaries to each busy standby, so that it can lose one of them.
const RELAYS: usize = 2;
/// Time between two words of active routers, for each that is active, so that one of 64 sends
/// no more than 200 words a second.
const NEAR: Span = Span::millis(5);
/// Time in which an active router tells each other one that it is there, and each other one tells
/// the active ones so, for each router that there is, and the least of it. An active router of 370
/// sends 100 words of some 150 bytes a second.
const FAR: Span = Span::millis(10);
const FAR_LEAST: Span = Span::millis(300);
/// Those that stand by tell each other so many times as seldom: 10 messages a second at 300.
const STAND_BY: f64 = 10.0;
/// A router that was told others' loads in this time speaks to the active ones like one of them.
const ADDRESSED: Span = Span::millis(700);
/// A router that knows fewer others asks for the addresses of more.
const FEW: usize = 40;

/// Whom a router is to tell something now.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recipients {
    /// The active ones, and the time until they hear from this router again.
    pub active_peers: Vec<SocketAddr>,
    /// See [`Recipients::active_peers`].
    pub active_next: Span,
    /// Routers that act as active ones, though this one takes them for standbys. They get its loads.
    pub addressed: Vec<SocketAddr>,
    /// Standbys with many requests, which get its introductions, and the time between two of these.
    pub busy_standbys: Vec<SocketAddr>,
    /// See [`Recipients::busy_standbys`].
    pub busy_next: Span,
    /// Those of them that get their summaries from this router.
    pub relayed: Vec<(RouterId, SocketAddr)>,
    /// Others, whom it only tells that it is there.
    pub remote: Vec<SocketAddr>,
    /// Time until these hear from this router again.
    pub remote_next: Span,
    /// Others that stand by as this one does.
    pub standbys: Vec<SocketAddr>,
    /// Time until these hear from this router again.
    pub standbys_next: Span,
}

impl Actives {
    /// Returns the time between two words of active routers.
    pub fn gossip_interval(&self) -> Span {
        self.beat.max(NEAR * self.active_count() as f64)
    }

    /// Tells whether this router knows so few others that it asks for more.
    pub fn needs_addresses(&self) -> bool {
        self.peers.len() < FEW
    }

    /// Returns the time in which an active router tells each other one that it is there.
    pub fn hello_interval(&self) -> Span {
        FAR_LEAST.max(FAR * self.contacts.len() as f64)
    }

    /// Returns whether this router is active, by its own view or by another router's.
    pub fn acts_active(&self, now: Time) -> bool {
        self.is_active() || self.is_addressed(now)
    }

    /// Tells whether others take this router for active, whatever it takes itself for.
    ///
    /// One that stands by hears others every few seconds. Where it missed that an active one is gone,
    /// those that chose it in its place heard nothing of it, and chose the next one, and so on.
    fn is_addressed(&self, now: Time) -> bool {
        self.addressed.is_some_and(|at| now.since(at) < ADDRESSED)
    }

    /// Returns the routers that act as active ones, though this one takes them for standbys.
    fn addressing(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values().filter(|p| p.active.is_none());
        peers.filter(move |p| is_recent(p.addressed, now))
    }

    /// Returns the standbys that have many requests.
    ///
    /// Callers of a large workspace may all connect to one router, whatever addresses they are
    /// given. Without others' loads it would send half of all requests to engines that it takes for
    /// idle.
    pub(super) fn busy_standbys(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        let peers = self.peers.iter().filter(|(_, p)| p.active.is_none());
        peers.filter(move |(_, p)| is_recent(p.busy, now) && !is_recent(p.addressed, now))
    }

    /// Returns whether this router sends summaries to another one.
    ///
    /// Standbys don't exchange loads among themselves, since the number of messages would grow with
    /// their number squared. Only active routers get the loads of all.
    fn relays_to(&self, other: &RouterId) -> bool {
        let score = |name: &RouterId| rendezvous::score(other.as_str(), name.as_str());
        let own = score(&self.name);
        let before = self.active.iter().filter(|name| score(name) > own);
        self.is_active() && before.take(RELAYS).count() < RELAYS
    }

    /// Returns whom to tell something now; `busy` says that this router has requests at replicas,
    /// which the active ones are to know of, and `urgent` that all are to be told.
    pub fn due(&mut self, busy: bool, urgent: bool, now: Time) -> Recipients {
        self.refresh(now);
        let mut due = match self.acts_active(now) || busy {
            true => self.due_often(now),
            false => Recipients::default(),
        };
        due.active_next = self.gossip_interval();
        due.busy_next = due.active_next * f64::from(HELLO_EVERY);
        for addr in due.active_peers.iter().chain(&due.addressed) {
            self.contacts.tell(*addr, due.active_next, now);
        }
        for addr in &due.busy_standbys {
            self.contacts.tell(*addr, due.busy_next, now);
        }
        self.due_seldom(&mut due, urgent, now);
        due
    }

    /// Returns the receivers of frequent messages.
    fn due_often(&self, now: Time) -> Recipients {
        let near = self.active().map(|(_, p)| p.intro.peers);
        let addressed = self.addressing(now).map(|p| p.intro.peers);
        let beside = self.busy_standbys(now).map(|(_, p)| p.intro.peers);
        let relayed = self
            .busy_standbys(now)
            .filter(|(name, _)| self.relays_to(name));
        Recipients {
            active_peers: near.collect(),
            addressed: addressed.collect(),
            busy_standbys: beside.collect(),
            relayed: relayed
                .map(|(name, p)| (name.clone(), p.intro.peers))
                .collect(),
            ..Recipients::default()
        }
    }

    /// Adds the receivers of introductions only.
    fn due_seldom(&mut self, due: &mut Recipients, urgent: bool, now: Time) {
        let round = self.hello_interval();
        let often: HashSet<SocketAddr> = self.active().map(|(_, p)| p.intro.peers).collect();
        let is_active = self.is_active();
        let is_often = |addr: &SocketAddr| is_active || often.contains(addr);
        let round_of = |addr: SocketAddr| match is_often(&addr) {
            true => round,
            false => round * STAND_BY,
        };
        let all = match urgent {
            true => self.contacts.all(round_of, now),
            false => self.contacts.due(round_of, now),
        };
        (due.remote, due.standbys) = all.into_iter().partition(is_often);
        due.remote_next = round;
        due.standbys_next = round * STAND_BY;
    }

    /// Returns some addresses of other routers, to tell one that starts.
    pub fn sample_addresses(&self, most: usize, skip: usize) -> Vec<SocketAddr> {
        let all = self.contacts.addresses().collect::<Vec<_>>();
        let from = skip % all.len().max(1);
        let turned = all[from..].iter().chain(&all[..from]);
        turned.take(most).copied().collect()
    }
}

/// Returns whether something happened within [`ADDRESSED`].
pub(super) fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < ADDRESSED)
}
