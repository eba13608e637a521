//! Which address callers are to use.

use {
    super::simple::{
        serve_simple,
        SimpleResponse, //
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

/// Answers callers who ask which address to use.
pub(crate) async fn serve_addresses(gw: Arc<Shared>, listener: TcpListener) {
    serve_simple(listener, move |method, target| {
        let Some(query) = (gw.dialect.address_query)(target) else {
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
            (gw.dialect.address_answer)(&addresses, KEEP),
        )
    })
    .await;
}

/// Returns the active instances, which take callers.
///
/// Callers choose among them at random, so all are named, also those that are far: whoever names
/// only those that are near sends the callers of a busy zone to a few. Where none is known this one
/// is named, if it can serve.
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
