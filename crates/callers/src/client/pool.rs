//! A pool of idle connections to routers.

use {
    crate::socket_options::set_socket_options,
    async_std::net::TcpStream,
    futures_lite::future::poll_once,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Mutex,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Shorter than the idle timeout of routers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE_PER_ROUTER: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    socket: TcpStream,
    since: Instant,
}

impl Pool {
    /// Returns an idle connection that is still open, or a new one.
    pub(crate) async fn get(&self, router: SocketAddr) -> io::Result<TcpStream> {
        while let Some(socket) = self.take(router) {
            // A connection closed by the router is readable; a call sent on it would be lost.
            if poll_once(socket.peek(&mut [0])).await.is_none() {
                return Ok(socket);
            }
        }
        let socket = async_std::io::timeout(CONNECT_TIMEOUT, TcpStream::connect(router)).await?;
        set_socket_options(&socket)?;
        Ok(socket)
    }

    /// Returns a connection to the pool. Its last answer must have been read to the end.
    pub(crate) fn put(&self, router: SocketAddr, socket: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(router).or_default();
        if connections.len() < MAX_IDLE_PER_ROUTER {
            connections.push(IdleConnection {
                socket,
                since: Instant::now(),
            });
        }
    }

    fn take(&self, router: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&router)?;
        connections.retain(|c| c.since.elapsed() < IDLE_TIMEOUT);
        connections.pop().map(|c| c.socket)
    }
}
