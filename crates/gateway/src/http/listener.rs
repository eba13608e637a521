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

    /// Waits for the next connection, and returns it with those that wait behind it, at most `most`
    /// in all, in the order of their arrival.
    ///
    /// They are not registered with the reactor, which would cost system calls for each.
    pub(crate) async fn accept_waiting(&self, most: usize) -> io::Result<Vec<TcpStream>> {
        let (first, _) = self.0.read_with(TcpListener::accept).await?;
        let mut streams = vec![first];
        while streams.len() < most {
            // An error, such as an empty queue, is met again by the next call.
            let Ok((stream, _)) = self.0.get_ref().accept() else {
                break;
            };
            streams.push(stream);
        }
        Ok(streams)
    }

    /// Returns the address that it listens on.
    #[cfg(test)]
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }
}
