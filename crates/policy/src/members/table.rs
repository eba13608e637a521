//! All routers known to this one.

use {
    super::{
        gossip::Gossip,
        peer::Peer,
        ring::Ring,
        Event,
        GossipUpdate,
        Heartbeat,
        Intro,
        Listed,
        Member,
        MembershipParams,
        ReportedState,
        State, //
    },
    crate::{
        Incarnation,
        RouterId,
        Time, //
    },
    fastrand::Rng,
    std::{
        collections::BTreeMap,
        mem, //
    },
};

/// The rounds between two introductions to a router that beats back.
const INTRO_EVERY: u64 = 16;

/// The routers known to this one, itself included.
///
/// # Examples
///
/// ```
/// use policy::{members::{Event, Intro, Members, MembershipParams}, Incarnation, Time};
///
/// let intro = |port| Intro {
///     addr: ([127, 0, 0, 1], port).into(),
///     callers: ([127, 0, 0, 1], port + 1).into(),
///     operators: None,
///     zone: "hall-a".parse().unwrap(),
/// };
/// let id = |s: &str| s.parse().unwrap();
/// let mut a = Members::new(id("a"), Incarnation(1), intro(7000), MembershipParams::default(), 1);
/// let mut b = Members::new(id("b"), Incarnation(1), intro(7100), MembershipParams::default(), 2);
/// a.seed(id("b"), intro(7100), Time(0));
/// a.tick(Time(0));
/// for e in a.take_events() {
///     if let Event::SendHeartbeat { heartbeat, .. } = e {
///         b.receive_heartbeat(*heartbeat, Time(0));
///     }
/// }
/// assert_eq!(b.view().len(), 2);
/// ```
#[derive(Debug)]
pub struct Members {
    pub(super) me: RouterId,
    pub(super) incarnation: Incarnation,
    pub(super) intro: Intro,
    pub(super) local: LocalStatus,
    pub(super) params: MembershipParams,
    pub(super) rng: Rng,
    pub(super) seq: u64,
    pub(super) peers: BTreeMap<RouterId, Peer>,
    pub(super) gossip: Gossip,
    /// Rumours owed to one router, in the next heartbeat to it.
    pub(super) owed: BTreeMap<RouterId, Vec<GossipUpdate>>,
    pub(super) events: Vec<Event>,
    pub(super) ticked: Option<Time>,
    pub(super) round: Option<Time>,
}

/// What a router says of itself in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalStatus {
    /// It shuts down.
    pub leaving: bool,
    /// The platform does not answer it.
    pub no_platform: bool,
    /// The revision of the configuration in force.
    pub config: u64,
    /// The revision of the platform's list that it has seen.
    pub list: u64,
    /// Its load.
    pub load: u32,
}

impl Members {
    /// Makes the table of a router that knows only itself. The seed picks whom it beats
    /// at random; give each router another.
    pub fn new(
        me: RouterId,
        incarnation: Incarnation,
        intro: Intro,
        params: MembershipParams,
        seed: u64,
    ) -> Members {
        Members {
            me,
            incarnation,
            intro,
            local: LocalStatus::default(),
            params,
            rng: Rng::with_seed(seed),
            seq: 0,
            peers: BTreeMap::new(),
            gossip: Gossip::default(),
            owed: BTreeMap::new(),
            events: Vec::new(),
            ticked: None,
            round: None,
        }
    }

    /// Sets what the next heartbeats say of this router.
    pub fn set_local_status(&mut self, local: LocalStatus) {
        if self.local.leaving != local.leaving {
            self.events.push(Event::Changed);
        }
        self.local = local;
    }

    /// Adds a router that the settings name, where no list is at hand.
    pub fn seed(&mut self, id: RouterId, intro: Intro, now: Time) {
        if id == self.me || self.peers.contains_key(&id) {
            return;
        }
        let peer = Peer::new(id.clone(), &intro, &self.params, now);
        self.peers.insert(id, peer);
        self.events.push(Event::Changed);
    }

