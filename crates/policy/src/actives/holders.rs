//! The routers that record for another one what began a stream.

use {
    super::Actives,
    crate::{
        rendezvous,
        streams::StreamKey,
        RouterId,
        Time,
        Zone, //
    },
    std::{
        collections::HashSet,
        net::SocketAddr, //
    },
};

/// Routers that are told of each stream, in two zones if there are as many.
const HOLDERS: usize = 2;
/// Routers that are asked for a stream: more than are told, as the routers that a router knows of
/// change.
const ASKED: usize = 8;

/// A router that may hold a record.
#[derive(Debug, Clone, Copy)]
struct Holder<'a> {
    name: &'a RouterId,
    zone: &'a Zone,
    addr: SocketAddr,
}

impl Actives {
    /// Returns the addresses of the other routers that record a stream of this router.
    pub fn stream_holders(&self, key: StreamKey, now: Time) -> Vec<SocketAddr> {
        self.rank_holders(key, HOLDERS, now)
    }

    /// Returns the addresses of the other routers to ask for a stream of any router.
    pub fn stream_sources(&self, key: StreamKey, now: Time) -> Vec<SocketAddr> {
        self.rank_holders(key, ASKED, now)
    }

    /// Returns whether there are other routers, and none of them is in contact.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.contacts.len() > 0 && self.live(now).next().is_none()
    }

    /// Returns the number of other routers that are out of contact: they have ended, or can't be reached.
    pub fn silent_count(&self, now: Time) -> usize {
        self.peers.len() - self.live(now).count()
    }

    /// Ranks the other routers: the first one of each zone, and then the rest.
    ///
    /// All routers compute the same order, so that the few that a router tells are among those that
    /// another one asks, without a message on who holds what.
    fn rank_holders(&self, key: StreamKey, count: usize, now: Time) -> Vec<SocketAddr> {
        let holders = self.live(now).map(|(name, peer)| Holder {
            name,
            zone: &peer.info.zone,
            addr: peer.info.peers,
        });
        let ranked = rendezvous::rank_by_hash(key.0, holders, |h| h.name.as_str());
        let mut zones = HashSet::new();
        let (first, rest): (Vec<Holder<'_>>, Vec<Holder<'_>>) =
            ranked.into_iter().partition(|h| zones.insert(h.zone));
        let ranked = first.into_iter().chain(rest);
        ranked.take(count).map(|h| h.addr).collect()
    }
}
