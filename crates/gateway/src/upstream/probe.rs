//! Checks whether a replica that closed a connection has crashed.

use {
    crate::{
        http::Conn,
        model::Replica,
        upstream::Pool, //
    },
    std::{
        io,
        time::Duration, //
    },
};

/// Time limit for the check. A running host accepts or refuses a connection within some
/// milliseconds, and the next attempt of the request waits for the check.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks whether a replica's process has ended, by opening a connection.
///
/// A closed connection alone says little: replicas close idle connections, lose single answers and
/// abort some. If the process has ended, connections are refused. A replica that doesn't respond at
/// all counts as alive, as its host may be unreachable.
pub(crate) async fn has_ended(replica: &Replica, pool: &Pool) -> bool {
    metrics::counter!("chervilwind_replica_connections").increment(1);
    match Conn::open(replica.addr, PROBE_TIMEOUT).await {
        Ok(conn) => {
            pool.put(&replica.id, conn, None);
            false
        }
        Err(e) => e.kind() == io::ErrorKind::ConnectionRefused,
    }
}