    /// Takes the platform's list. It lags, so it adds routers but never takes away one
    /// that still beats.
    pub fn update_list(&mut self, list: Vec<Listed>, now: Time) {
        for p in self.peers.values_mut() {
            p.listed = false;
        }
        for l in list {
            if l.id == self.me {
                continue;
            }
            let intro = Intro {
                addr: l.addr,
                callers: l.callers,
                operators: None,
                zone: l.zone.clone(),
            };
            self.seed(l.id.clone(), intro, now);
            if let Some(p) = self.peers.get_mut(&l.id) {
                let before = p.member.clone();
                p.list(&l);
                if p.member != before {
                    self.events.push(Event::Changed);
                }
            }
        }
    }

    /// Notes that a router said goodbye on its connection.
    pub fn mark_left(&mut self, id: &RouterId, now: Time) {
        self.turn(id, State::Left, now);
    }

    /// Says goodbye to everyone: this router's process ends now.
    pub fn goodbye(&mut self) {
        self.seq += 1;
        let left = GossipUpdate {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            state: ReportedState::Left,
        };
        let ring = Ring::new(self.ring_ids());
        for id in self.targets(&ring) {
            self.owed.entry(id.clone()).or_default().push(left.clone());
            self.send_heartbeat(&id, false);
        }
    }

    /// Takes what is to be done since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        let mut changed = false;
        let mut events = mem::take(&mut self.events);
        events.retain(|e| match e {
            Event::Changed => !mem::replace(&mut changed, true),
            _ => true,
        });
        events
    }

    /// Returns the routers that count: this one and all that are listed, live or suspect.
    pub fn view(&self) -> Vec<Member> {
        let others = self.peers.values().map(|p| &p.member);
        let mut all: Vec<Member> = others.filter(|m| m.up()).cloned().collect();
        all.push(self.myself());
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Returns what is known of a router, whatever its state.
    pub fn get(&self, id: &RouterId) -> Option<&Member> {
        self.peers.get(id).map(|p| &p.member)
    }

    /// Returns all other routers known, also dead ones, for the dump.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    fn myself(&self) -> Member {
        Member {
            id: self.me.clone(),
            incarnation: self.incarnation,
            addr: self.intro.addr,
            callers: self.intro.callers,
            operators: self.intro.operators,
            zone: self.intro.zone.clone(),
            state: State::Live,
            leaving: self.local.leaving,
            no_platform: self.local.no_platform,
            inbound_ok: true,
            outbound_ok: true,
            config: self.local.config,
            list: self.local.list,
            load: self.local.load,
        }
    }

    /// Moves a router to another state and tells others.
    pub(super) fn turn(&mut self, id: &RouterId, state: State, now: Time) {
        let n = self.peers.len();
        let Some(p) = self.peers.get_mut(id) else {
            return;
        };
        let before = p.member.state;
        if !p.turn(state, now) {
            return;
        }
        self.events.push(Event::Changed);
        // A listed router that is first heard is what everyone expects.
        if (before, state) != (State::Listed, State::Live) {
            self.gossip.push(p.gossip_update(), n);
        }
    }

    /// Queues a heartbeat to one router.
    pub(super) fn send_heartbeat(&mut self, to: &RouterId, reply_requested: bool) {
        let missing = self.missing();
        let Some(p) = self.peers.get(to) else {
            return;
        };
        let mut updates = self.owed.remove(to).unwrap_or_default();
        updates.extend(self.gossip.take());
        let known = p.member.inbound_ok && !reply_requested && self.seq % INTRO_EVERY != 0;
        let heartbeat = Heartbeat {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            intro: (!known).then(|| self.intro.clone()),
            leaving: self.local.leaving,
            no_platform: self.local.no_platform,
            config: self.local.config,
            list: self.local.list,
            load: self.local.load,
            reply_requested,
            missing,
            updates,
        };
        self.events.push(Event::SendHeartbeat {
            to: to.clone(),
            addr: p.member.addr,
            heartbeat: Box::new(heartbeat),
        });
    }

    fn missing(&self) -> Vec<RouterId> {
        let missing = self
            .peers
            .values()
            .filter(|p| p.due && !p.member.inbound_ok && p.member.up());
        missing.map(|p| p.member.id.clone()).collect()
    }
}
