//! Tells callers which instances to connect to.

use {
    super::simple::{
        serve_simple,
        SimpleResponse, //
    },
    crate::{
        http::Listener,
        state::Shared, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// How long callers may cache an answer. Some cache it three times as long, so a leaving instance
/// stops getting new callers after 3 s, well within its shutdown time.
const CACHE_TIME: Duration = Duration::from_secs(1);

/// Serves callers that ask which instances to connect to.
pub(crate) async fn serve_addresses(gw: Arc<Shared>, listener: Listener) {
    let most = gw.settings.max_connections().addresses;
    serve_simple(gw.clone(), listener, most, move |method, target| {
        let Some(query) = (gw.dialect.parse_address_query)(target) else {
            return SimpleResponse::status(404);
        };
        if method != "GET" {
            return SimpleResponse::status(400);
        }
        log::debug!("event=addresses outcome=answered zone={:?}", query.zone);
        let addresses = addresses(&gw);
        if addresses.is_empty() {
            return SimpleResponse::status(503);
        }
        SimpleResponse::body(
            "application/json",
            (gw.dialect.encode_addresses)(&addresses, CACHE_TIME),
        )
    })
    .await;
}

/// Returns the callers' addresses of the active instances, shuffled.
///
/// Callers pick one at random, so the list includes remote instances: listing only the near ones
/// would send all callers of a busy zone to a few instances. If no active instance is known, the
/// list holds this one, provided that it can serve.
fn addresses(gw: &Shared) -> Vec<SocketAddr> {
    let now = gw.now();
    let ready = gw.is_ready();
    let mut tables = gw.tables();
    tables.fleet.set_ready(ready);
    tables.fleet.refresh(now);
    let mut all: Vec<SocketAddr> = tables.fleet.active().map(|(_, p)| p.info.callers).collect();
    if ready && (tables.fleet.is_active() || all.is_empty()) {
        all.push(gw.settings.listen.callers);
    }
    drop(tables);
    fastrand::shuffle(&mut all);
    all
}
