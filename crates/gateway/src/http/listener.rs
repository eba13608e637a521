//! Accepts connections.

use {
    async_io::Async,
    resources::{
        listen,
        Bytes, //
    },
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
    /// Listens on an address, see [`listen`].
    pub(crate) fn bind(addr: SocketAddr, unread: Bytes) -> io::Result<Listener> {
        Ok(Listener(Async::new(listen(addr, unread)?)?))
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }
}
