//! The receivers of a router's messages, and the intervals between them.

use {
    super::{
        Actives,
        Peer,
        RouterInfo, //
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

/// A hello accompanies every third load message.
pub const HELLO_EVERY: u32 = 3;
/// Active routers that send summaries to each busy standby, so that it can lose one of them.
const RELAYS: usize = 2;
/// Interval between two messages of active routers, per active router, so that one of 64 sends no
/// more than 200 messages per second.
const ACTIVE_INTERVAL_PER_ROUTER: Span = Span::millis(5);
/// Interval between two hellos of an active router to each other router, and of each standby to the
/// active ones, per known router, and its minimum. In a fleet of 370, an active router sends 100
/// messages of about 150 bytes per second.
const HELLO_INTERVAL_PER_ROUTER: Span = Span::millis(10);
const HELLO_INTERVAL_MIN: Span = Span::millis(300);
/// Longest interval between two hellos of an active router to each of its followers. What all routers
/// must know within seconds reaches the standbys by these, in a fleet of any size.
const FOLLOWER_INTERVAL_MAX: Span = Span::secs(1);
/// How long a router must have been active before it has followers. A starting router considers
/// itself active until it knows the others.
const FOLLOWERS_AFTER: Span = Span::secs(3);
/// Factor of the hello interval between two standbys: 10 messages per second in a fleet of 300.
const STANDBY_FACTOR: f64 = 10.0;
/// A router that was sent load messages as an active one within this time acts as an active one.
const ADDRESSED_SPAN: Span = Span::millis(700);
/// A router that knows fewer peers asks for more addresses.
const KNOWN_PEERS_MIN: usize = 40;

/// Who gets a message at once, before the next one is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Urgency {
    /// Nobody.
    #[default]
    None,
    /// The active routers and this router's followers; each active router passes it on to its own.
    Relayed,
    /// All other routers.
    All,
}

/// The receivers of a router's messages at one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recipients {
    /// The active routers, and the time until the next message to them.
    pub active_peers: Vec<SocketAddr>,
    /// See [`Recipients::active_peers`].
    pub active_next: Span,
    /// Routers that act as active ones, though this one considers them standbys. They get its load
    /// messages.
    pub addressed: Vec<SocketAddr>,
    /// Standbys with many requests, which get its hellos, and the time until the next of these.
    pub busy_standbys: Vec<SocketAddr>,
    /// See [`Recipients::busy_standbys`].
    pub busy_next: Span,
    /// Those of the busy standbys that get their summaries from this router.
    pub relayed: Vec<(RouterId, SocketAddr)>,
    /// Standbys that this router, as an active one, keeps up to date, and the time until the next
    /// hello to these.
    pub followers: Vec<SocketAddr>,
    /// See [`Recipients::followers`].
    pub followers_next: Span,
    /// Other routers, which get hellos only.
    pub remote: Vec<SocketAddr>,
    /// Time until the next hello to these.
    pub remote_next: Span,
    /// Other standbys, if this router is a standby.
    pub standbys: Vec<SocketAddr>,
    /// Time until the next hello to these.
    pub standbys_next: Span,
}

impl Actives {
    /// Returns the interval between two messages to active routers.
    pub fn gossip_interval(&self) -> Span {
        self.heartbeat
            .max(ACTIVE_INTERVAL_PER_ROUTER * self.active_count() as f64)
    }

    /// Returns whether this router knows so few others that it asks for more addresses.
    pub fn needs_addresses(&self) -> bool {
        self.peers.len() < KNOWN_PEERS_MIN
    }

    /// Returns the number of known addresses of other routers.
    pub fn contact_count(&self) -> usize {
        self.contacts.len()
    }

    /// Returns the interval between two hellos to each other router.
    pub fn hello_interval(&self) -> Span {
        HELLO_INTERVAL_MIN.max(HELLO_INTERVAL_PER_ROUTER * self.contacts.len() as f64)
    }

    /// Returns whether this router is active, according to itself or to another router.
    pub fn acts_active(&self, now: Time) -> bool {
        self.is_active() || self.is_addressed(now)
    }

    /// Returns whether others consider this router active, no matter what it considers itself.
    ///
    /// A standby gets messages from the others only every few seconds. If it missed that an active
    /// router failed, the routers that chose it as the replacement would get no messages from it,
    /// choose the next one, and so on.
    fn is_addressed(&self, now: Time) -> bool {
        self.addressed
            .is_some_and(|at| now.since(at) < ADDRESSED_SPAN)
    }

