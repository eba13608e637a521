//! The table of all routers that this one knows.

use {
    super::{
        gossip::Gossip,
        peer::Peer,
        ring::Ring,
        Event,
        GossipUpdate,
        Heartbeat,
        Listed,
        Member,
        MembershipParams,
        ReportedState,
        RouterAddresses,
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

/// Rounds between two heartbeats with addresses to a router whose heartbeats arrive here.
const ADDRESSES_INTERVAL: u64 = 16;

/// The routers known to this one, itself included.
///
/// # Examples
///
/// ```
/// use policy::{members::{Event, Members, MembershipParams, RouterAddresses}, Incarnation, Time};
///
/// let addresses = |port| RouterAddresses {
///     addr: ([127, 0, 0, 1], port).into(),
///     caller_addr: ([127, 0, 0, 1], port + 1).into(),
///     operator_addr: None,
///     zone: "hall-a".parse().unwrap(),
/// };
/// let id = |s: &str| s.parse().unwrap();
/// let params = MembershipParams::default();
/// let mut a = Members::new(id("a"), Incarnation(1), addresses(7000), params.clone(), 1);
/// let mut b = Members::new(id("b"), Incarnation(1), addresses(7100), params, 2);
/// a.seed(id("b"), addresses(7100), Time(0));
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
    pub(super) addresses: RouterAddresses,
    pub(super) local: LocalStatus,
    pub(super) params: MembershipParams,
    pub(super) rng: Rng,
    pub(super) seq: u64,
    pub(super) peers: BTreeMap<RouterId, Peer>,
    pub(super) gossip: Gossip,
    /// Updates for one router, to be sent in the next heartbeat to it.
    pub(super) pending: BTreeMap<RouterId, Vec<GossipUpdate>>,
    pub(super) events: Vec<Event>,
    pub(super) last_tick: Option<Time>,
    pub(super) next_round: Option<Time>,
}

/// The status of this router that its heartbeats carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalStatus {
    /// The router is shutting down.
    pub leaving: bool,
    /// The router cannot reach the platform.
    pub no_platform: bool,
    /// The revision of the configuration in force.
    pub config: u64,
    /// The revision of the platform's list that the router has seen.
    pub list: u64,
    /// The router's load.
    pub load: u32,
}

impl Members {
    /// Creates the table of a router that knows only itself. The seed determines the random
    /// receivers of its heartbeats and should differ between routers.
    pub fn new(
        me: RouterId,
        incarnation: Incarnation,
        addresses: RouterAddresses,
        params: MembershipParams,
        seed: u64,
    ) -> Members {
        Members {
            me,
            incarnation,
            addresses,
            local: LocalStatus::default(),
            params,
            rng: Rng::with_seed(seed),
            seq: 0,
            peers: BTreeMap::new(),
            gossip: Gossip::default(),
            pending: BTreeMap::new(),
            events: Vec::new(),
            last_tick: None,
            next_round: None,
        }
    }

    /// Sets the status that the next heartbeats carry.
    pub fn set_local_status(&mut self, local: LocalStatus) {
        if self.local.leaving != local.leaving {
            self.events.push(Event::Changed);
        }
        self.local = local;
    }

    /// Adds a router from the settings or from a peer, for when no list is available.
    pub fn seed(&mut self, id: RouterId, addresses: RouterAddresses, now: Time) {
        if id == self.me || self.peers.contains_key(&id) {
            return;
        }
        let peer = Peer::new(id.clone(), &addresses, &self.params, now);
        self.peers.insert(id, peer);
        self.events.push(Event::Changed);
    }

    /// Applies the platform's list. As the list lags, it adds routers but never removes one
    /// that still sends heartbeats.
    pub fn update_list(&mut self, list: Vec<Listed>, now: Time) {
        for p in self.peers.values_mut() {
            p.listed = false;
        }
        for l in list {
            if l.id == self.me {
                continue;
            }
            let addresses = RouterAddresses {
                addr: l.addr,
                caller_addr: l.caller_addr,
                operator_addr: None,
                zone: l.zone.clone(),
            };
            self.seed(l.id.clone(), addresses, now);
            if let Some(p) = self.peers.get_mut(&l.id) {
                let before = p.member.clone();
                p.apply_list_entry(&l);
                if p.member != before {
                    self.events.push(Event::Changed);
                }
            }
        }
    }

    /// Marks a router as left that said goodbye on its connection.
    pub fn mark_left(&mut self, id: &RouterId, now: Time) {
        self.set_state(id, State::Left, now);
    }

    /// Queues heartbeats which announce that this router's process ends now.
    pub fn goodbye(&mut self) {
        self.seq += 1;
        let left = GossipUpdate {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            reported: ReportedState::Left,
        };
        let ring = Ring::new(self.ring_ids());
        for id in self.targets(&ring) {
            self.pending
                .entry(id.clone())
                .or_default()
                .push(left.clone());
            self.send_heartbeat(&id, false);
        }
    }

    /// Takes the events since the last call, with [`Event::Changed`] at most once.
    pub fn take_events(&mut self) -> Vec<Event> {
        let mut changed = false;
        let mut events = mem::take(&mut self.events);
        events.retain(|e| match e {
            Event::Changed => !mem::replace(&mut changed, true),
            _ => true,
        });
        events
    }

    /// Returns the members of the fleet: this router and all that are listed, live or suspect.
    pub fn view(&self) -> Vec<Member> {
        let others = self.peers.values().map(|p| &p.member);
        let mut all: Vec<Member> = others.filter(|m| m.up()).cloned().collect();
        all.push(self.myself());
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Returns another router, whatever its state.
    pub fn get(&self, id: &RouterId) -> Option<&Member> {
        self.peers.get(id).map(|p| &p.member)
    }

    /// Returns all other routers, including dead ones, for the dump.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|p| &p.member)
    }

    fn myself(&self) -> Member {
        Member {
            id: self.me.clone(),
            incarnation: self.incarnation,
            addr: self.addresses.addr,
            caller_addr: self.addresses.caller_addr,
            operator_addr: self.addresses.operator_addr,
            zone: self.addresses.zone.clone(),
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

    /// Sets a router's state and gossips the change.
    pub(super) fn set_state(&mut self, id: &RouterId, state: State, now: Time) {
        let n = self.peers.len();
        let Some(p) = self.peers.get_mut(id) else {
            return;
        };
        let before = p.member.state;
        if !p.set_state(state, now) {
            return;
        }
        self.events.push(Event::Changed);
        // The first heartbeat of a listed router is no news: all routers expect it.
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
        let mut updates = self.pending.remove(to).unwrap_or_default();
        updates.extend(self.gossip.take());
        let known = p.member.inbound_ok && !reply_requested && self.seq % ADDRESSES_INTERVAL != 0;
        let heartbeat = Heartbeat {
            id: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            addresses: (!known).then(|| self.addresses.clone()),
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

    /// Returns the routers whose heartbeats are due here but do not arrive.
    fn missing(&self) -> Vec<RouterId> {
        let missing = self
            .peers
            .values()
            .filter(|p| p.expected && !p.member.inbound_ok && p.member.up());
        missing.map(|p| p.member.id.clone()).collect()
    }
}
