//! Accepts connections.

use {
    async_io::Async,
    resources::Bytes,
    socket2::SockRef,
    std::{
        io,
        net::{
            SocketAddr,
            TcpListener,
            TcpStream, //
        },
    },
};

/// A socket that accepts connections.
#[derive(Debug)]
pub(crate) struct Listener(Async<TcpListener>);

impl Listener {
    /// Listens on an address.
    ///
    /// `unread` is about how much each connection may send before it is read. The operating system
    /// would otherwise keep much more, and also for connections that are not accepted yet.
    pub(crate) fn bind(addr: SocketAddr, unread: Bytes) -> io::Result<Listener> {
        let listener = Async::<TcpListener>::bind(addr)?;
        SockRef::from(listener.get_ref()).set_recv_buffer_size(unread.length())?;
        Ok(Listener(listener))
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }
}
