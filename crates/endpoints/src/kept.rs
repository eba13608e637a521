//! Connections kept open between calls, for each endpoint.

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

/// Connections kept open between calls.
#[derive(Debug)]
pub(crate) struct Kept {
    idle: Duration,
    most: usize,
    conns: Mutex<HashMap<SocketAddr, Vec<(Instant, Conn)>>>,
}

impl Kept {
    /// Keeps at most `most` connections to an endpoint, none longer than `idle`.
    pub(crate) fn new(most: usize, idle: Duration) -> Kept {
        Kept {
            idle,
            most,
            conns: Mutex::default(),
        }
    }

    /// Takes the connection used last, if it is still fit for a call.
    pub(crate) async fn take(&self, addr: SocketAddr) -> Option<Conn> {
        loop {
            let (since, conn) = self.conns.lock().unwrap().get_mut(&addr)?.pop()?;
            if since.elapsed() < self.idle && conn.quiet().await {
                return Some(conn);
            }
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, conn: Conn) {
        let mut conns = self.conns.lock().unwrap();
        let list = conns.entry(conn.addr).or_default();
        list.retain(|(since, _)| since.elapsed() < self.idle);
        if list.len() < self.most {
            list.push((Instant::now(), conn));
        }
    }

    /// Closes all connections to an endpoint.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.conns.lock().unwrap().remove(&addr);
    }
}
