//! Options of a socket between caller and router.

use {
    async_std::net::TcpStream,
    socket2::{
        SockRef,
        TcpKeepalive, //
    },
    std::{
        io,
        time::Duration, //
    },
};

/// When a silent connection is first probed, and how often then.
const KEEP_IDLE: Duration = Duration::from_secs(10);
const KEEP_INTERVAL: Duration = Duration::from_secs(3);
/// How long what was sent may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(20);

/// Sets a socket to send at once, and to notice a peer that can't be reached any more.
pub(crate) fn tune(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    // A firewall between the two ends may forget a connection. It shows as silence for good:
    // without probes a router would keep a request queued for a caller that hears nothing,
    // and a caller would wait for its answer until the deadline. Probes end both, as an
    // error on the socket, and keep most such entries from being forgotten.
    let probes = TcpKeepalive::new()
        .with_time(KEEP_IDLE)
        .with_interval(KEEP_INTERVAL);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
