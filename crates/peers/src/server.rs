//! Serves the connections of peers.

use {
    crate::{
        frame::{
            decode,
            Incoming, //
        },
        limits::{
            counted_body,
            read_counted,
            LimitedStream,
            PeerLimits, //
        },
        links::Links,
        traffic::CountedStream, //
    },
    async_std::{
        future::timeout,
        net::{
            TcpListener,
            TcpStream, //
        },
        sync::Mutex as AsyncMutex,
        task, //
    },
    futures_lite::{
        future::Boxed,
        AsyncReadExt, //
    },
    http_types::{
        Request,
        Response,
        StatusCode, //
    },
    policy::{
        Incarnation,
        RouterId, //
    },
    resources::{
        Account,
        EvictionLog,
        Limiter,
        ListenerId,
        MemoryLimits,
        Phase, //
    },
    serde::{
        de::DeserializeOwned,
        Serialize, //
    },
    std::{
        collections::HashMap,
        fmt,
        future::poll_fn,
        net::Shutdown,
        sync::Arc,
        time::Duration, //
    },
};

/// A stream is closed if nothing is received for this long; the peer then opens another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_QUESTION_BYTES: u64 = 64 * 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Callbacks for messages and questions from peers.
pub struct Handler<T, Q, A> {
    /// Processes messages.
    pub receive: Box<dyn Fn(Incoming<T>) + Send + Sync>,
    /// Answers a question.
    pub answer: Box<dyn Fn(RouterId, Q) -> Boxed<A> + Send + Sync>,
}

impl<T, Q, A> fmt::Debug for Handler<T, Q, A> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Handler")
    }
}

struct Server<T, Q, A> {
    links: Arc<Links<T>>,
    handler: Handler<T, Q, A>,
    /// The newest stream of each peer.
    newest: AsyncMutex<HashMap<RouterId, StreamId>>,
    limiter: Limiter,
    listener: ListenerId,
    eviction_log: EvictionLog,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StreamId {
    incarnation: Incarnation,
    link: u64,
}

/// Serves peers on `listener` for as long as the task runs.
pub async fn serve<T, Q, A>(
    listener: TcpListener,
    links: Arc<Links<T>>,
    handler: Handler<T, Q, A>,
    limits: PeerLimits,
) where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let limiter = Limiter::new(MemoryLimits::of(limits.memory));
    let server = Arc::new(Server {
        links,
        handler,
        newest: AsyncMutex::default(),
        listener: limiter.add_listener(limits.max_connections),
        limiter,
        eviction_log: EvictionLog::default(),
    });
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                // There is none only while frames of all connections are being processed.
                if let Some(account) = server.limiter.open(server.listener).await {
                    task::spawn(serve_connection(server.clone(), socket, account));
                }
            }
            Err(e) => {
                log::warn!("peers: can't accept a connection: {e}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<T, Q, A>(
    server: Arc<Server<T, Q, A>>,
    socket: TcpStream,
    account: Account,
) where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let counted = CountedStream::new(socket.clone(), server.links.traffic().clone());
    let limited = LimitedStream::new(counted, account.clone());
    let served = async_h1::accept(limited, |req| {
        let server = server.clone();
        let socket = socket.clone();
        let account = account.clone();
        async move { Ok(respond(&server, &socket, req, &account).await) }
    })
    .await;
    if let Err(e) = served {
        log::debug!("peers: a connection ended: {e}");
    }
    server.record_eviction(&account);
}

impl<T, Q, A> Server<T, Q, A> {
    /// Counts a connection if it was evicted, and logs the first one in each interval.
    fn record_eviction(&self, account: &Account) {
        let Some(evicted) = account.evicted() else {
            return;
        };
        metrics::counter!("chervilwind_peers_evicted", "cause" => evicted.cause()).increment(1);
        self.eviction_log.warn("peers", evicted, &self.limiter);
    }
}

async fn respond<T, Q, A>(
    server: &Server<T, Q, A>,
    socket: &TcpStream,
    mut req: Request,
    account: &Account,
) -> Response
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let Some(from) = header::<RouterId>(&req, "chervilwind-from") else {
        return Response::new(StatusCode::BadRequest);
    };
    match req.url().path() {
        "/p" => {
            receive_stream(server, from, &mut req, account).await;
            // The HTTP library reads a request to its end before it closes the connection. A peer
            // that failed never ends its request, so the connection would stay open forever.
            let _ = socket.shutdown(Shutdown::Both);
            Response::new(StatusCode::Gone)
        }
        "/a" => answer_question(server, from, &mut req, account).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

async fn answer_question<T, Q, A>(
    server: &Server<T, Q, A>,
    from: RouterId,
    req: &mut Request,
    account: &Account,
) -> Response
where
    Q: DeserializeOwned,
    A: Serialize,
{
    account.set_phase(Phase::Receiving);
    let Some(body) = read_question(req, account).await else {
        return Response::new(StatusCode::BadRequest);
    };
    let Ok(question) = rmp_serde::from_slice(&body) else {
        return Response::new(StatusCode::BadRequest);
    };
    // An answer may be much longer than its question.
    if poll_fn(|cx| account.poll_room(cx)).await.is_err() {
        return Response::new(StatusCode::ServiceUnavailable);
    }
    let answer = (server.handler.answer)(from, question).await;
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(counted_body(bytes, account));
            res
        }
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Reads a question. Returns none if it is too long or does not arrive in time.
async fn read_question(req: &mut Request, account: &Account) -> Option<Vec<u8>> {
    let mut reader = req.take_body().into_reader().take(MAX_QUESTION_BYTES + 1);
    let read = timeout(IDLE_TIMEOUT, read_counted(&mut reader, 0, account)).await;
    match read {
        Ok(Ok(body)) if body.len() as u64 <= MAX_QUESTION_BYTES => Some(body.into_vec()),
        _ => None,
    }
}

async fn receive_stream<T, Q, A>(
    server: &Server<T, Q, A>,
    from: RouterId,
    req: &mut Request,
    account: &Account,
) where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
{
    let id = StreamId {
        incarnation: header(req, "chervilwind-start").unwrap_or_default(),
        link: header(req, "chervilwind-link").unwrap_or_default(),
    };
    let acks = server.links.acks(&from);
    loop {
        account.set_phase(Phase::Idle);
        let read = timeout(IDLE_TIMEOUT, decode::<T, _>(req, account)).await;
        let Ok(Ok(Some(frame))) = read else {
            break;
        };
        // A stream that brings frames is evicted after those that don't.
        account.set_phase(Phase::Serving);
        // A replaced stream may still deliver delayed frames, which are older than those of the new
        // stream. Only the newest stream is accepted.
        if !is_newest(server, &from, id, &acks).await {
            break;
        }
        acks.record(frame.seq, frame.ack);
        if !frame.items.is_empty() {
            (server.handler.receive)(Incoming {
                from: from.clone(),
                incarnation: id.incarnation,
                items: frame.items,
            });
        }
    }
}

/// Returns whether this is the newest stream of the peer.
async fn is_newest<T, Q, A>(
    server: &Server<T, Q, A>,
    from: &RouterId,
    id: StreamId,
    acks: &crate::link::AckState,
) -> bool {
    let mut newest = server.newest.lock().await;
    let known = newest.entry(from.clone()).or_insert(id);
    if id.incarnation > known.incarnation {
        acks.reset();
    }
    if id > *known {
        *known = id;
    }
    *known == id
}

fn header<V: std::str::FromStr>(req: &Request, name: &str) -> Option<V> {
    req.header(name)?.as_str().parse().ok()
}