    /// Returns the routers that act as active ones, though this one considers them standbys.
    fn addressing(&self, now: Time) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values().filter(|p| p.active.is_none());
        peers.filter(move |p| is_recent(p.addressed, now))
    }

    /// Returns the standbys that have many requests.
    ///
    /// All callers of a large workspace may connect to one router, no matter which addresses they
    /// are given. Without the load of the others, it would send half of all requests to engines
    /// that it considers idle.
    pub(super) fn busy_standbys(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        let peers = self.peers.iter().filter(|(_, p)| p.active.is_none());
        peers.filter(move |(_, p)| is_recent(p.busy, now) && !is_recent(p.addressed, now))
    }

    /// Returns the interval between two hellos to each follower.
    pub fn follower_interval(&self) -> Span {
        self.hello_interval().min(FOLLOWER_INTERVAL_MAX)
    }

    /// Returns how many routers fetch a new document from the same router: each active one serves
    /// its followers, and the first one all active ones.
    pub fn takers(&self) -> usize {
        let active = self.active_count().max(1);
        active.max(self.contacts.len() * RELAYS / active)
    }

    /// Determines the followers of this router: the standbys to which it is one of the active
    /// routers that keep them up to date.
    pub(super) fn update_followers(&mut self, now: Time) {
        self.followers_known = Some(now);
        let has_followers = self.active_for(now) >= FOLLOWERS_AFTER;
        let peers = self.peers.iter().filter(|(_, p)| p.active.is_none());
        let followers = peers.filter(|(name, p)| has_followers && self.relays_to(name, p));
        self.followers = followers.map(|(_, p)| p.info.peers).collect();
    }

    /// Returns whether this router keeps a standby up to date.
    ///
    /// Standbys don't exchange load messages among themselves, since the number of messages would
    /// grow with the square of their number. Only active routers get the load of all. Those in the
    /// standby's zone come first, as most messages to standbys then stay within a zone.
    fn relays_to(&self, name: &RouterId, standby: &Peer) -> bool {
        if !self.is_active() {
            return false;
        }
        let rank = |active: &RouterId, info: &RouterInfo| {
            let near = info.zone == standby.info.zone;
            (near, rendezvous::score(name.as_str(), active.as_str()))
        };
        let local = rank(&self.name, &self.local);
        let before = self.active().filter(|(n, p)| rank(n, &p.info) > local);
        before.take(RELAYS).count() < RELAYS
    }

    /// Returns the receivers of messages that are due now. `busy` means that this router has
    /// requests at replicas, which the active routers must know of.
    pub fn due(&mut self, busy: bool, urgency: Urgency, now: Time) -> Recipients {
        self.refresh(now);
        let mut recipients = match self.acts_active(now) || busy {
            true => self.frequent_recipients(now),
            false => Recipients::default(),
        };
        recipients.active_next = self.gossip_interval();
        recipients.busy_next = recipients.active_next * f64::from(HELLO_EVERY);
        for addr in recipients.active_peers.iter().chain(&recipients.addressed) {
            self.contacts
                .record_sent(*addr, recipients.active_next, now);
        }
        for addr in &recipients.busy_standbys {
            self.contacts.record_sent(*addr, recipients.busy_next, now);
        }
        self.add_hello_recipients(&mut recipients, urgency, now);
        recipients
    }

    /// Returns the receivers of frequent messages.
    fn frequent_recipients(&self, now: Time) -> Recipients {
        let active_peers = self.active().map(|(_, p)| p.info.peers);
        let addressed = self.addressing(now).map(|p| p.info.peers);
        let busy_standbys = self.busy_standbys(now).map(|(_, p)| p.info.peers);
        let relayed = self
            .busy_standbys(now)
            .filter(|(name, p)| self.relays_to(name, p));
        Recipients {
            active_peers: active_peers.collect(),
            addressed: addressed.collect(),
            busy_standbys: busy_standbys.collect(),
            relayed: relayed
                .map(|(name, p)| (name.clone(), p.info.peers))
                .collect(),
            ..Recipients::default()
        }
    }

    /// Adds the receivers of hellos only.
    fn add_hello_recipients(&mut self, recipients: &mut Recipients, urgency: Urgency, now: Time) {
        let interval = self.hello_interval();
        let frequent: HashSet<SocketAddr> = self.active().map(|(_, p)| p.info.peers).collect();
        let is_active = self.is_active();
        let is_frequent = |addr: &SocketAddr| is_active || frequent.contains(addr);
        recipients.followers = self.due_followers(urgency, now);
        let interval_of = |addr: SocketAddr| match is_frequent(&addr) {
            true => interval,
            false => interval * STANDBY_FACTOR,
        };
        let mut all = match urgency {
            Urgency::All => self.contacts.all(interval_of, now),
            _ => self.contacts.due(interval_of, now),
        };
        if urgency == Urgency::Relayed {
            let due: HashSet<SocketAddr> = all.iter().copied().collect();
            all.extend(frequent.difference(&due));
        }
        let followers: HashSet<SocketAddr> = recipients.followers.iter().copied().collect();
        all.retain(|addr| !followers.contains(addr));
        (recipients.remote, recipients.standbys) = all.into_iter().partition(is_frequent);
        recipients.followers_next = self.follower_interval();
        recipients.remote_next = interval;
        recipients.standbys_next = interval * STANDBY_FACTOR;
    }

    /// Returns the followers that get a hello now.
    fn due_followers(&mut self, urgency: Urgency, now: Time) -> Vec<SocketAddr> {
        let interval = self.follower_interval();
        if urgency == Urgency::None && interval == self.hello_interval() {
            return Vec::new();
        }
        let followers = self.followers.iter().copied();
        let due: Vec<SocketAddr> = match urgency {
            Urgency::None => followers
                .filter(|addr| self.contacts.is_due(*addr, interval, now))
                .collect(),
            _ => followers.collect(),
        };
        for addr in &due {
            self.contacts.record_sent(*addr, interval, now);
        }
        due
    }

    /// Returns some addresses of other routers, for a router that starts.
    pub fn sample_addresses(&self, most: usize, skip: usize) -> Vec<SocketAddr> {
        let all = self.contacts.addresses().collect::<Vec<_>>();
        let from = skip % all.len().max(1);
        let rotated = all[from..].iter().chain(&all[..from]);
        rotated.take(most).copied().collect()
    }
}

/// Returns whether a time is within [`ADDRESSED_SPAN`] before now.
pub(super) fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < ADDRESSED_SPAN)
}
