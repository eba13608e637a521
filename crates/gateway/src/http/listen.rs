//! Listening for callers.

use {
    async_std::net::TcpListener,
    socket2::{
        Domain,
        Socket,
        Type, //
    },
    std::{
        io,
        net::SocketAddr, //
    },
};

/// Connections that may wait to be accepted.
///
/// Callers of one large workspace can all connect to one instance, 1,500 times a second. One with
/// 0.12 cores may get no processor for a tenth of a second, in which 150 of them wait. Beyond the
/// usual 128 the first packet of a connection is dropped and comes again after a second; most
/// callers have given up by then.
const WAITING: i32 = 1_024;

/// Listens at an address, with room for many connections that wait.
///
/// # Errors
///
/// Where the address can't be had.
pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    // An instance that starts again is not to wait until the connections of before are forgotten.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(WAITING)?;
    socket.set_nonblocking(true)?;
    Ok(std::net::TcpListener::from(socket).into())
}

#[cfg(test)]
mod tests;
