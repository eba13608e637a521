//! Pool of idle connections to endpoints.

use {
    crate::conn::Conn,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Mutex,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Idle connections by endpoint, the most recently used last.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle_timeout: Duration,
    max_idle: usize,
    conns: Mutex<HashMap<SocketAddr, Vec<(Instant, Conn)>>>,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_idle` connections per endpoint, each kept for at most
    /// `idle_timeout` without a call.
    pub(crate) fn new(max_idle: usize, idle_timeout: Duration) -> ConnectionPool {
        ConnectionPool {
            idle_timeout,
            max_idle,
            conns: Mutex::default(),
        }
    }

    /// Takes the most recently used connection that can still be reused.
    pub(crate) async fn checkout(&self, addr: SocketAddr) -> Option<Conn> {
        loop {
            let (since, conn) = self.conns.lock().unwrap().get_mut(&addr)?.pop()?;
            if since.elapsed() < self.idle_timeout && conn.is_idle().await {
                return Some(conn);
            }
        }
    }

    /// Adds a connection whose last answer was read to its end.
    pub(crate) fn put(&self, conn: Conn) {
        let mut conns = self.conns.lock().unwrap();
        let list = conns.entry(conn.addr).or_default();
        list.retain(|(since, _)| since.elapsed() < self.idle_timeout);
        if list.len() < self.max_idle {
            list.push((Instant::now(), conn));
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        self.conns.lock().unwrap().remove(&addr);
    }
}
