//! Documents that peers request from each other: the configuration and the list of replicas.
//!
//! The store sometimes rejects single instances while it serves the others. These learn of a new
//! version from the messages of their peers, and fetch it from them.

use {
    super::replica_list,
    crate::{
        http::{
            exchange,
            ClientRequest,
            Listener, //
        },
        serve::simple::{
            serve_simple,
            SimpleResponse, //
        },
        state::Shared, //
    },
    async_std::task,
    serde::{
        de::DeserializeOwned,
        Deserialize,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

const CONFIG_PATH: &str = "/configuration";
pub(super) const REPLICAS_PATH: &str = "/replicas";
/// A megabyte takes 10 ms at the speed of the network.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Peers delay their request for a new document by a random time up to this for each router that
/// asks the same peer, so that they do not all connect in the same millisecond: up to 0.3 s in a
/// fleet of 1,000, of the 2 s in which a change must take effect.
const FETCH_JITTER_PER_TAKER: Duration = Duration::from_millis(2);
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// A configuration, as it is sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigDocument {
    bytes: Vec<u8>,
}

/// Serves documents to peers.
pub(crate) async fn serve_documents(gw: Arc<Shared>, listener: Listener) {
    serve_simple(listener, move |_, target| {
        let encoded = match target {
            CONFIG_PATH => gw.current_config().map(|current| {
                rmp_serde::to_vec_named(&ConfigDocument {
                    bytes: current.document.clone(),
                })
            }),
            REPLICAS_PATH => {
                replica_list::local_list(&gw).map(|list| rmp_serde::to_vec_named(&list))
            }
            _ => None,
        };
        match encoded {
            None => SimpleResponse::status(404),
            Some(Ok(bytes)) => SimpleResponse::body("application/msgpack", bytes),
            Some(Err(e)) => {
                log::error!("event=document outcome=not-encoded path={target} cause={e:?}");
                SimpleResponse::status(500)
            }
        }
    })
    .await;
}

/// Fetches a document from a peer. A failure is logged and returns none.
pub(super) async fn fetch_document<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let request = ClientRequest {
        addr,
        method: "GET",
        target: path.to_owned(),
        body: None,
        within: FETCH_TIMEOUT,
        max_body_bytes: MAX_DOCUMENT_BYTES,
    };
    let answer = exchange(&mut None, &request)
        .await
        .map_err(|e| log::debug!("event=document outcome=not-had from={addr} cause={e:?}"))
        .ok()?;
    if answer.status != 200 {
        let status = answer.status;
        log::debug!("event=document outcome=not-had from={addr} status={status}");
        return None;
    }
    rmp_serde::from_slice(&answer.body)
        .map_err(|e| log::warn!("event=document outcome=not-understood from={addr} cause={e:?}"))
        .ok()
}

/// Fetches the configuration of a peer, puts it in force if it is newer, and passes it on.
///
/// All routers that fetch it from the same peer learn of it at the same moment, and that peer has few
/// cores, so the request is delayed by a random time.
pub(crate) async fn fetch_config(gw: &Shared, addr: SocketAddr) {
    let takers = gw.tables().fleet.takers() as u32;
    task::sleep((FETCH_JITTER_PER_TAKER * takers).mul_f64(fastrand::f64())).await;
    let before = gw.config_version();
    if let Some(document) = fetch_document::<ConfigDocument>(addr, CONFIG_PATH).await {
        gw.apply_config(document.bytes, &addr.to_string());
    }
    if gw.config_version() > before {
        gw.relay();
    }
}
