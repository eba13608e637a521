//! The HTTP server towards callers, with an end that cuts no request.

use {
    crate::{
        connection::Connection,
        tune::tune,
        wire::Wire,
        IncomingRequest,
        Limits,
        Reason, //
        Refused,
        Response,
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    futures_lite::future::{
        or,
        poll_once, //
    },
    std::{
        collections::HashMap,
        fmt,
        future::Future,
        io,
        net::{
            IpAddr,
            SocketAddr, //
        },
        pin::Pin,
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc,
            Mutex,
            MutexGuard,
            PoisonError, //
        },
        time::Duration,
    },
};

/// Pause after an accept that failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Most connections that the kernel holds ready to be accepted.
const BACKLOG: usize = 1024;
/// Most connections that are told at once that there are too many.
const AWAY_MAX: usize = 64;
/// When those may come back.
const AWAY_RETRY: Duration = Duration::from_secs(1);

type Answer = Pin<Box<dyn Future<Output = Response> + Send>>;

/// The server towards callers.
///
/// It serves any number of listeners and is cheap to clone.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    stop: Sender<()>,
    stopped: Receiver<()>,
    /// Each connection holds a sender, so the receiver ends with the last of them.
    live: Arc<Mutex<Option<Sender<()>>>>,
    ended: Receiver<()>,
}

/// What all connections share.
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    pub(crate) handler: Box<dyn Fn(IncomingRequest) -> Answer + Send + Sync>,
    open: Mutex<Open>,
    /// Connections that are being turned away.
    away: AtomicUsize,
}

#[derive(Default)]
struct Open {
    all: usize,
    peers: HashMap<IpAddr, usize>,
}

/// A connection's place among those counted, given back when dropped.
struct Place {
    shared: Arc<Shared>,
    ip: IpAddr,
    _live: Sender<()>,
}

impl Server {
    /// Makes a server that has `handler` answer.
    ///
    /// The handler's future is never dropped before it ends, also where the caller hung up:
    /// it is told by [`DisconnectSignal`](crate::DisconnectSignal) and should then end soon.
    pub fn new<F, R>(limits: Limits, handler: F) -> Server
    where
        F: Fn(IncomingRequest) -> R + Send + Sync + 'static,
        R: Future<Output = Response> + Send + 'static,
    {
        let (stop, stopped) = bounded(1);
        let (live, ended) = bounded(1);
        Server {
            shared: Arc::new(Shared {
                limits: limits.within_library(),
                handler: Box::new(move |ask| Box::pin(handler(ask))),
                open: Mutex::default(),
                away: AtomicUsize::new(0),
            }),
            stop,
            stopped,
            live: Arc::new(Mutex::new(Some(live))),
            ended,
        }
    }

    /// Accepts connections until [`stop`](Server::stop). An accept that fails is logged and
    /// tried again.
    pub async fn serve(&self, listener: TcpListener) {
        let Some(live) = lock(&self.live).clone() else {
            return;
        };
        loop {
            let stopped = async {
                let _ = self.stopped.recv().await;
                Err(io::ErrorKind::Interrupted.into())
            };
            match or(stopped, listener.accept()).await {
                Ok((socket, peer)) => self.start(socket, peer, &live),
                Err(_) if self.stopped.is_closed() => break,
                Err(e) => {
                    log::warn!("callers: accept failed, trying again: {e}");
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        // The kernel has already connected the callers in its queue; dropping the listener
        // would reset them in the middle of a request.
        for _ in 0..BACKLOG {
            match poll_once(listener.accept()).await {
                Some(Ok((socket, peer))) => self.start(socket, peer, &live),
                _ => break,
            }
        }
    }

    /// Stops accepting, closes idle connections and waits until the running requests ended.
    pub async fn stop(&self) {
        self.stop.close();
        lock(&self.live).take();
        let _ = self.ended.recv().await;
    }

    /// Returns how many connections are open.
    pub fn connections(&self) -> usize {
        lock(&self.shared.open).all
    }

    fn start(&self, socket: TcpStream, peer: SocketAddr, live: &Sender<()>) {
        if let Err(e) = tune(&socket) {
            log::debug!("callers: connection from {peer} broke at once: {e}");
            return;
        }
        let Some(place) = self.place(peer.ip(), live) else {
            return self.turn_away(socket, peer);
        };
        let connection = Connection {
            shared: self.shared.clone(),
            wire: Wire::new(socket),
            peer,
            stop: self.stopped.clone(),
        };
        task::spawn(async move {
            connection.run().await;
            drop(place);
        });
    }

    /// Tells a caller that there are too many connections, and closes.
    fn turn_away(&self, socket: TcpStream, peer: SocketAddr) {
        metrics::counter!("chervilwind_callers_turned_away").increment(1);
        let shared = self.shared.clone();
        // A flood of connections is dropped without a word, so that it costs nothing more.
        if shared.away.fetch_add(1, Ordering::Relaxed) >= AWAY_MAX {
            shared.away.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        log::debug!("callers: too many connections, turned {peer} away");
        task::spawn(async move {
            let refused = Refused::new(
                Reason::TooManyConnections,
                "too many connections; reuse those you have, or use another address",
            )
            .retry_after(AWAY_RETRY);
            Wire::new(socket).turn_away(refused.into()).await;
            shared.away.fetch_sub(1, Ordering::Relaxed);
        });
    }

    fn place(&self, ip: IpAddr, live: &Sender<()>) -> Option<Place> {
        let limits = &self.shared.limits;
        let mut open = lock(&self.shared.open);
        let peer = open.peers.get(&ip).copied().unwrap_or(0);
        if open.all >= limits.max_connections || peer >= limits.max_connections_per_ip {
            return None;
        }
        open.all += 1;
        *open.peers.entry(ip).or_default() += 1;
        metrics::gauge!("chervilwind_callers_connections").set(open.all as f64);
        Some(Place {
            shared: self.shared.clone(),
            ip,
            _live: live.clone(),
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut open = lock(&self.shared.open);
        open.all -= 1;
        if let Some(n) = open.peers.get_mut(&self.ip) {
            *n -= 1;
            if *n == 0 {
                open.peers.remove(&self.ip);
            }
        }
        metrics::gauge!("chervilwind_callers_connections").set(open.all as f64);
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("limits", &self.shared.limits)
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
