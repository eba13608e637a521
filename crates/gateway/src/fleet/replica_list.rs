//! Exchange of the list of replicas between peers.
//!
//! In any second only a few of 60 routers read the list from the store. The headers of their
//! messages carry the age and digest of the list, and the other routers fetch it from them if it is
//! newer and differs from their own. If instead each router read the store every 4 s, 48 s would
//! see 1,000 reads in place of 300, and a router that the store rejects would not learn of new
//! replicas.

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

/// A router's list of replicas, as it is sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReplicaListDocument {
    /// Time since it was read from the store.
    age: Span,
    replicas: Vec<Replica>,
    /// The era of the store that it was read in.
    #[serde(default)]
    era: Era,
}

/// Returns this router's list, if it has one.
pub(super) fn local_list(gw: &Shared) -> Option<ReplicaListDocument> {
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
    Some(ReplicaListDocument {
        age,
        replicas: replicas.collect(),
        era: tables.roster.era(),
    })
}

/// Fetches the list of a peer, and applies it if it is newer.
pub(super) async fn fetch(gw: &Shared, addr: SocketAddr) {
    if let Some(list) =
        documents::fetch_document::<ReplicaListDocument>(addr, documents::REPLICAS_PATH).await
    {
        follow::apply_peer_list(gw, list.replicas, list.era, list.age, addr).await;
    }
}
