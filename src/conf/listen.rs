//! The addresses that a router listens at.

use {
    miette::Diagnostic,
    resources::Bytes,
    std::{
        io,
        net::{
            Ipv4Addr,
            SocketAddr,
            TcpListener, //
        },
    },
    thiserror::Error, //
};

/// An address to listen on, and the one that is announced to others.
#[derive(Debug, Clone, PartialEq)]
pub struct Address {
    /// Where to listen. Port 0 takes any free port.
    pub listen: SocketAddr,
    /// The address that others connect to.
    pub advertise: SocketAddr,
    /// The place of the setting, `FILE:LINE: `, for errors.
    pub(crate) place: String,
}

/// The sockets of a router, all bound before any part of it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Takes requests.
    pub callers: TcpListener,
    /// Takes the other routers' connections.
    pub peers: TcpListener,
    /// Takes the operators' questions.
    pub operators: TcpListener,
}

/// An address that a router is to listen on can't be bound.
#[derive(Debug, Error, Diagnostic)]
pub enum ListenError {
    /// Another process has it.
    #[error("{place}{setting} = {address} is in use")]
    #[diagnostic(help("stop the process that listens there, or give {setting} another port"))]
    InUse {
        /// Where the setting stands.
        place: String,
        /// Name of the setting.
        setting: &'static str,
        /// The address that was wanted.
        address: SocketAddr,
    },
    /// The machine has no such address.
    #[error("{place}{setting} = {address} is no address of this instance")]
    #[diagnostic(help("give {setting} one of the instance's own addresses, or `0.0.0.0:{port}` for all", port = address.port()))]
    NotOurs {
        /// Where the setting stands.
        place: String,
        /// Name of the setting.
        setting: &'static str,
        /// The address that was wanted.
        address: SocketAddr,
    },
    /// The system refused for another reason.
    #[error("{place}{setting} = {address} can't be listened at: {cause}")]
    #[diagnostic(help(
        "give {setting} an address and a port of at least 1024 that this user may listen at"
    ))]
    Refused {
        /// Where the setting stands.
        place: String,
        /// Name of the setting.
        setting: &'static str,
        /// The address that was wanted.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
}

impl Address {
    /// Returns any free port of the loopback address, for tests and the demo.
    pub fn loopback() -> Address {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Address {
            listen: any,
            advertise: any,
            place: String::new(),
        }
    }

    /// Listens, and puts the port that was given in place of port 0.
    /// `unread` is about how much each connection may send before it is read.
    pub(crate) fn bind(
        &mut self,
        setting: &'static str,
        unread: Bytes,
    ) -> Result<TcpListener, ListenError> {
        let fail = |e| self.refused(setting, e);
        let listener = resources::listen(self.listen, unread).map_err(fail)?;
        let port = listener.local_addr().map_err(fail)?.port();
        self.listen.set_port(port);
        if self.advertise.port() == 0 {
            self.advertise.set_port(port);
        }
        Ok(listener)
    }

    fn refused(&self, setting: &'static str, cause: io::Error) -> ListenError {
        let place = self.place.clone();
        let address = self.listen;
        match cause.kind() {
            io::ErrorKind::AddrInUse => ListenError::InUse {
                place,
                setting,
                address,
            },
            io::ErrorKind::AddrNotAvailable => ListenError::NotOurs {
                place,
                setting,
                address,
            },
            _ => ListenError::Refused {
                place,
                setting,
                address,
                cause,
            },
        }
    }
}
