//! What peers hand each other on request: the configuration, and the list of replicas.
//!
//! The store turns single instances away at times while it serves the others. They hear of a
//! new version from the words of their peers, and get it from them.

use {
    super::lists,
    crate::{
        http::{
            exchange,
            ClientRequest, //
        },
        serve::simple::{
            serve_simple,
            SimpleResponse, //
        },
        state::Shared, //
    },
    async_std::{
        net::TcpListener,
        task, //
    },
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

/// Where a peer's configuration is had.
const PATH: &str = "/configuration";
/// Where a peer's list of replicas is had.
pub(super) const LIST_PATH: &str = "/replicas";
/// How long a peer may take: a megabyte takes 10 ms at the speed of the links.
const WITHIN: Duration = Duration::from_millis(800);
/// Time over which peers spread their requests for one document, for each router there is: 170 ms
/// of the 2 s that a change has where there are 85, so that these do not all connect in the same
/// millisecond. The figure is reckoned, not measured.
const SPREAD: Duration = Duration::from_millis(2);
/// Longest document.
const MAX: usize = 8 << 20;

/// A configuration as peers hand it on.
#[derive(Debug, Serialize, Deserialize)]
struct Document {
    bytes: Vec<u8>,
}

/// Hands documents to peers that ask for them.
pub(crate) async fn serve_documents(gw: Arc<Shared>, listener: TcpListener) {
    serve_simple(listener, move |_, target| {
        let encoded = match target {
            PATH => gw.in_force().map(|force| {
                rmp_serde::to_vec_named(&Document {
                    bytes: force.document.clone(),
                })
            }),
            LIST_PATH => lists::own(&gw).map(|list| rmp_serde::to_vec(&list)),
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

/// Gets a document of a peer; none, with a line in the log, where it can't be had.
pub(super) async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let ask = ClientRequest {
        addr,
        method: "GET",
        target: path.to_owned(),
        body: None,
        within: WITHIN,
        max_body_bytes: MAX,
    };
    let answer = exchange(&mut None, &ask)
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

/// Gets the configuration of a peer, and puts it in force where it is newer.
///
/// All peers hear of a new one in the same moment, and the one that told them has few cores.
pub(crate) async fn fetch(gw: &Shared, addr: SocketAddr) {
    let routers = gw.tables().fleet.count(gw.now()) as u32;
    task::sleep((SPREAD * routers).mul_f64(fastrand::f64())).await;
    if let Some(document) = get::<Document>(addr, PATH).await {
        gw.take_config(document.bytes, &addr.to_string());
    }
}
