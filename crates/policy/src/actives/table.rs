//! All known routers and what they last reported.

use {
    super::{
        contacts::Contacts,
        peer::{
            router_key,
            HelloKind,
            Peer,
            RouterInfo,
            Silence, //
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
            BTreeSet,
            HashMap, //
        },
        net::SocketAddr, //
    },
};

/// The other routers, as known to one of them.
///
/// # Examples
///
/// ```
/// use policy::{actives::{Actives, RouterInfo}, Incarnation, Span, Time};
///
/// let info = |port| RouterInfo {
///     incarnation: Incarnation(1),
///     peers: ([127, 0, 0, 1], port).into(),
///     callers: ([127, 0, 0, 1], port + 1).into(),
///     zone: "hall-a".parse().unwrap(),
///     processor: 0.25,
///     ready: true,
/// };
/// let mut fleet = Actives::new("r1".parse()?, info(7000), 24, Span::millis(100));
/// let (name, now) = ("r2".parse()?, Time(0));
/// fleet.receive_hello(&name, 1, info(7100), Span::millis(100), 0.0, now);
/// fleet.refresh(now);
/// assert_eq!(fleet.active_count(), 2);
/// // It falls silent.
/// fleet.refresh(now + Span::secs(3));
/// assert_eq!(fleet.active_count(), 1);
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug)]
pub struct Actives {
    pub(super) name: RouterId,
    pub(super) local: RouterInfo,
    /// Minimum number of active routers, if there are that many.
    pub(super) least: usize,
    /// Interval between two messages of active routers, if there are few of them.
    pub(super) heartbeat: Span,
    pub(super) rate: Rate,
    pub(super) peers: BTreeMap<RouterId, Peer>,
    /// The peers by the keys of their incarnations.
    pub(super) keys: HashMap<u32, RouterId>,
    pub(super) contacts: Contacts,
    /// Other active routers.
    pub(super) active: Vec<RouterId>,
    /// The standbys that this router, as an active one, keeps up to date.
    pub(super) followers: BTreeSet<SocketAddr>,
    /// When the followers were last determined.
    pub(super) followers_known: Option<Time>,
    /// Since when this router is active.
    pub(super) active_since: Option<Time>,
    /// When another router last sent its load to this one as to an active router.
    pub(super) addressed: Option<Time>,
    /// How many routers share the retry budget, and when an active one reported it.
    pub(super) known_sharers: Option<(Time, usize)>,
    pub(super) refreshed: Option<Time>,
}

/// The flags of a load message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct LoadFlags {
    /// The sender has many requests.
    pub busy: bool,
    /// The sender considers the receiver active.
    pub to_active: bool,
    /// The sender acts as an active router.
    pub from_active: bool,
}

impl Actives {
    /// Creates the table of a router that knows no others yet.
    pub fn new(name: RouterId, local: RouterInfo, least: usize, heartbeat: Span) -> Actives {
        Actives {
            name,
            contacts: Contacts::new(local.peers),
            local,
            least,
            heartbeat,
            rate: Rate::default(),
            peers: BTreeMap::new(),
            keys: HashMap::new(),
            active: Vec::new(),
            followers: BTreeSet::new(),
            followers_known: None,
            active_since: None,
            addressed: None,
            known_sharers: None,
            refreshed: None,
        }
    }

    /// Returns this router's name.
    pub fn name(&self) -> &RouterId {
        &self.name
    }

    /// Returns what this router reports about itself.
    pub fn local(&self) -> &RouterInfo {
        &self.local
    }

    /// Sets whether callers may be sent to this router.
    pub fn set_ready(&mut self, ready: bool) {
        if self.local.ready != ready {
            self.local.ready = ready;
            self.refreshed = None;
        }
    }

    /// Counts a request to this router.
    pub fn count_request(&mut self) {
        self.rate.count();
    }

    /// Returns the number of requests per second at this router.
    pub fn rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Records that a router is listed at this address.
    pub fn add_address(&mut self, addr: SocketAddr, now: Time) {
        if addr != self.local.peers {
            self.contacts.add(addr, now);
        }
    }

    /// Processes a hello of another router; its next message arrives after `next`.
    pub fn receive_hello(
        &mut self,
        name: &RouterId,
        number: u32,
        info: RouterInfo,
        next: Span,
        rate: f64,
        now: Time,
    ) -> HelloKind {
        let known = self.peers.get(name);
        let same = known.filter(|p| p.info.incarnation == info.incarnation);
        // Datagrams may arrive out of order. An older one would revert what has changed.
        if same.is_some_and(|p| number <= p.hello_number) {
            return HelloKind::Stale;
        }
        let first = same.is_none();
        let changed = same.is_none_or(|p| p.silent.is_some() || p.info.ready != info.ready);
        let before = known.map(|p| router_key(name, p.info.incarnation));
        let peer = Peer {
            rate,
            rate_reported: now,
            hello_number: number,
            loads_number: same.map_or(0, |p| p.loads_number),
            busy: same.and_then(|p| p.busy),
            addressed: same.and_then(|p| p.addressed),
            last_received: now,
            next,
            active: same.and_then(|p| p.active),
            silent: None,
            info,
        };
        if let Some(before) = before {
            self.keys.remove(&before);
        }
        let key = router_key(name, peer.info.incarnation);
        self.keys.insert(key, name.clone());
        self.contacts.add(peer.info.peers, now);
        self.peers.insert(name.clone(), peer);
        if changed {
            self.refreshed = None;
        }
        match first {
            true => HelloKind::First,
            false => HelloKind::Later,
        }
    }

    /// Processes a load message. Returns the sender and its address for messages, unless the
    /// message is stale or the sender is unknown.
    pub fn receive_loads(
        &mut self,
        from: u32,
        number: u32,
        next: Span,
        flags: LoadFlags,
        now: Time,
    ) -> Option<(RouterId, SocketAddr)> {
        let name = self.keys.get(&from)?;
        let peer = self.peers.get_mut(name)?;
        if number <= peer.loads_number {
            return None;
        }
        peer.loads_number = number;
        peer.last_received = now;
        peer.next = next;
        if peer.silent.take().is_some() {
            self.refreshed = None;
        }
        if flags.to_active {
            self.addressed = Some(now);
        }
        if flags.to_active && flags.from_active {
            peer.addressed = Some(now);
        }
        if flags.busy {
            peer.busy = Some(now);
        }
        self.contacts.add(peer.info.peers, now);
        Some((name.clone(), peer.info.peers))
    }

    /// Processes another router's report that active routers are silent. A standby receives
    /// messages from each of them only every few seconds, and would otherwise send callers to a
    /// dead one for that long.
    pub fn receive_silent(&mut self, silent: &[u32], now: Time) {
        for key in silent {
            let name = self.keys.get(key);
            let Some(peer) = name.and_then(|name| self.peers.get_mut(name)) else {
                continue;
            };
            if peer.silent.is_none() && !peer.was_just_received(now) {
                peer.silent = Some(Silence::Reported);
                self.refreshed = None;
            }
        }
    }

    /// Returns the keys of the routers that lost their role because they are silent, to report them
    /// to the others.
    pub fn silent(&self) -> Vec<u32> {
        let observed = |p: &Peer| p.silent == Some(Silence::Observed);
        let silent = self.peers.iter().filter(|(_, p)| observed(p));
        silent
            .map(|(name, p)| router_key(name, p.info.incarnation))
            .collect()
    }
}
