//! Checks whether a replica that closed a connection has crashed.

use {
    crate::{
        http::Conn,
        model::Replica,
        upstream::Pool, //
    },
    async_std::future::timeout,
    std::{
        io,
        time::Duration, //
    },
};

/// Time limit for the check. A running host accepts or refuses a connection within some
/// milliseconds, and the next attempt of the request waits for the check.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which the operating system closes everything that a crashed process had open. The end
/// of an answer waits for this.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(30);

/// Checks whether a replica's process has ended, by opening a connection.
///
/// A closed connection alone says little: replicas close idle connections, lose single answers and
/// abort some. If the process has ended, connections are refused. A replica that doesn't respond at
/// all counts as alive, as its host may be unreachable.
pub(crate) async fn has_ended(replica: &Replica, pool: &Pool) -> bool {
    match probe(replica).await {
        Probe::Accepted(conn) => {
            pool.put(&replica.id, conn, None);
            false
        }
        Probe::Refused => true,
        Probe::Failed => false,
    }
}

/// Checks whether a replica's process has ended or is about to end.
///
/// The connections of a crashed process may be closed before its listener, which accepts for a moment
/// longer and then drops what it has accepted.
pub(crate) async fn has_ended_or_ends(replica: &Replica, pool: &Pool) -> bool {
    let mut conn = match probe(replica).await {
        Probe::Accepted(conn) => conn,
        Probe::Refused => return true,
        Probe::Failed => return false,
    };
    match timeout(CLOSING_TIMEOUT, conn.wait_closed()).await {
        // A replica that has too many connections closes some too.
        Ok(()) => has_ended(replica, pool).await,
        Err(_) => {
            pool.put(&replica.id, conn, None);
            false
        }
    }
}

/// The result of opening a connection to a replica.
#[derive(Debug)]
enum Probe {
    Accepted(Conn),
    /// No process listens at its address.
    Refused,
    Failed,
}

async fn probe(replica: &Replica) -> Probe {
    metrics::counter!("chervilwind_replica_connections").increment(1);
    match Conn::open(replica.addr, PROBE_TIMEOUT).await {
        Ok(conn) => Probe::Accepted(conn),
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Err(_) => Probe::Failed,
    }
}
