//! All routers that are known, and which of them are active.

use {
    super::{
        choice::{
            choose,
            Member, //
        },
        contacts::Contacts,
        peer::{
            short,
            Heard,
            Intro,
            Peer,
            Silence,
            SILENT, //
        },
        rate::Rate, //
    },
    crate::{
        RouterId,
        Span,
        Time, //
    },
    std::{
        collections::{
            BTreeMap,
            HashMap,
            HashSet, //
        },
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
/// Those that stand by tell each other so many times as seldom: 10 words a second. A word takes some
/// 0.1 ms of processor time at either end, so that 100 a second took a sixth of an instance with
/// 0.12 cores.
const STAND_BY: f64 = 10.0;
/// One router that stands by does what one router is to do so many times as seldom as an active
/// one. Each hears several times a second that it was done.
const STANDS_BY: usize = 20;
/// A router that knows fewer others asks for the addresses of more.
const FEW: usize = 40;
/// The active routers are worked out again after this time, and where a router came or said that
/// it goes.
const FRESH: Span = Span::millis(250);
/// Processor time that a request takes, in seconds of a core, with what its events take.
const REQUEST: f64 = 0.5e-3;
/// Active routers are to have this many times the processor time that the requests take, so that
/// a burst, or the loss of half of them, finds room.
const ROOM: f64 = 4.0;
/// A router that was told others' loads in this time speaks to the active ones like one of them.
const ADDRESSED: Span = Span::millis(700);
/// Steps of the processor time that is needed, each so many times the one before.
const NEED_STEP: f64 = 1.5;
/// A router drops what it knows of one that was not heard for this long, at the least.
const FORGET: Span = Span::secs(15);

/// The routers that are known to one of them.
///
/// # Examples
///
/// ```
/// use policy::{actives::{Actives, Intro}, Incarnation, Span, Time};
///
/// let intro = |port| Intro {
///     incarnation: Incarnation(1),
///     peers: ([127, 0, 0, 1], port).into(),
///     callers: ([127, 0, 0, 1], port + 1).into(),
///     zone: "hall-a".parse().unwrap(),
///     processor: 0.25,
///     ready: true,
/// };
/// let mut fleet = Actives::new("r1".parse()?, intro(7000), 24, Span::millis(100));
/// let (name, now) = ("r2".parse()?, Time(0));
/// fleet.hello(&name, 1, intro(7100), Span::millis(100), 0.0, now);
/// fleet.refresh(now);
/// assert_eq!(fleet.active_count(), 2);
/// // It falls silent.
/// fleet.refresh(now + Span::secs(3));
/// assert_eq!(fleet.active_count(), 1);
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug)]
pub struct Actives {
    name: RouterId,
    own: Intro,
    /// Least number of active routers, where there are as many.
    least: usize,
    /// Time between two words of active routers, where these are few.
    beat: Span,
    rate: Rate,
    peers: BTreeMap<RouterId, Peer>,
    /// The peers by the short names of their starts.
    shorts: HashMap<u32, RouterId>,
    contacts: Contacts,
    /// Others that are active.
    active: Vec<RouterId>,
    /// Since when this router is active.
    active_since: Option<Time>,
    /// When another router last told this one its loads, as to an active one.
    addressed: Option<Time>,
    refreshed: Option<Time>,
}

