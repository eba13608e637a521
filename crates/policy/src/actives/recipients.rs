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
        Time,
        Zone, //
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
/// Factor of the hello interval between two standbys: 10 messages per second in a fleet of 300.
const STANDBY_FACTOR: f64 = 10.0;
/// Longest interval between two reports to active routers in other zones. A receiver that loses two
/// reports in a row still gets the next one before it considers the sender silent.
const REDUCED_INTERVAL_MAX: Span = Span::millis(300);
/// A router that was sent load messages as an active one within this time acts as an active one.
const ADDRESSED_SPAN: Span = Span::millis(700);
/// A router that knows fewer peers asks for more addresses.
const KNOWN_PEERS_MIN: usize = 40;

/// Which routers get a message now, although their next one is not due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Urgency {
    /// None.
    #[default]
    Scheduled,
    /// All active routers.
    Actives,
    /// All routers.
    All,
}

/// Active routers that get load messages at the same pace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReportRecipients {
    /// The active routers.
    pub active_peers: Vec<SocketAddr>,
    /// Routers that act as active ones, though this one considers them standbys.
    pub addressed: Vec<SocketAddr>,
    /// Time until the next message to these.
    pub next: Span,
}

/// The receivers of a router's messages at one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recipients {
    /// The receivers of load messages, by pace.
    pub reports: Vec<ReportRecipients>,
    /// Whether a hello accompanies the load messages.
    pub with_hello: bool,
    /// Time until the next summaries.
    pub active_next: Span,
    /// Standbys with many requests, which get its hellos, and the time until the next of these.
    pub busy_standbys: Vec<SocketAddr>,
    /// See [`Recipients::busy_standbys`].
    pub busy_next: Span,
    /// Those of the busy standbys that get their summaries from this router.
    pub relayed: Vec<(RouterId, SocketAddr)>,
    /// Other routers, which get hellos only.
    pub remote: Vec<SocketAddr>,
    /// Time until the next hello to these.
    pub remote_next: Span,
    /// Other standbys, if this router is a standby.
    pub standbys: Vec<SocketAddr>,
    /// Time until the next hello to these.
    pub standbys_next: Span,
}

impl ReportRecipients {
    /// Returns all of them.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::actives::ReportRecipients;
    ///
    /// assert_eq!(ReportRecipients::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = &SocketAddr> {
        self.active_peers.iter().chain(&self.addressed)
    }
}

impl Actives {
    /// Returns the interval between two messages to active routers of the local zone, and to all
    /// active ones unless reports to other zones are reduced.
    pub fn gossip_interval(&self) -> Span {
        self.heartbeat
            .max(ACTIVE_INTERVAL_PER_ROUTER * self.active_count() as f64)
    }

    /// Returns the longest interval between two reports of an active router.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{actives::{Actives, RouterInfo}, Incarnation, Span};
    ///
    /// let info = RouterInfo {
    ///     incarnation: Incarnation(1),
    ///     peers: ([127, 0, 0, 1], 7000).into(),
    ///     callers: ([127, 0, 0, 1], 7001).into(),
    ///     zone: "hall-a".parse().unwrap(),
    ///     processor: 0.25,
    ///     ready: true,
    /// };
    /// let mut fleet = Actives::new("r1".parse()?, info, 12, Span::millis(100));
    /// assert_eq!(fleet.report_interval(), Span::millis(100));
    /// fleet.set_tolerant(true);
    /// assert_eq!(fleet.report_interval(), Span::millis(300));
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn report_interval(&self) -> Span {
        let interval = self.gossip_interval();
        let reduced = interval * f64::from(HELLO_EVERY);
        match self.tolerant && reduced <= REDUCED_INTERVAL_MAX {
            true => reduced,
            false => interval,
        }
    }

    /// Returns whether active routers in other zones get only every third report.
    ///
    /// Busy standbys report at the full pace: few routers send to them, and the active ones send
    /// them summaries only while their reports are recent.
    fn reduces_reports(&self, now: Time) -> bool {
        self.acts_active(now) && self.report_interval() > self.gossip_interval()
    }

