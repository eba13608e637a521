//! Connections to replicas that are kept between requests.

use {
    crate::http::Conn,
    policy::ReplicaId,
    std::{
        collections::HashMap,
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

/// A replica that does not say how long it keeps idle connections is taken to do so for this
/// time. Most close them after some seconds.
const IDLE: Duration = Duration::from_secs(3);
/// What is left of that time when a connection is used no more: two network round trips and a
/// slow processor, so that no request crosses the close.
const MARGIN: Duration = Duration::from_millis(500);
/// Most idle connections kept to one replica. At 300 connections for each replica and 9
/// routers this leaves most for running requests.
const KEPT: usize = 12;

/// Idle connections, by replica.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<ReplicaId, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Instant,
    until: Instant,
}

impl Pool {
    /// Takes the connection used last, if it has been idle for at most `most`.
    ///
    /// One that has been idle for longer stays for requests that may take it.
    pub(crate) async fn take(&self, replica: &ReplicaId, most: Duration) -> Option<Conn> {
        loop {
            let mut conn = self.pop(replica, most)?;
            if conn.quiet().await {
                return Some(conn);
            }
        }
    }

    fn pop(&self, replica: &ReplicaId, most: Duration) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(replica)?;
        list.retain(|i| i.until > now);
        // All others have been idle for longer than the last.
        let fresh = list.last().is_some_and(|i| now - i.since <= most);
        let last = if fresh { list.pop() } else { None };
        if list.is_empty() {
            idle.remove(replica);
        }
        last.map(|i| i.conn)
    }

    /// Keeps a connection on which nothing is owed; `keep` is how long the replica said it
    /// keeps it.
    pub(crate) fn put(&self, replica: &ReplicaId, conn: Conn, keep: Option<Duration>) {
        let since = Instant::now();
        let Some(until) = keep.unwrap_or(IDLE).checked_sub(MARGIN) else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(replica.clone()).or_default();
        list.retain(|i| i.until > since);
        if list.len() < KEPT {
            list.push(Idle {
                conn,
                since,
                until: since + until,
            });
        }
    }

    /// Closes the connections to a replica.
    pub(crate) fn forget(&self, replica: &ReplicaId) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(replica);
    }

    /// Closes what has been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|i| i.until > now);
            !list.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
