//! Whether a replica that closed a connection has ended.

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

/// How long the look may take: a host that is up accepts or refuses a connection within some
/// milliseconds, and who waits for the look is tried elsewhere only after it.
const LOOK: Duration = Duration::from_millis(100);

/// Looks whether a replica has ended, by opening a connection to it.
///
/// A connection that closes tells too little: replicas close idle ones, lose single answers and
/// break some off. A process that has ended refuses all. One that answers nothing counts as
/// alive, as its host may be out of reach.
pub(crate) async fn has_ended(replica: &Replica, pool: &Pool) -> bool {
    metrics::counter!("chervilwind_replica_connections").increment(1);
    match Conn::open(replica.addr, LOOK).await {
        Ok(conn) => {
            pool.put(&replica.id, conn, None);
            false
        }
        Err(e) => e.kind() == io::ErrorKind::ConnectionRefused,
    }
}
