//! Addresses that other writers report.

use {
    std::net::{
        IpAddr,
        SocketAddr, //
    },
    thiserror::Error,
};

/// Why nothing can be reached at an address.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum AddressError {
    /// The port is 0.
    #[error("{0} has port 0; give the port that it listens at")]
    Port(SocketAddr),
    /// The address stands for any or for many machines.
    #[error("{0} is not the address of one machine")]
    Machine(SocketAddr),
}

/// Checks that an address is one that a single process can listen at.
///
/// # Examples
///
/// ```
/// assert!(policy::check_address("10.0.0.9:8080".parse()?).is_ok());
/// assert!(policy::check_address("0.0.0.0:8080".parse()?).is_err());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
///
/// # Errors
///
/// If the port is 0, or the address is unspecified, multicast or broadcast.
pub fn check_address(addr: SocketAddr) -> Result<(), AddressError> {
    let ip = addr.ip().to_canonical();
    let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
    if ip.is_unspecified() || ip.is_multicast() || broadcast {
        return Err(AddressError::Machine(addr));
    }
    match addr.port() {
        0 => Err(AddressError::Port(addr)),
        _ => Ok(()),
    }
}
