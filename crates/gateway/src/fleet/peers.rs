//! The table of peers.

use {
    super::beat::Beat,
    policy::{
        Incarnation,
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

/// A peer that was not heard for this long gets no callers and no part of what is shared.
///
/// Its words come every 40 ms to 0.3 s, so some may be lost; callers that are sent to a
/// router that is down lose a second each.
const LIVE: Span = Span::millis(1_000);
/// After this time an address that never answered, and that nobody lists, is forgotten.
const FORGET: Span = Span::secs(15);

/// A peer as it was last heard.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    number: u64,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: bool,
    pub(crate) heard: Time,
}

/// All peers that are known.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    all: BTreeMap<RouterId, Peer>,
    /// Addresses to speak to, and when each was last listed or heard.
    addresses: HashMap<SocketAddr, Time>,
}

impl Peers {
    /// Takes a peer's word. Returns false for one that is older than what is known.
    pub(crate) fn hear(&mut self, beat: &Beat, now: Time) -> bool {
        if let Some(known) = self.all.get(&beat.name) {
            let same = known.incarnation == beat.incarnation;
            // Datagrams overtake each other. An old word would bring back requests that
            // have ended.
            if same && beat.number <= known.number {
                return false;
            }
        }
        let peer = Peer {
            incarnation: beat.incarnation,
            number: beat.number,
            callers: beat.callers,
            ready: beat.ready,
            heard: now,
        };
        self.all.insert(beat.name.clone(), peer);
        self.addresses.insert(beat.peers, now);
        true
    }

    /// Notes that somebody lists a router at this address.
    pub(crate) fn list(&mut self, addr: SocketAddr, now: Time) {
        self.addresses.insert(addr, now);
    }

    /// Drops what is long out of date.
    pub(crate) fn forget(&mut self, now: Time) {
        self.all.retain(|_, p| now.since(p.heard) < FORGET);
        self.addresses.retain(|_, at| now.since(*at) < FORGET);
    }

    /// Returns the peers that are heard, with their names.
    pub(crate) fn live(&self, now: Time) -> impl Iterator<Item = (&RouterId, &Peer)> {
        let live = self.all.iter();
        live.filter(move |(_, p)| now.since(p.heard) < LIVE)
    }

    /// Returns how many routers there are, this one included.
    pub(crate) fn count(&self, now: Time) -> usize {
        self.live(now).count() + 1
    }

    /// Returns the addresses to speak to.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.keys().copied().collect()
    }
}