/// What a router's word on its loads says besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Said {
    /// It has many requests.
    pub busy: bool,
    /// It takes the router that it tells for active.
    pub to_active: bool,
}

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
    /// Makes the table of a router that knows nobody yet.
    pub fn new(name: RouterId, own: Intro, least: usize, beat: Span) -> Actives {
        Actives {
            name,
            contacts: Contacts::new(own.peers),
            own,
            least,
            beat,
            rate: Rate::default(),
            peers: BTreeMap::new(),
            shorts: HashMap::new(),
            active: Vec::new(),
            active_since: None,
            addressed: None,
            refreshed: None,
        }
    }

    /// Returns this router's name.
    pub fn name(&self) -> &RouterId {
        &self.name
    }

    /// Returns what this router tells of itself.
    pub fn own(&self) -> &Intro {
        &self.own
    }

    /// Sets whether callers may be sent to this router.
    pub fn set_ready(&mut self, ready: bool) {
        if self.own.ready != ready {
            self.own.ready = ready;
            self.refreshed = None;
        }
    }

    /// Counts a request that this router takes.
    pub fn count_request(&mut self) {
        self.rate.count();
    }

    /// Returns how many requests a second this router takes.
    pub fn rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Notes that somebody lists a router at this address.
    pub fn list(&mut self, addr: SocketAddr, now: Time) {
        if addr != self.own.peers {
            self.contacts.list(addr, now);
        }
    }

    /// Takes the word of another router on who it is; its next one comes after `next`.
    pub fn hello(
        &mut self,
        name: &RouterId,
        number: u32,
        intro: Intro,
        next: Span,
        rate: f64,
        now: Time,
    ) -> Heard {
        let known = self.peers.get(name);
        let same = known.filter(|p| p.intro.incarnation == intro.incarnation);
        // Datagrams overtake each other. An old word would bring back what has changed.
        if same.is_some_and(|p| number <= p.hello) {
            return Heard::Old;
        }
        let first = same.is_none();
        let changed = same.is_none_or(|p| p.silent.is_some() || p.intro.ready != intro.ready);
        let before = known.map(|p| short(name, p.intro.incarnation));
        let peer = Peer {
            rate,
            introduced: now,
            hello: number,
            loads: same.map_or(0, |p| p.loads),
            busy: same.and_then(|p| p.busy),
            addressed: same.and_then(|p| p.addressed),
            heard: now,
            next,
            active: same.and_then(|p| p.active),
            silent: None,
            intro,
        };
        if let Some(before) = before {
            self.shorts.remove(&before);
        }
        let key = short(name, peer.intro.incarnation);
        self.shorts.insert(key, name.clone());
        self.contacts.list(peer.intro.peers, now);
        self.peers.insert(name.clone(), peer);
        if changed {
            self.refreshed = None;
        }
        match first {
            true => Heard::First,
            false => Heard::Again,
        }
    }

    /// Takes a router's word on its loads. Returns who it is and where it hears the others, unless
    /// the word is old or from one that has not said who it is.
    pub fn word(
        &mut self,
        from: u32,
        number: u32,
        next: Span,
        said: Said,
        now: Time,
    ) -> Option<(RouterId, SocketAddr)> {
        let name = self.shorts.get(&from)?;
        let peer = self.peers.get_mut(name)?;
        if number <= peer.loads {
            return None;
        }
        peer.loads = number;
        peer.heard = now;
        peer.next = next;
        if peer.silent.take().is_some() {
            self.refreshed = None;
        }
        if said.to_active {
            self.addressed = Some(now);
            peer.addressed = Some(now);
        }
        if said.busy {
            peer.busy = Some(now);
        }
        self.contacts.list(peer.intro.peers, now);
        Some((name.clone(), peer.intro.peers))
    }

    /// Takes another router's word that active ones are silent. One that stands by hears each only
    /// every few seconds, and would send callers to one that is gone for as long.
    pub fn told_silent(&mut self, silent: &[u32], now: Time) {
        for key in silent {
            let name = self.shorts.get(key);
            let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) else {
                continue;
            };
            if peer.silent.is_none() && !peer.just_heard(now) {
                peer.silent = Some(Silence::Told);
                self.refreshed = None;
            }
        }
    }

    /// Returns the short names of those that lost their places, to tell the others.
    pub fn silent(&self) -> Vec<u32> {
        let seen = |p: &Peer| p.silent == Some(Silence::Seen);
        let silent = self.peers.iter().filter(|(_, p)| seen(p));
        silent
            .map(|(name, p)| short(name, p.intro.incarnation))
            .collect()
    }

    /// Works out which routers are active, where that is due.
    pub fn refresh(&mut self, now: Time) {
        self.rate.refresh(now);
        if self.refreshed.is_some_and(|at| now.since(at) < FRESH) {
            return;
        }
        self.refreshed = Some(now);
        self.forget(now);
        self.note_silent(now);
        let chosen = choose(&self.members(now), self.least, self.need(now));
        self.active_since = match chosen.contains(&self.name) {
            true => self.active_since.or(Some(now)),
            false => None,
        };
        for (name, peer) in &mut self.peers {
            peer.active = match chosen.contains(name) {
                true => peer.active.or(Some(now)),
                false => None,
            };
        }
        self.active = chosen;
        self.active.retain(|name| *name != self.name);
    }

    /// Notes which active ones are silent, where this router would hear them.
    ///
    /// One that stands by hears each only every few seconds, and one that became active a moment ago
    /// is not known to all of them yet.
    fn note_silent(&mut self, now: Time) {
        if self.active_since.is_none_or(|at| now.since(at) < SILENT) {
            return;
        }
        for peer in self.peers.values_mut() {
            if peer.silent.is_none() && peer.lost_place(now) || peer.is_silent_here(now) {
                peer.silent = Some(Silence::Seen);
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let shorts = &mut self.shorts;
        self.peers.retain(|name, p| {
            let keep = now.since(p.heard) < FORGET.max(p.next * 4.0);
            if !keep {
                shorts.remove(&short(name, p.intro.incarnation));
            }
            keep
        });
        self.contacts.forget(now);
    }

    /// Returns those that can be active.
    fn members(&self, now: Time) -> Vec<Member> {
        let member = |name: &RouterId, intro: &Intro| Member {
            name: name.clone(),
            zone: intro.zone.clone(),
            processor: f64::from(intro.processor),
        };
        let own = self.own.ready.then(|| member(&self.name, &self.own));
        let peers = self.peers.iter();
        let there = peers.filter(|(_, p)| p.intro.ready && p.is_live(now));
        let there = there.map(|(name, p)| member(name, &p.intro));
        own.into_iter().chain(there).collect()
    }

    /// Returns the processor time that active routers are to have, in cores.
    ///
    /// It goes up and down by steps. With each request more or less the last router would come and
    /// go, and with it the connections of its callers; and routers that hear of a little more or
    /// less would not agree.
    fn need(&self, now: Time) -> f64 {
        let live = self.peers.values().filter(|p| p.is_live(now));
        let active = live.filter(|p| p.active.is_some() && p.is_rate_known(now));
        let own = if self.is_active() {
            self.rate.per_second()
        } else {
            0.0
        };
        let need = (own + active.map(|p| p.rate).sum::<f64>()) * REQUEST * ROOM;
        NEED_STEP.powf((need.max(f64::MIN_POSITIVE).ln() / NEED_STEP.ln()).ceil())
    }

    /// Tells whether this router is active.
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Returns for how long this router has been active.
    pub fn active_for(&self, now: Time) -> Span {
        self.active_since.map_or(Span::ZERO, |at| now.since(at))
    }

    /// Returns how many routers are active, this one included where it is.
    pub fn active_count(&self) -> usize {
        self.active.len() + usize::from(self.is_active())
    }

    /// Returns the others that are active.
    pub fn active(&self) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.active
            .iter()
            .filter_map(|name| Some((name, self.peers.get(name)?)))
    }

    /// Returns the routers that are there, without this one.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_live(now))
    }

    /// Returns how many routers there are, this one included.
    pub fn count(&self, now: Time) -> usize {
        self.live(now).count() + 1
    }

    /// Returns among how many routers, this one included, what the fleet may spend is divided.
    pub fn sharers(&self) -> usize {
        self.active.len() + 1
    }

    /// Returns of how many routers this one counts as one where one of them is to do something:
    /// one that stands by leaves it to the active ones, unless nobody does it for long.
    pub fn takers(&self) -> usize {
        match self.is_active() {
            true => self.active_count(),
            false => self.active_count().max(1) * STANDS_BY + self.contacts.len(),
        }
    }

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
