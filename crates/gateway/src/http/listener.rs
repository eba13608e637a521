//! Accepts connections.

use {
    async_io::Async,
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
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Listener> {
        Async::<TcpListener>::bind(addr).map(Listener)
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<Async<TcpStream>> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }
}
