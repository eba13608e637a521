//! The listeners of an instance.

use {
    super::{
        connection::Connection,
        simple::{
            accept_client,
            serve_simple,
            SimpleResponse, //
        },
    },
    crate::{
        http::{
            Conn,
            Listener, //
        },
        shutdown::StopSignal,
        state::Shared, //
    },
    async_std::task,
    metrics_exporter_prometheus::PrometheusHandle,
    policy::quarantine::SuspectKind,
    std::sync::{
        atomic::Ordering,
        Arc, //
    },
};

/// Accepts callers' connections until the process ends.
pub(crate) async fn accept(gw: Arc<Shared>, listener: Listener, stop: StopSignal) {
    loop {
        let accepted = accept_client(&gw.limiter, &listener, gw.callers).await;
        let Some((stream, account)) = accepted else {
            metrics::counter!("chervilwind_callers_turned_away").increment(1);
            continue;
        };
        let conn = match Conn::accepted(stream, account.clone()) {
            Ok(conn) => conn,
            Err(e) => {
                log::debug!("event=accept outcome=broken cause={e:?}");
                continue;
            }
        };
        let connection = Connection {
            gw: gw.clone(),
            conn,
            account,
            stop: stop.clone(),
            closes: false,
            method: String::new(),
        };
        gw.caller_connections.fetch_add(1, Ordering::Relaxed);
        let gw = gw.clone();
        task::spawn(async move {
            connection.run().await;
            gw.caller_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves the readiness check.
pub(crate) async fn serve_ready(gw: Arc<Shared>, listener: Listener) {
    let most = gw.settings.max_connections().ready;
    serve_simple(gw.clone(), listener, most, move |_, target| {
        if target != gw.dialect.ready_path {
            return SimpleResponse::status(404);
        }
        SimpleResponse::status(if gw.is_ready() { 200 } else { 503 })
    })
    .await;
}

/// Serves the metrics, and a dump of the instance's state.
pub(crate) async fn serve_metrics(
    gw: Arc<Shared>,
    listener: Listener,
    handle: Option<PrometheusHandle>,
) {
    let most = gw.settings.max_connections().metrics;
    let handler = {
        let gw = gw.clone();
        move |_: &str, target: &str| match (target, &handle) {
            ("/metrics", Some(handle)) => {
                update_gauges(&gw);
                handle.run_upkeep();
                SimpleResponse::body("text/plain; version=0.0.4", handle.render().into_bytes())
            }
            ("/state", _) => SimpleResponse::body("text/plain", format!("{gw:#?}\n").into_bytes()),
            _ => SimpleResponse::status(404),
        }
    };
    serve_simple(gw, listener, most, handler).await;
}

fn update_gauges(gw: &Shared) {
    let now = gw.now();
    let (peers, active, held, held_parts, cold, paused, streams, skipped, view) = {
        let tables = gw.tables();
        (
            tables.fleet.live(now).count(),
            tables.fleet.active_count(),
            tables.quarantine.count(SuspectKind::Request, now),
            tables.quarantine.count(SuspectKind::PromptPart, now),
            tables.warmup.cold_count(now),
            tables.cooldowns.count(now),
            tables.streams.len(),
            tables.skipped.count,
            tables.board.view(now),
        )
    };
    record_speeds(gw);
    let clients = gw.limiter.stats();
    let rejected = gw.tables().overload.rejected();
    metrics::gauge!("chervilwind_overload").set(rejected);
    let values = [
        (
            "chervilwind_active_requests",
            gw.active_requests.load(Ordering::Relaxed),
        ),
        (
            "chervilwind_callers",
            gw.caller_connections.load(Ordering::Relaxed),
        ),
        ("chervilwind_body_bytes", clients.held),
        ("chervilwind_receiving_bytes", clients.receiving),
        ("chervilwind_client_connections", clients.connections),
        ("chervilwind_peers", peers),
        ("chervilwind_active_routers", active),
        ("chervilwind_requests_held", held),
        ("chervilwind_prompt_parts_held", held_parts),
        ("chervilwind_cold_replicas", cold),
        ("chervilwind_replica_cooldowns", paused),
        ("chervilwind_streams", streams),
        ("chervilwind_entries_skipped", skipped),
        ("chervilwind_known_requests", view.running as usize),
        ("chervilwind_known_peers", view.peers),
    ];
    for (name, value) in values {
        metrics::gauge!(name).set(value as f64);
    }
}

/// Records the reading speeds of engines, if any are known.
fn record_speeds(gw: &Shared) {
    let Some(range) = gw.tables().fleet_speeds.range() else {
        return;
    };
    for (stat, speed) in [
        ("lowest", range.lowest),
        ("mean", range.mean),
        ("highest", range.highest),
    ] {
        metrics::gauge!("chervilwind_engine_speed", "stat" => stat).set(speed);
    }
}
