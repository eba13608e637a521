//! The list of replicas from peer to peer.
//!
//! Of 60 routers a few read the list of the store in any second. The others see from the words
//! of these that there is a newer list, and which; where it differs from their own, they get it
//! from the peer. If each read the store every 4 s instead, that would be 1,000 reads in 48 s
//! beside 300 in turns, and a router that the store turns away would know of no new replica.

use {
    super::documents,
    crate::{
        follow,
        model::{
            Replica,
            State, //
        },
        state::Shared, //
    },
    policy::{
        Era,
        Span, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr, //
};

/// The list as a router knows it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct List {
    /// How long ago it was made.
    age: Span,
    replicas: Vec<Replica>,
    /// The era of the store that it is of.
    #[serde(default)]
    era: Era,
}

/// Returns this router's list, once it has one.
pub(super) fn own(gw: &Shared) -> Option<List> {
    let now = gw.now();
    let tables = gw.tables();
    let age = tables.roster.age(now)?;
    let replicas = tables.roster.all().map(|(_, replica, draining)| Replica {
        state: match draining {
            true => State::Draining,
            false => State::Ready,
        },
        ..Replica::clone(replica)
    });
    Some(List {
        age,
        replicas: replicas.collect(),
        era: tables.roster.era(),
    })
}

/// Gets the list of a peer, and takes it where it is newer.
pub(super) async fn fetch(gw: &Shared, addr: SocketAddr) {
    if let Some(list) = documents::get::<List>(addr, documents::LIST_PATH).await {
        follow::take_from_peer(gw, list.replicas, list.era, list.age, addr);
    }
}
