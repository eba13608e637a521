//! Serves the connections of peers.

use {
    crate::{
        frame::{
            decode,
            Incoming, //
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
    serde::{
        de::DeserializeOwned,
        Serialize, //
    },
    std::{
        collections::HashMap,
        fmt,
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
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StreamId {
    incarnation: Incarnation,
    link: u64,
}

/// Serves peers on `listener` for as long as the task runs.
pub async fn serve<T, Q, A>(listener: TcpListener, links: Arc<Links<T>>, handler: Handler<T, Q, A>)
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let server = Arc::new(Server {
        links,
        handler,
        newest: AsyncMutex::default(),
    });
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                task::spawn(serve_connection(server.clone(), socket));
            }
            Err(e) => {
                log::warn!("peers: can't accept a connection: {e}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<T, Q, A>(server: Arc<Server<T, Q, A>>, socket: TcpStream)
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let counted = CountedStream::new(socket.clone(), server.links.traffic().clone());
    let served = async_h1::accept(counted, |req| {
        let server = server.clone();
        let socket = socket.clone();
        async move { Ok(respond(&server, &socket, req).await) }
    })
    .await;
    if let Err(e) = served {
        log::debug!("peers: a connection ended: {e}");
    }
}

async fn respond<T, Q, A>(
    server: &Server<T, Q, A>,
    socket: &TcpStream,
    mut req: Request,
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
            receive_stream(server, from, &mut req).await;
            // The HTTP library reads a request to its end before it closes the connection. A peer
            // that failed never ends its request, so the connection would stay open forever.
            let _ = socket.shutdown(Shutdown::Both);
            Response::new(StatusCode::Gone)
        }
        "/a" => answer_question(server, from, &mut req).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

async fn answer_question<T, Q, A>(
    server: &Server<T, Q, A>,
    from: RouterId,
    req: &mut Request,
) -> Response
where
    Q: DeserializeOwned,
    A: Serialize,
{
    let Some(body) = read_body(req).await else {
        return Response::new(StatusCode::BadRequest);
    };
    let Ok(question) = rmp_serde::from_slice(&body) else {
        return Response::new(StatusCode::BadRequest);
    };
    let answer = (server.handler.answer)(from, question).await;
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(bytes);
            res
        }
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Reads a question. Returns none if it is too long or does not arrive in time.
async fn read_body(req: &mut Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = req.take_body().into_reader().take(MAX_QUESTION_BYTES + 1);
    let read = timeout(IDLE_TIMEOUT, reader.read_to_end(&mut body)).await;
    match read {
        Ok(Ok(n)) if n as u64 <= MAX_QUESTION_BYTES => Some(body),
        _ => None,
    }
}

async fn receive_stream<T, Q, A>(server: &Server<T, Q, A>, from: RouterId, req: &mut Request)
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
{
    let id = StreamId {
        incarnation: header(req, "chervilwind-start").unwrap_or_default(),
        link: header(req, "chervilwind-link").unwrap_or_default(),
    };
    let acks = server.links.acks(&from);
    while let Ok(Ok(Some(frame))) = timeout(IDLE_TIMEOUT, decode::<T, _>(req)).await {
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
