//! Connections to routers that are kept for the next call.

use {
    crate::tune::tune,
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

/// Shorter than the time that routers keep an idle connection.
const KEEP: Duration = Duration::from_secs(30);
const PER_ROUTER: usize = 256;
const CONNECT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    socket: TcpStream,
    since: Instant,
}

impl Pool {
    /// Takes a kept connection that is still open, or makes a new one.
    pub(crate) async fn get(&self, router: SocketAddr) -> io::Result<TcpStream> {
        while let Some(socket) = self.take(router) {
            // A router that closed meanwhile shows as readable: a call would be lost on it.
            if poll_once(socket.peek(&mut [0])).await.is_none() {
                return Ok(socket);
            }
        }
        let socket = async_std::io::timeout(CONNECT, TcpStream::connect(router)).await?;
        tune(&socket)?;
        Ok(socket)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, router: SocketAddr, socket: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(router).or_default();
        if kept.len() < PER_ROUTER {
            kept.push(Idle {
                socket,
                since: Instant::now(),
            });
        }
    }

    fn take(&self, router: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&router)?;
        kept.retain(|i| i.since.elapsed() < KEEP);
        kept.pop().map(|i| i.socket)
    }
}
