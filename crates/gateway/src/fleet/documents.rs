//! Documents that peers request from each other: the configuration and the list of replicas.
//!
//! The store sometimes rejects single instances while it serves the others. These learn of a new
//! version from the messages of their peers, and fetch it from them.

use {
    super::replica_list::{
        self,
        ListAnswer,
        UpdateDocument, //
    },
    crate::{
        http::{
            exchange,
            Answer,
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
    policy::{
        Revision,
        RevisionError,
        Span, //
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

const CONFIG_PATH: &str = "/configuration";
pub(super) const REPLICAS_PATH: &str = "/replicas";
/// Changes of the list; followed by the era and number of a revision, or by nothing for all of it.
const CHANGES_PATH: &str = "/replica-changes/";
/// A megabyte takes 10 ms at the speed of the network.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// A whole list is longer, and a small instance sends several at a time.
const LIST_TIMEOUT: Duration = Duration::from_millis(3_000);
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

/// What came of a fetch.
#[derive(Debug)]
pub(super) enum Fetched<T> {
    Document(T),
    /// The peer knows no such document.
    Missing,
    /// The peer can't be reached, is busy, or has nothing to send.
    Nothing,
}

/// Serves documents to peers.
pub(crate) async fn serve_documents(gw: Arc<Shared>, listener: Listener) {
    let most = gw.settings.max_connections().peers;
    serve_simple(gw.clone(), listener, most, move |_, target| {
        if let Some(revision) = target.strip_prefix(CHANGES_PATH) {
            return list_response(&gw, revision);
        }
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

/// Answers a peer that asks for changes of the list.
fn list_response(gw: &Shared, revision: &str) -> SimpleResponse {
    let Ok(revision) = parse_revision(revision) else {
        return SimpleResponse::status(400);
    };
    match replica_list::answer(gw, revision) {
        Ok(ListAnswer::Update(bytes, transfer)) => {
            SimpleResponse::body("application/msgpack", bytes).holding(transfer)
        }
        Ok(ListAnswer::Busy) => SimpleResponse::status(503),
        Ok(ListAnswer::None) => SimpleResponse::status(204),
        Err(e) => {
            log::error!("event=document outcome=not-encoded path={CHANGES_PATH} cause={e:?}");
            SimpleResponse::status(500)
        }
    }
}

/// Parses a revision; an empty text is none.
fn parse_revision(text: &str) -> Result<Option<Revision>, RevisionError> {
    match text.is_empty() {
        true => Ok(None),
        false => text.parse().map(Some),
    }
}

/// Fetches a document from a peer. A failure is logged and returns none.
pub(super) async fn fetch_document<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let answer = fetch(addr, path.to_owned(), FETCH_TIMEOUT).await?;
    if answer.status != 200 {
        let status = answer.status;
        log::debug!("event=document outcome=not-had from={addr} status={status}");
        return None;
    }
    rmp_serde::from_slice(&answer.body)
        .map_err(|e| log::warn!("event=document outcome=not-understood from={addr} cause={e:?}"))
        .ok()
}

/// Fetches what changed in the list of a peer after a revision, or the whole list.
pub(super) async fn fetch_list_update(
    addr: SocketAddr,
    revision: Option<Revision>,
) -> Fetched<(Span, UpdateDocument)> {
    let revision = revision.map_or(String::new(), |r| r.to_string());
    let path = format!("{CHANGES_PATH}{revision}");
    let Some(answer) = fetch(addr, path, LIST_TIMEOUT).await else {
        return Fetched::Nothing;
    };
    match answer.status {
        200 => {}
        404 => return Fetched::Missing,
        _ => return Fetched::Nothing,
    }
    let mut bytes = answer.body.as_slice();
    let decoded = rmp_serde::from_read(&mut bytes)
        .and_then(|age| Ok((age, rmp_serde::from_read(&mut bytes)?)))
        .map_err(|e| log::warn!("event=document outcome=not-understood from={addr} cause={e:?}"));
    decoded.map_or(Fetched::Nothing, Fetched::Document)
}

/// Sends a request for a document to a peer. A failure is logged and returns none.
async fn fetch(addr: SocketAddr, target: String, within: Duration) -> Option<Answer> {
    let request = ClientRequest {
        addr,
        method: "GET",
        target,
        body: None,
        within,
        max_body_bytes: MAX_DOCUMENT_BYTES,
    };
    exchange(&mut None, &request)
        .await
        .map_err(|e| log::debug!("event=document outcome=not-had from={addr} cause={e:?}"))
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
