//! Which address callers are to use.

use {
    super::small::{
        serve_small,
        Small, //
    },
    crate::state::Shared,
    async_std::net::TcpListener,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// How long callers keep an answer. Some keep it three times as long, so an instance that
/// leaves is asked by nobody 3 s later, well within the time that it has.
const KEEP: Duration = Duration::from_secs(1);
/// Most addresses in an answer.
const MOST: usize = 64;

/// Answers callers who ask which address to use.
pub(crate) async fn serve_addresses(gw: Arc<Shared>, listener: TcpListener) {
    serve_small(listener, move |method, target| {
        let Some(query) = (gw.dialect.address_query)(target) else {
            return Small::status(404);
        };
        if method != "GET" {
            return Small::status(400);
        }
        log::debug!("event=addresses outcome=answered zone={:?}", query.zone);
        let addresses = addresses(&gw);
        if addresses.is_empty() {
            return Small::status(503);
        }
        Small::body(
            "application/json",
            (gw.dialect.address_answer)(&addresses, KEEP),
        )
    })
    .await;
}

/// Returns the instances that take callers.
///
/// Callers choose among them at random, so every one that can serve is named: whoever names
/// only those that are near sends the callers of a busy zone to a few.
fn addresses(gw: &Shared) -> Vec<SocketAddr> {
    let now = gw.now();
    let mut all: Vec<SocketAddr> = Vec::new();
    if gw.is_ready() {
        all.push(gw.settings.listen.callers);
    }
    let tables = gw.tables();
    let peers = tables.peers.live(now).filter(|(_, p)| p.ready);
    all.extend(peers.map(|(_, p)| p.callers));
    drop(tables);
    fastrand::shuffle(&mut all);
    all.truncate(MOST);
    all
}
