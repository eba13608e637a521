//! Listeners that limit what connections send before it is read.

use {
    crate::bytes::Bytes,
    socket2::{
        Domain,
        Socket,
        Type, //
    },
    std::{
        io,
        net::{
            SocketAddr,
            TcpListener, //
        },
    },
};

/// Connections that the operating system keeps until they are accepted.
const BACKLOG: i32 = 128;

/// Listens on an address.
///
/// `unread` is about how much each connection may send before it is read. The operating system
/// would otherwise keep much more, and also for connections that are not accepted yet.
///
/// # Errors
///
/// If the address can't be had.
pub fn listen(addr: SocketAddr, unread: Bytes) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // A limit that comes during a handshake is below the window that the peer was told of. The peer
    // then sends segments that don't fit, a part of one whenever its persist timer runs.
    socket.set_recv_buffer_size(unread.length())?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