    /// Returns whether this router knows so few others that it asks for more addresses.
    pub fn needs_addresses(&self) -> bool {
        self.peers.len() < KNOWN_PEERS_MIN
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

    /// Returns whether this router sends summaries to another one.
    ///
    /// Standbys don't exchange load messages among themselves, since the number of messages would
    /// grow with the square of their number. Only active routers get the load of all.
    fn relays_to(&self, other: &RouterId) -> bool {
        let score = |name: &RouterId| rendezvous::score(other.as_str(), name.as_str());
        let local = score(&self.name);
        let before = self.active.iter().filter(|name| score(name) > local);
        self.is_active() && before.take(RELAYS).count() < RELAYS
    }

    /// Returns the receivers of messages that are due now, to be called once in each
    /// [`Actives::gossip_interval`] and whenever an update is urgent. `busy` means that this router
    /// has requests at replicas, which the active routers must know of.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::{
    ///     actives::{Actives, RouterInfo, Urgency},
    ///     Incarnation, Span, Time,
    /// };
    ///
    /// let info = |port, zone: &str| RouterInfo {
    ///     incarnation: Incarnation(1),
    ///     peers: ([127, 0, 0, 1], port).into(),
    ///     callers: ([127, 0, 0, 1], port + 1).into(),
    ///     zone: zone.parse().unwrap(),
    ///     processor: 0.25,
    ///     ready: true,
    /// };
    /// let mut fleet = Actives::new("r1".parse()?, info(7000, "a"), 12, Span::millis(100));
    /// fleet.set_tolerant(true);
    /// let (name, now) = ("r2".parse()?, Time(0));
    /// fleet.receive_hello(&name, 1, info(7100, "b"), Span::millis(300), 0.0, now);
    /// let reported = |due: policy::actives::Recipients| due.reports.iter().any(|r| r.all().count() > 0);
    /// assert!(reported(fleet.due(false, Urgency::Scheduled, now)));
    /// assert!(!reported(fleet.due(false, Urgency::Scheduled, now)));
    /// assert!(reported(fleet.due(false, Urgency::Actives, now)));
    /// # Ok::<(), policy::IdError>(())
    /// ```
    pub fn due(&mut self, busy: bool, urgency: Urgency, now: Time) -> Recipients {
        self.refresh(now);
        let phase = self.intervals % HELLO_EVERY;
        self.intervals = self.intervals.wrapping_add(1);
        let reports = self.acts_active(now) || busy;
        let mut recipients = match reports {
            true => self.frequent_recipients(now),
            false => Recipients::default(),
        };
        recipients.with_hello = phase == 0;
        recipients.active_next = self.gossip_interval();
        recipients.busy_next = recipients.active_next * f64::from(HELLO_EVERY);
        if reports {
            let due = recipients.with_hello || urgency > Urgency::Scheduled;
            let until_hello = recipients.active_next * f64::from(HELLO_EVERY - phase);
            recipients.reports = self.report_recipients(due, until_hello, now);
        } else {
            self.reduced = false;
        }
        for addr in &recipients.busy_standbys {
            self.contacts.record_sent(*addr, recipients.busy_next, now);
        }
        self.add_hello_recipients(&mut recipients, urgency == Urgency::All, now);
        recipients
    }

    /// Returns the receivers of load messages. Those in other zones are included if `others_due`;
    /// their next message after this interval comes after `until_hello` if reports are reduced.
    fn report_recipients(
        &mut self,
        others_due: bool,
        until_hello: Span,
        now: Time,
    ) -> Vec<ReportRecipients> {
        let reduced = self.reduces_reports(now);
        // The last reports at the full pace announced that another one follows after one interval.
        let begins = reduced && !self.reduced;
        self.reduced = reduced;
        let own = self.in_zones(|zone| !reduced || *zone == self.local.zone, now);
        let own = ReportRecipients {
            next: self.gossip_interval(),
            ..own
        };
        let others = self.in_zones(|zone| reduced && *zone != self.local.zone, now);
        let others = ReportRecipients {
            next: until_hello,
            ..others
        };
        // Recorded also for those whose message is not due yet. Otherwise they would get a hello at
        // the beginning of their round in between.
        for recipients in [&own, &others] {
            for addr in recipients.all() {
                self.contacts.record_sent(*addr, recipients.next, now);
            }
        }
        match reduced && (others_due || begins) {
            true => vec![own, others],
            false => vec![own],
        }
    }

    /// Returns the receivers of load messages in some zones.
    fn in_zones(&self, included: impl Fn(&Zone) -> bool, now: Time) -> ReportRecipients {
        let active_peers = self.active().map(|(_, p)| &p.info);
        let addressed = self.addressing(now).map(|p| &p.info);
        let in_zones = |info: &&RouterInfo| included(&info.zone);
        ReportRecipients {
            active_peers: active_peers.filter(in_zones).map(|i| i.peers).collect(),
            addressed: addressed.filter(in_zones).map(|i| i.peers).collect(),
            next: Span::ZERO,
        }
    }

    /// Returns the receivers of hellos and summaries among the busy standbys.
    fn frequent_recipients(&self, now: Time) -> Recipients {
        let busy_standbys = self.busy_standbys(now).map(|(_, p)| p.info.peers);
        let relayed = self
            .busy_standbys(now)
            .filter(|(name, _)| self.relays_to(name));
        Recipients {
            busy_standbys: busy_standbys.collect(),
            relayed: relayed
                .map(|(name, p)| (name.clone(), p.info.peers))
                .collect(),
            ..Recipients::default()
        }
    }

    /// Adds the receivers of hellos only.
    fn add_hello_recipients(&mut self, recipients: &mut Recipients, urgent: bool, now: Time) {
        let interval = self.hello_interval();
        let frequent: HashSet<SocketAddr> = self.active().map(|(_, p)| p.info.peers).collect();
        let is_active = self.is_active();
        let is_frequent = |addr: &SocketAddr| is_active || frequent.contains(addr);
        let interval_of = |addr: SocketAddr| match is_frequent(&addr) {
            true => interval,
            false => interval * STANDBY_FACTOR,
        };
        let all = match urgent {
            true => self.contacts.all(interval_of, now),
            false => self.contacts.due(interval_of, now),
        };
        (recipients.remote, recipients.standbys) = all.into_iter().partition(is_frequent);
        recipients.remote_next = interval;
        recipients.standbys_next = interval * STANDBY_FACTOR;
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
