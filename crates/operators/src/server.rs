//! Serves views of a router to operators over HTTP.

use {
    crate::{
        metrics::{
            metrics_text,
            record, //
        },
        views::{
            InForce,
            Member,
            Profiles,
            Status, //
        },
    },
    async_std::{
        future::timeout,
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    kvstore::store::Config,
    serde::Serialize,
    std::{
        collections::VecDeque,
        io,
        net,
        sync::Arc,
        time::Duration, //
    },
    tide::{
        Request,
        Response,
        Server,
        StatusCode, //
    },
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;
/// A connection is closed after this time, even if it is in use.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Functions that return the views. Each is called once per request.
pub struct Views {
    /// Status of the router.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// The revision in force.
    pub revision: Box<dyn Fn() -> InForce + Send + Sync>,
    /// The routers it knows, itself included.
    pub members: Box<dyn Fn() -> Vec<Member> + Send + Sync>,
    /// The profiles in force.
    pub profiles: Box<dyn Fn() -> Profiles + Send + Sync>,
    /// The configuration in force, where there is one.
    pub config: Box<dyn Fn() -> Option<Arc<Config>> + Send + Sync>,
    /// Dump of the router's state.
    pub dump: Box<dyn Fn() -> serde_json::Value + Send + Sync>,
    /// Whether it takes requests.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Answers `/status`, `/revision`, `/members`, `/profiles`, `/config`, `/dump`, `/ready` and
/// `/metrics` until the task is cancelled.
///
/// # Errors
///
/// If the listener can't be used.
pub async fn serve(listener: net::TcpListener, views: Views) -> io::Result<()> {
    let app = app(views);
    let listener = TcpListener::from(listener);
    let mut open = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("router: operators' address can't accept ({error}), going on");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.push_back(task::spawn(serve_connection(stream, app.clone())));
        // Idle connections could otherwise exhaust the limit, and the status could not be requested.
        // The oldest connection is closed, so that a new one is always accepted.
        if open.len() > MAX_CONNECTIONS {
            if let Some(oldest) = open.pop_front() {
                oldest.cancel().await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, app: Server<Arc<Views>>) {
    if timeout(CONNECTION_TIMEOUT, serve_requests(stream, app))
        .await
        .is_err()
    {
        log::debug!("router: closed an operators' connection after {CONNECTION_TIMEOUT:?}");
    }
}

async fn serve_requests(stream: TcpStream, app: Server<Arc<Views>>) {
    let served = match stream.set_nodelay(true) {
        Ok(()) => async_h1::accept(stream, |request| app.respond(request)).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = served {
        log::debug!("router: an operators' connection ended: {error}");
    }
}

fn app(views: Views) -> Server<Arc<Views>> {
    let mut app = Server::with_state(Arc::new(views));
    app.at("/status")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().status)()) });
    app.at("/revision")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().revision)()) });
    app.at("/members")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().members)()) });
    app.at("/profiles")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().profiles)()) });
    app.at("/config")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().config)()) });
    app.at("/dump")
        .get(|r: Request<Arc<Views>>| async move { json(&(r.state().dump)()) });
    app.at("/ready")
        .get(|r: Request<Arc<Views>>| async move { Ok(ready((r.state().ready)())) });
    app.at("/metrics")
        .get(|r: Request<Arc<Views>>| async move { Ok(metrics(&(r.state().status)())) });
    app
}

fn json(view: &impl Serialize) -> tide::Result {
    let body = tide::Body::from_json(view)?;
    Ok(Response::builder(StatusCode::Ok).body(body).build())
}

fn ready(ready: bool) -> Response {
    if ready {
        Response::builder(StatusCode::Ok).body("ready\n").build()
    } else {
        Response::builder(StatusCode::ServiceUnavailable)
            .body("not ready\n")
            .build()
    }
}

fn metrics(status: &Status) -> Response {
    record(status);
    Response::builder(StatusCode::Ok)
        .content_type(METRICS_TYPE)
        .body(metrics_text())
        .build()
}
