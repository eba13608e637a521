//! Options of sockets between callers and routers.

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

/// Idle time before the first keepalive probe, and the interval of the probes that follow.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// How long sent data may stay unacknowledged before the connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(20);

/// Disables Nagle's algorithm and enables detection of an unreachable peer.
pub(crate) fn set_socket_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    // A firewall between the peers may drop its entry for the connection, and neither peer
    // receives anything from then on. Without probes a router would keep a request queued for
    // an unreachable caller, and a caller would wait until its deadline. Probes turn this into
    // a socket error, and also keep most firewall entries alive.
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
