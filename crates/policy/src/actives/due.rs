//! Whom a router tells something, and how often.

use {
    super::Actives,
    crate::{
        Span,
        Time, //
    },
    std::{
        collections::HashSet,
        net::SocketAddr, //
    },
};

/// Time between two words of active routers, for each that is active, so that one of 64 sends
/// no more than 200 words a second.
const NEAR: Span = Span::millis(5);
/// Time in which an active router tells each other one that it is there, and each other one tells
/// the active ones so, for each router that there is, and the least of it. An active router of 370
/// sends 100 words of some 150 bytes a second.
const FAR: Span = Span::millis(10);
const FAR_LEAST: Span = Span::millis(300);
/// Those that stand by tell each other so many times as seldom: 10 words a second. With 100 a
/// second an instance took 0.048 cores on average on a heavy day, its requests included.
const STAND_BY: f64 = 10.0;
/// A router that was told others' loads in this time speaks to the active ones like one of them.
const ADDRESSED: Span = Span::millis(700);
/// A router that knows fewer others asks for the addresses of more.
const FEW: usize = 40;

/// Whom a router is to tell something now.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Due {
    /// The active ones, and the time until they hear from this router again.
    pub near: Vec<SocketAddr>,
    /// Others that are told its loads.
    pub beside: Vec<SocketAddr>,
    /// See [`Due::near`].
    pub near_next: Span,
    /// Others, whom it only tells that it is there.
    pub far: Vec<SocketAddr>,
    /// Time until these hear from this router again.
    pub far_next: Span,
    /// Others that stand by as this one does.
    pub seldom: Vec<SocketAddr>,
    /// Time until these hear from this router again.
    pub seldom_next: Span,
}

impl Actives {
    /// Returns the time between two words of active routers.
    pub fn pace(&self) -> Span {
        self.beat.max(NEAR * self.active_count() as f64)
    }

    /// Tells whether this router knows so few others that it asks for more.
    pub fn knows_few(&self) -> bool {
        self.peers.len() < FEW
    }

    /// Returns the time in which an active router tells each other one that it is there.
    pub fn round(&self) -> Span {
        FAR_LEAST.max(FAR * self.contacts.len() as f64)
    }

    /// Tells whether others take this router for active, whatever it takes itself for.
    ///
    /// One that stands by hears others every few seconds. Where it missed that an active one is gone,
    /// those that chose it in its place heard nothing of it, and chose the next one, and so on.
    fn is_addressed(&self, now: Time) -> bool {
        self.addressed.is_some_and(|at| now.since(at) < ADDRESSED)
    }

    /// Returns the others that are told this router's loads: those that have many requests, and those
    /// that take this router for active.
    ///
    /// Callers of a large workspace may all connect to one router, whatever addresses they are
    /// given. Told nothing, it would send half of all requests to engines that it takes for idle.
    fn beside(&self, now: Time) -> Vec<SocketAddr> {
        let lately = |at: Option<Time>| at.is_some_and(|at| now.since(at) < ADDRESSED);
        let peers = self.peers.values().filter(|p| p.active.is_none());
        let beside = peers.filter(|p| lately(p.busy) || lately(p.addressed));
        beside.map(|p| p.intro.peers).collect()
    }

    /// Returns whom to tell something now; `busy` says that this router has requests at replicas,
    /// which the active ones are to know of, and `urgent` that all are to be told.
    pub fn due(&mut self, busy: bool, urgent: bool, now: Time) -> Due {
        self.refresh(now);
        let near_next = self.pace();
        let (near, beside) = match self.is_active() || busy || self.is_addressed(now) {
            true => (
                self.active().map(|(_, p)| p.intro.peers).collect(),
                self.beside(now),
            ),
            false => (Vec::new(), Vec::new()),
        };
        for addr in near.iter().chain(&beside) {
            self.contacts.tell(*addr, near_next, now);
        }
        let round = self.round();
        let often: HashSet<SocketAddr> = self.active().map(|(_, p)| p.intro.peers).collect();
        let is_active = self.is_active();
        let is_often = |addr: &SocketAddr| is_active || often.contains(addr);
        let round_of = |addr: SocketAddr| match is_often(&addr) {
            true => round,
            false => round * STAND_BY,
        };
        let due = match urgent {
            true => self.contacts.all(round_of, now),
            false => self.contacts.due(round_of, now),
        };
        let (far, seldom) = due.into_iter().partition(is_often);
        Due {
            near,
            beside,
            near_next,
            far,
            far_next: round,
            seldom,
            seldom_next: round * STAND_BY,
        }
    }

    /// Returns some addresses of other routers, to tell one that starts.
    pub fn some(&self, most: usize, skip: usize) -> Vec<SocketAddr> {
        let all = self.contacts.addresses().collect::<Vec<_>>();
        let from = skip % all.len().max(1);
        let turned = all[from..].iter().chain(&all[..from]);
        turned.take(most).copied().collect()
    }
}
