//! The HTTP server for callers, with a graceful shutdown.

use {
    crate::{
        caller_socket::CallerSocket,
        connection::Connection,
        socket_options::set_socket_options,
        IncomingRequest,
        Limits,
        Reason,
        Refused,
        Response, //
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
    http_types::Method,
    resources::{
        Bytes,
        Evicted,
        EvictionLog,
        Limiter,
        ListenerId,
        MemoryLimits, //
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

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound on connections that wait in the kernel's accept queue.
const BACKLOG: usize = 1024;
/// Limit on connections that are being sent a rejection at the same time.
const MAX_REJECTING: usize = 64;
/// Retry delay that a rejected connection is sent.
const REJECTION_RETRY_AFTER: Duration = Duration::from_secs(1);

type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// The HTTP server for callers.
///
/// It serves any number of listeners and is cheap to clone.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    stop: Sender<()>,
    stopped: Receiver<()>,
    /// Each connection holds a clone of the sender, so `all_closed` ends with the last connection.
    guard: Arc<Mutex<Option<Sender<()>>>>,
    all_closed: Receiver<()>,
}

/// State shared by all connections.
pub(crate) struct Shared {
    pub(crate) limits: Limits,
    /// What all connections hold.
    pub(crate) limiter: Limiter,
    /// All listeners of this server; their connections are counted here.
    listener: ListenerId,
    pub(crate) handler: Box<dyn Fn(IncomingRequest) -> ResponseFuture + Send + Sync>,
    open: Mutex<OpenConnections>,
    /// Number of connections that are being sent a rejection.
    rejecting: AtomicUsize,
    eviction_log: EvictionLog,
}

impl Shared {
    /// Counts an evicted connection, and logs the first one in each interval.
    pub(crate) fn record_eviction(&self, evicted: Evicted) {
        metrics::counter!("chervilwind_callers_evicted", "cause" => evicted.cause()).increment(1);
        self.eviction_log.warn("callers", evicted, &self.limiter);
    }
}

#[derive(Default)]
struct OpenConnections {
    total: usize,
    per_ip: HashMap<IpAddr, usize>,
}

/// Counts one connection against the limits until dropped.
struct ConnectionPermit {
    shared: Arc<Shared>,
    ip: IpAddr,
    _guard: Sender<()>,
}

impl Server {
    /// Creates a server that passes each request to `handler`.
    ///
    /// The handler's future is never dropped before it completes, even if the caller
    /// disconnects: [`DisconnectSignal`](crate::DisconnectSignal) fires, and the handler should
    /// then return soon.
    pub fn new<F, R>(limits: Limits, handler: F) -> Server
    where
        F: Fn(IncomingRequest) -> R + Send + Sync + 'static,
        R: Future<Output = Response> + Send + 'static,
    {
        let (stop, stopped) = bounded(1);
        let (guard, all_closed) = bounded(1);
        let limits = limits.clamp_to_library();
        let limiter = Limiter::new(MemoryLimits::of(Bytes(limits.memory_bytes as u64)));
        Server {
            shared: Arc::new(Shared {
                listener: limiter.add_listener(limits.max_connections),
                limiter,
                limits,
                handler: Box::new(move |request| Box::pin(handler(request))),
                open: Mutex::default(),
                rejecting: AtomicUsize::new(0),
                eviction_log: EvictionLog::default(),
            }),
            stop,
            stopped,
            guard: Arc::new(Mutex::new(Some(guard))),
            all_closed,
        }
    }

    /// Accepts connections until [`stop`](Server::stop). A failed accept is logged and retried.
    pub async fn serve(&self, listener: TcpListener) {
        let Some(guard) = lock(&self.guard).clone() else {
            return;
        };
        loop {
            let stopped = async {
                let _ = self.stopped.recv().await;
                Err(io::ErrorKind::Interrupted.into())
            };
            match or(stopped, listener.accept()).await {
                Ok((socket, peer)) => self.start_connection(socket, peer, &guard).await,
                Err(_) if self.stopped.is_closed() => break,
                Err(e) => {
                    log::warn!("callers: accept failed, retrying: {e}");
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // The kernel has already completed the handshakes of queued connections; dropping the
        // listener would reset them, possibly during a request.
        for _ in 0..BACKLOG {
            match poll_once(listener.accept()).await {
                Some(Ok((socket, peer))) => self.start_connection(socket, peer, &guard).await,
                _ => break,
            }
        }
    }

    /// Stops accepting, closes idle connections and waits until the running requests complete.
    pub async fn stop(&self) {
        self.stop.close();
        lock(&self.guard).take();
        let _ = self.all_closed.recv().await;
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.shared.open).total
    }

    async fn start_connection(&self, stream: TcpStream, peer: SocketAddr, guard: &Sender<()>) {
        if let Err(e) = set_socket_options(&stream) {
            log::debug!("callers: cannot set socket options for {peer}: {e}");
            return;
        }
        let Some(permit) = self.admit(peer.ip(), guard) else {
            return self.reject(stream, peer);
        };
        let Some(account) = self.shared.limiter.open(self.shared.listener).await else {
            return self.reject(stream, peer);
        };
        let connection = Connection {
            shared: self.shared.clone(),
            socket: CallerSocket::accepted(stream, account.clone()),
            account,
            peer,
            stop: self.stopped.clone(),
            method: Method::Get,
        };
        task::spawn(async move {
            connection.run().await;
            drop(permit);
        });
    }

    /// Rejects a connection because there are too many.
    fn reject(&self, socket: TcpStream, peer: SocketAddr) {
        metrics::counter!("chervilwind_callers_turned_away").increment(1);
        let shared = self.shared.clone();
        // Beyond the limit, connections are closed without a response to bound the cost.
        if shared.rejecting.fetch_add(1, Ordering::Relaxed) >= MAX_REJECTING {
            shared.rejecting.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        log::debug!("callers: too many connections, rejected {peer}");
        task::spawn(async move {
            let refused = Refused::new(
                Reason::TooManyConnections,
                "too many connections; reuse those you have, or use another address",
            )
            .retry_after(REJECTION_RETRY_AFTER);
            CallerSocket::new(socket).reject(refused.into()).await;
            shared.rejecting.fetch_sub(1, Ordering::Relaxed);
        });
    }

    fn admit(&self, ip: IpAddr, guard: &Sender<()>) -> Option<ConnectionPermit> {
        let limits = &self.shared.limits;
        let mut open = lock(&self.shared.open);
        let from_ip = open.per_ip.get(&ip).copied().unwrap_or(0);
        if from_ip >= limits.max_connections_per_ip {
            return None;
        }
        open.total += 1;
        *open.per_ip.entry(ip).or_default() += 1;
        metrics::gauge!("chervilwind_callers_connections").set(open.total as f64);
        Some(ConnectionPermit {
            shared: self.shared.clone(),
            ip,
            _guard: guard.clone(),
        })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut open = lock(&self.shared.open);
        open.total -= 1;
        if let Some(n) = open.per_ip.get_mut(&self.ip) {
            *n -= 1;
            if *n == 0 {
                open.per_ip.remove(&self.ip);
            }
        }
        metrics::gauge!("chervilwind_callers_connections").set(open.total as f64);
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
