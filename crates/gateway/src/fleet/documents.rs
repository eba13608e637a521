//! The configuration from peer to peer.
//!
//! The store turns single instances away at times while it serves the others. They hear of a
//! new version from the words of their peers, and get it from them.

use {
    crate::{
        http::{
            exchange,
            Ask, //
        },
        serve::small::{
            serve_small,
            Small, //
        },
        state::Shared, //
    },
    async_std::net::TcpListener,
    serde::{
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
/// How long a peer may take: a megabyte takes 10 ms at the speed of the links.
const WITHIN: Duration = Duration::from_millis(800);
/// Longest document.
const MAX: usize = 8 << 20;

/// A configuration as peers hand it on.
#[derive(Debug, Serialize, Deserialize)]
struct Document {
    bytes: Vec<u8>,
}

/// Hands the configuration to peers that ask for it.
pub(crate) async fn serve_documents(gw: Arc<Shared>, listener: TcpListener) {
    serve_small(listener, move |_, target| {
        let found = match target {
            PATH => gw.in_force(),
            _ => None,
        };
        let Some(force) = found else {
            return Small::status(404);
        };
        let document = Document {
            bytes: force.document.clone(),
        };
        match rmp_serde::to_vec_named(&document) {
            Ok(bytes) => Small::body("application/msgpack", bytes),
            Err(e) => {
                log::error!("event=config outcome=not-encoded cause={e:?}");
                Small::status(500)
            }
        }
    })
    .await;
}

/// Gets the configuration of a peer, and puts it in force where it is newer.
pub(crate) async fn fetch(gw: &Shared, addr: SocketAddr) {
    let ask = Ask {
        addr,
        method: "GET",
        target: PATH.to_owned(),
        body: None,
        within: WITHIN,
        max: MAX,
    };
    let answer = match exchange(&mut None, &ask).await {
        Ok(answer) if answer.status == 200 => answer,
        Ok(answer) => {
            log::debug!(
                "event=config outcome=not-had from={addr} status={}",
                answer.status
            );
            return;
        }
        Err(e) => {
            log::debug!("event=config outcome=not-had from={addr} cause={e:?}");
            return;
        }
    };
    match rmp_serde::from_slice::<Document>(&answer.body) {
        Ok(document) => {
            gw.take_config(document.bytes, &addr.to_string());
        }
        Err(e) => log::warn!("event=config outcome=not-understood from={addr} cause={e:?}"),
    }
}
