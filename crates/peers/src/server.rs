//! The side that peers connect to.

use {
    crate::{
        counted::Counted,
        frame::{
            decode,
            Incoming, //
        },
        links::Links, //
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

/// A stream on which nothing came for this long is closed; its peer opens another.
const IDLE: Duration = Duration::from_secs(30);
/// Longest question accepted, in bytes.
const QUESTION_MAX: u64 = 64 * 1024;

/// What this router does with what its peers send.
pub struct Handler<T, Q, A> {
    /// Takes messages.
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
    /// The newest stream of each peer, as its start and number.
    newest: AsyncMutex<HashMap<RouterId, Origin>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Origin {
    incarnation: Incarnation,
    link: u64,
}

/// Serves peers on `listener` for as long as the task lives.
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
                task::spawn(connection(server.clone(), socket));
            }
            Err(e) => {
                log::warn!("peers: can't accept a connection: {e}");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection<T, Q, A>(server: Arc<Server<T, Q, A>>, socket: TcpStream)
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
{
    let _ = socket.set_nodelay(true);
    let counted = Counted::new(socket.clone(), server.links.traffic().clone());
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
            stream(server, from, &mut req).await;
            // The library reads a request to its end before it closes. A peer that is gone
            // without a word never ends it, and the connection would stay open for ever.
            let _ = socket.shutdown(Shutdown::Both);
            Response::new(StatusCode::Gone)
        }
        "/a" => answer(server, from, &mut req).await,
        _ => Response::new(StatusCode::NotFound),
    }
}

async fn answer<T, Q, A>(server: &Server<T, Q, A>, from: RouterId, req: &mut Request) -> Response
where
    Q: DeserializeOwned,
    A: Serialize,
{
    let Some(body) = body(req).await else {
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

/// Reads a question; none where it is too long or does not come.
async fn body(req: &mut Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut reader = req.take_body().into_reader().take(QUESTION_MAX + 1);
    let read = timeout(IDLE, reader.read_to_end(&mut body)).await;
    match read {
        Ok(Ok(n)) if n as u64 <= QUESTION_MAX => Some(body),
        _ => None,
    }
}

async fn stream<T, Q, A>(server: &Server<T, Q, A>, from: RouterId, req: &mut Request)
where
    T: Serialize + DeserializeOwned + Send + Sync + 'static,
{
    let origin = Origin {
        incarnation: header(req, "chervilwind-start").unwrap_or_default(),
        link: header(req, "chervilwind-link").unwrap_or_default(),
    };
    let acks = server.links.acks(&from);
    while let Ok(Ok(Some(frame))) = timeout(IDLE, decode::<T, _>(req)).await {
        // A stream that was replaced may still hold frames that were held up on the way.
        // They would show as messages going back in time; the newest stream wins.
        if !newest(server, &from, origin, &acks).await {
            break;
        }
        acks.heard(frame.seq, frame.ack);
        if !frame.items.is_empty() {
            (server.handler.receive)(Incoming {
                from: from.clone(),
                incarnation: origin.incarnation,
                items: frame.items,
            });
        }
    }
}

/// Tells whether `origin` is the newest stream of the peer.
async fn newest<T, Q, A>(
    server: &Server<T, Q, A>,
    from: &RouterId,
    origin: Origin,
    acks: &crate::link::Acks,
) -> bool {
    let mut newest = server.newest.lock().await;
    let known = newest.entry(from.clone()).or_insert(origin);
    if origin.incarnation > known.incarnation {
        acks.forget();
    }
    if origin > *known {
        *known = origin;
    }
    *known == origin
}

fn header<V: std::str::FromStr>(req: &Request, name: &str) -> Option<V> {
    req.header(name)?.as_str().parse().ok()
}
