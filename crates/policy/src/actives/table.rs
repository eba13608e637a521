//! All routers that are known, and what they said last.

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
            HashMap, //
        },
        net::SocketAddr, //
    },
};

/// The routers that are known to one of them.
///
/// # Examples
///
/// ```
/// use policy::{actives::{Actives, RouterInfo}, Incarnation, Span, Time};
///
/// let intro = |port| RouterInfo {
///     incarnation: Incarnation(1),
///     peers: ([127, 0, 0, 1], port).into(),
///     callers: ([127, 0, 0, 1], port + 1).into(),
///     zone: "hall-a".parse().unwrap(),
///     processor: 0.25,
///     ready: true,
/// };
/// let mut fleet = Actives::new("r1".parse()?, intro(7000), 24, Span::millis(100));
/// let (name, now) = ("r2".parse()?, Time(0));
/// fleet.receive_hello(&name, 1, intro(7100), Span::millis(100), 0.0, now);
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
    pub(super) own: RouterInfo,
    /// Least number of active routers, where there are as many.
    pub(super) least: usize,
    /// Time between two words of active routers, where these are few.
    pub(super) beat: Span,
    pub(super) rate: Rate,
    pub(super) peers: BTreeMap<RouterId, Peer>,
    /// The peers by the short names of their starts.
    pub(super) shorts: HashMap<u32, RouterId>,
    pub(super) contacts: Contacts,
    /// Others that are active.
    pub(super) active: Vec<RouterId>,
    /// Since when this router is active.
    pub(super) active_since: Option<Time>,
    /// When another router last told this one its loads, as to an active one.
    pub(super) addressed: Option<Time>,
    /// How many routers share the retry budget, and when an active one said so.
    pub(super) known_sharers: Option<(Time, usize)>,
    pub(super) refreshed: Option<Time>,
}

/// What a router's word on its loads says besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct LoadFlags {
    /// It has many requests.
    pub busy: bool,
    /// It takes the router that it tells for active.
    pub to_active: bool,
    /// The sender acts as an active router.
    pub from_active: bool,
}

impl Actives {
    /// Makes the table of a router that knows nobody yet.
    pub fn new(name: RouterId, own: RouterInfo, least: usize, beat: Span) -> Actives {
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
            known_sharers: None,
            refreshed: None,
        }
    }

    /// Returns this router's name.
    pub fn name(&self) -> &RouterId {
        &self.name
    }

    /// Returns what this router tells of itself.
    pub fn local(&self) -> &RouterInfo {
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
    pub fn add_address(&mut self, addr: SocketAddr, now: Time) {
        if addr != self.own.peers {
            self.contacts.list(addr, now);
        }
    }

    /// Takes the word of another router on who it is; its next one comes after `next`.
    pub fn receive_hello(
        &mut self,
        name: &RouterId,
        number: u32,
        intro: RouterInfo,
        next: Span,
        rate: f64,
        now: Time,
    ) -> HelloKind {
        let known = self.peers.get(name);
        let same = known.filter(|p| p.intro.incarnation == intro.incarnation);
        // Datagrams overtake each other. An old word would bring back what has changed.
        if same.is_some_and(|p| number <= p.hello) {
            return HelloKind::Stale;
        }
        let first = same.is_none();
        let changed = same.is_none_or(|p| p.silent.is_some() || p.intro.ready != intro.ready);
        let before = known.map(|p| router_key(name, p.intro.incarnation));
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
        let key = router_key(name, peer.intro.incarnation);
        self.shorts.insert(key, name.clone());
        self.contacts.list(peer.intro.peers, now);
        self.peers.insert(name.clone(), peer);
        if changed {
            self.refreshed = None;
        }
        match first {
            true => HelloKind::First,
            false => HelloKind::Later,
        }
    }

    /// Takes a router's word on its loads. Returns who it is and where it hears the others, unless
    /// the word is old or from one that has not said who it is.
    pub fn receive_loads(
        &mut self,
        from: u32,
        number: u32,
        next: Span,
        said: LoadFlags,
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
        }
        if said.to_active && said.from_active {
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
    pub fn receive_silent(&mut self, silent: &[u32], now: Time) {
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
            .map(|(name, p)| router_key(name, p.intro.incarnation))
            .collect()
    }
}
