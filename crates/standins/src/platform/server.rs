//! Accepts connections, and applies the faults to whole calls.

use {
    super::{
        app,
        faults::Down,
        state::{
            Conn,
            ConnKey,
            Shared, //
        },
    },
    async_std::{
        future::pending,
        net::{
            TcpListener,
            TcpStream, //
        },
        task,
    },
    http_types::{
        Method,
        Request,
        Response,
        StatusCode, //
    },
    std::time::Duration,
};

/// How often a stalled call checks whether it may continue.
const STALL_TICK: Duration = Duration::from_millis(5);

/// Serves clients, with the faults in force.
pub(crate) async fn serve_clients(
    listener: TcpListener,
    shared: Shared,
    app: tide::Server<Shared>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if shared.lock().faults.down == Some(Down::Refuse) {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let conn = Conn {
            stream: stream.clone(),
            silent: false,
        };
        let key = shared.lock().conns.insert(conn);
        let (shared, app) = (shared.clone(), app.clone());
        task::spawn(async move {
            let call = |req| answer(req, key, &shared, &app);
            let _ = async_h1::accept(stream, call).await;
            shared.lock().conns.remove(key);
        });
    }
}

/// Serves the admin paths, without faults.
pub(crate) async fn serve_admin(listener: TcpListener, app: tide::Server<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let app = app.clone();
        task::spawn(async move { serve_one(stream, app).await });
    }
}

async fn serve_one(stream: TcpStream, app: tide::Server<Shared>) {
    let call = |req: Request| {
        let app = app.clone();
        async move { app.respond(req).await }
    };
    let _ = async_h1::accept(stream, call).await;
}

async fn answer(
    mut req: Request,
    key: ConnKey,
    shared: &Shared,
    app: &tide::Server<Shared>,
) -> http_types::Result<Response> {
    let client = req
        .header("x-client")
        .map_or("-", |v| v.as_str())
        .to_owned();
    let kind = kind_of(&req);
    let write = !matches!(kind, "get" | "watch" | "list");
    let slow = {
        let mut inner = shared.lock();
        inner.counts.add(&client, kind);
        inner.faults.slow
    };
    if let Some(res) = gate(key, &client, shared).await {
        return Ok(res);
    }
    if write && hold_one(shared) {
        let body = req.body_bytes().await?;
        req.set_body(body);
        shared.lock().held.push(req);
        return Err(http_types::format_err!("the write comes late"));
    }
    task::sleep(slow / 2).await;
    let res = app.respond(req).await;
    task::sleep(slow / 2).await;
    while shared.lock().faults.stalled.contains(&client) {
        task::sleep(STALL_TICK).await;
    }
    if let Some(res) = gate(key, &client, shared).await {
        return Ok(res);
    }
    if write && lose_one(shared) {
        // An error here ends the connection before any byte of the answer.
        return Err(http_types::format_err!("the answer is lost"));
    }
    res
}

/// Returns the answer that a fault replaces the real one with; never returns for a silent fault.
async fn gate(key: ConnKey, client: &str, shared: &Shared) -> Option<Response> {
    let (down, silent) = {
        let inner = shared.lock();
        let silent = inner.conns.get(key).is_some_and(|c| c.silent);
        (
            inner.faults.down,
            silent || inner.faults.cut.contains(client),
        )
    };
    if silent || down == Some(Down::Hang) {
        pending::<()>().await;
    }
    down.map(|_| Response::new(StatusCode::ServiceUnavailable))
}

fn hold_one(shared: &Shared) -> bool {
    let faults = &mut shared.lock().faults;
    let held = faults.hold > 0;
    faults.hold = faults.hold.saturating_sub(1);
    held
}

/// Does the held writes in the order of their arrival.
pub(crate) async fn release(shared: Shared) {
    let app = app::clients(shared.clone());
    let held = std::mem::take(&mut shared.lock().held);
    for req in held {
        let _: http_types::Result<Response> = app.respond(req).await;
    }
}

fn lose_one(shared: &Shared) -> bool {
    let faults = &mut shared.lock().faults;
    let lost = faults.lose > 0;
    faults.lose = faults.lose.saturating_sub(1);
    lost
}

fn kind_of(req: &Request) -> &'static str {
    let path = req.url().path();
    let watch = req.url().query().is_some_and(|q| q.contains("watch="));
    match req.method() {
        _ if path.starts_with("/v1/instances") => "list",
        Method::Post if path == "/v1/lease" => "grant",
        Method::Put if path.starts_with("/v1/lease/") => "renew",
        Method::Delete if path.starts_with("/v1/lease/") => "revoke",
        Method::Put => "put",
        Method::Delete => "delete",
        _ if watch => "watch",
        _ => "get",
    }
}
