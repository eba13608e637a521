//! The paths, as tide applications.

use {
    super::{
        faults::Down,
        instances::{
            Instance,
            State, //
        },
        kv::{
            Refused,
            Stored,
            VALUE_MAX, //
        },
        server,
        state::Shared, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::time::{
        Duration,
        Instant, //
    },
    tide::{
        Body,
        Request,
        Response,
        Result,
        StatusCode, //
    },
};

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

#[derive(Debug, Deserialize)]
struct GetQuery {
    watch: Option<u64>,
    wait: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct PutQuery {
    cas: Option<u64>,
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct GrantQuery {
    ttl: u64,
}

#[derive(Debug, Deserialize)]
struct SinceQuery {
    since: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct AdminQuery {
    mode: Option<Down>,
    ms: Option<u64>,
    n: Option<u32>,
    client: Option<String>,
    state: Option<State>,
}

#[derive(Debug, Serialize)]
struct Written {
    revision: u64,
}

#[derive(Debug, Serialize)]
struct Granted {
    id: u64,
}

/// The paths for clients.
pub(crate) fn clients(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    app.at("/v1/kv/*").get(get).put(put).delete(delete);
    app.at("/v1/lease").post(grant);
    app.at("/v1/lease/:id").put(renew).delete(revoke);
    app.at("/v1/instances").get(list);
    app
}

/// The paths for tests and demo.
pub(crate) fn admin(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    app.at("/admin/counts").get(counts).delete(clear_counts);
    app.at("/admin/instances").post(put_instances);
    app.at("/admin/instances/:name")
        .put(set_state)
        .delete(remove_instance);
    app.at("/admin/release").post(release);
    app.at("/admin/:fault").post(fault);
    app
}

async fn get(req: Request<Shared>) -> Result {
    let key = key_of(&req);
    let query: GetQuery = req.query()?;
    let wait = Duration::from_millis(query.wait.unwrap_or(0)).min(WAIT_MAX);
    let until = Instant::now() + wait;
    loop {
        let change = {
            let mut inner = req.state().lock();
            inner.kv.expire(Instant::now());
            let found = inner.kv.get(&key);
            let known = query.watch.unwrap_or(0);
            let left = until.saturating_duration_since(Instant::now());
            let waits = query.watch.is_some() && found.map_or(0, |s| s.revision) <= known;
            // The deletion of a key is a change for a watcher that knows the key.
            let gone = found.is_none() && known > 0;
            if !waits || gone || left.is_zero() || inner.faults.down.is_some() {
                return show(found, query.watch);
            }
            inner.next_change()
        };
        let left = until.saturating_duration_since(Instant::now());
        let _ = async_std::future::timeout(left, change.recv()).await;
    }
}

fn show(found: Option<&Stored>, known: Option<u64>) -> Result {
    match found {
        Some(s) if known == Some(s.revision) => Ok(Response::new(StatusCode::NotModified)),
        Some(s) => json(StatusCode::Ok, s),
        None => Ok(Response::new(StatusCode::NotFound)),
    }
}

async fn put(mut req: Request<Shared>) -> Result {
    let key = key_of(&req);
    let query: PutQuery = req.query()?;
    if req.len().is_none_or(|n| n > VALUE_MAX) {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    let value = req.body_string().await?;
    let mut inner = req.state().lock();
    inner.kv.expire(Instant::now());
    let done = inner.kv.put(&key, value, query.cas, query.lease);
    inner.changed();
    written(done)
}

async fn delete(req: Request<Shared>) -> Result {
    let key = key_of(&req);
    let query: PutQuery = req.query()?;
    let mut inner = req.state().lock();
    inner.kv.expire(Instant::now());
    let done = inner.kv.delete(&key, query.cas);
    inner.changed();
    written(done)
}

async fn grant(req: Request<Shared>) -> Result {
    let query: GrantQuery = req.query()?;
    let ttl = Duration::from_millis(query.ttl);
    let id = req.state().lock().kv.grant(ttl, Instant::now());
    expire_later(req.state().clone(), ttl);
    json(StatusCode::Ok, &Granted { id })
}

async fn renew(req: Request<Shared>) -> Result {
    let id = parsed(&req, "id")?;
    let now = Instant::now();
    let mut inner = req.state().lock();
    inner.kv.expire(now);
    let done = inner.kv.renew(id, now).map(|ttl| {
        expire_later(req.state().clone(), ttl);
        inner.kv.revision()
    });
    written(done)
}

async fn revoke(req: Request<Shared>) -> Result {
    let id = parsed(&req, "id")?;
    let mut inner = req.state().lock();
    let done = inner.kv.revoke(id).map(|()| inner.kv.revision());
    inner.changed();
    written(done)
}

/// Ends leases when they expire, so that watchers are notified.
fn expire_later(shared: Shared, ttl: Duration) {
    async_std::task::spawn(async move {
        async_std::task::sleep(ttl).await;
        let mut inner = shared.lock();
        if inner.kv.expire(Instant::now()) {
            inner.changed();
        }
    });
}

async fn list(req: Request<Shared>) -> Result {
    let query: SinceQuery = req.query()?;
    let list = req.state().lock().list.shown(Instant::now());
    if query.since == Some(list.revision) {
        return Ok(Response::new(StatusCode::NotModified));
    }
    json(StatusCode::Ok, &list)
}

async fn counts(req: Request<Shared>) -> Result {
    let list = req.state().lock().counts.list();
    json(StatusCode::Ok, &list)
}

async fn clear_counts(req: Request<Shared>) -> Result {
    req.state().lock().counts.clear();
    Ok(Response::new(StatusCode::Ok))
}

async fn put_instances(mut req: Request<Shared>) -> Result {
    let list: Vec<Instance> = req.body_json().await?;
    req.state().lock().list.put(list, Instant::now());
    Ok(Response::new(StatusCode::Ok))
}

async fn set_state(req: Request<Shared>) -> Result {
    let name = req.param("name")?;
    let state = req.query::<AdminQuery>()?.state.unwrap_or_default();
    let now = Instant::now();
    Ok(found(req.state().lock().list.set_state(name, state, now)))
}

async fn remove_instance(req: Request<Shared>) -> Result {
    let name = req.param("name")?;
    let now = Instant::now();
    Ok(found(req.state().lock().list.remove(name, now)))
}

async fn release(req: Request<Shared>) -> Result {
    server::release(req.state().clone()).await;
    Ok(Response::new(StatusCode::Ok))
}

async fn fault(req: Request<Shared>) -> Result {
    let q: AdminQuery = req.query()?;
    let span = Duration::from_millis(q.ms.unwrap_or(0));
    let client = q.client.unwrap_or_default();
    let mut inner = req.state().lock();
    match req.param("fault")? {
        "down" => inner.set_down(Some(q.mode.unwrap_or(Down::Refuse))),
        "up" => inner.set_down(None),
        "slow" => inner.faults.slow = span,
        "lag" => inner.list.set_lag(span),
        "lose" => inner.faults.lose = q.n.unwrap_or(1),
        "hold" => inner.faults.hold = q.n.unwrap_or(1),
        "cut" => _ = inner.faults.cut.insert(client),
        "heal" => _ = inner.faults.cut.remove(&client),
        "stall" => _ = inner.faults.stalled.insert(client),
        "let-go" => _ = inner.faults.stalled.remove(&client),
        "silence" => inner.silence(),
        "expire" => inner.expire_leases(),
        "snapshot" => inner.snapshot(),
        "restore" => return Ok(found(inner.restore())),
        _ => return Ok(found(false)),
    }
    Ok(Response::new(StatusCode::Ok))
}

fn key_of(req: &Request<Shared>) -> String {
    let path = req.url().path();
    path.trim_start_matches("/v1/kv/").to_owned()
}

fn parsed(req: &Request<Shared>, name: &str) -> Result<u64> {
    let text = req.param(name)?;
    text.parse()
        .map_err(|e| tide::Error::new(StatusCode::BadRequest, e))
}

fn found(there: bool) -> Response {
    match there {
        true => Response::new(StatusCode::Ok),
        false => Response::new(StatusCode::NotFound),
    }
}

fn written(done: std::result::Result<u64, Refused>) -> Result {
    match done {
        Ok(revision) => json(StatusCode::Ok, &Written { revision }),
        Err(Refused::Conflict(revision)) => {
            json(StatusCode::PreconditionFailed, &Written { revision })
        }
        Err(Refused::TooLarge) => Ok(Response::new(StatusCode::PayloadTooLarge)),
        Err(Refused::NoLease) => Ok(Response::new(StatusCode::Gone)),
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Result {
    let body = Body::from_json(value)?;
    Ok(Response::builder(status).body(body).build())
}
