//! Idle connections to replicas, kept for reuse.

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

/// Assumed keep-alive time of replicas that don't announce one. Most close idle connections after
/// several seconds.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Longest keep-alive time that is used. Replicas that never close idle connections may announce the
/// largest number that they know.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3_600);
/// A connection is not reused when less than this is left of the keep-alive time: two network round
/// trips and a slow processor, so that no request crosses the close.
const REUSE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum idle connections to one replica. With 300 connections per replica and 9 routers this
/// leaves most for running requests.
const IDLE_PER_REPLICA: usize = 12;

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
    /// Takes the most recently used connection, if it has been idle for at most `max_idle`.
    ///
    /// One that has been idle for longer stays for requests that accept it.
    pub(crate) async fn take(&self, replica: &ReplicaId, max_idle: Duration) -> Option<Conn> {
        loop {
            let mut conn = self.pop(replica, max_idle)?;
            if conn.is_idle().await {
                return Some(conn);
            }
        }
    }

    fn pop(&self, replica: &ReplicaId, max_idle: Duration) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(replica)?;
        list.retain(|i| i.until > now);
        // The last one has been idle for the shortest time.
        let fresh = list.last().is_some_and(|i| now - i.since <= max_idle);
        let last = if fresh { list.pop() } else { None };
        if list.is_empty() {
            idle.remove(replica);
        }
        last.map(|i| i.conn)
    }

    /// Keeps a connection that has no pending request; `keep_alive` is the keep-alive time
    /// announced by the replica.
    pub(crate) fn put(&self, replica: &ReplicaId, conn: Conn, keep_alive: Option<Duration>) {
        let since = Instant::now();
        let Some(until) = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .min(KEEP_ALIVE_MAX)
            .checked_sub(REUSE_MARGIN)
        else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(replica.clone()).or_default();
        list.retain(|i| i.until > since);
        if list.len() < IDLE_PER_REPLICA {
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

    /// Closes connections that have been idle for too long.
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
