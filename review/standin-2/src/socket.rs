//! Opens a connection with a small receive buffer, which the standard library can't.

use std::{
    ffi::{c_int, c_void},
    io,
    mem::size_of,
    net::{SocketAddrV4, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

/// The address of a peer as the system calls take it (`sockaddr_in`).
#[repr(C)]
struct PeerAddr {
    family: u16,
    /// In network byte order.
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
    fn connect(socket: c_int, addr: *const PeerAddr, length: u32) -> c_int;
}

fn check(result: c_int) -> io::Result<c_int> {
    match result {
        0.. => Ok(result),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Opens a connection whose receive buffer has about this many bytes, as small devices have it.
pub fn connect_with_buffer(addr: SocketAddrV4, bytes: i32) -> io::Result<TcpStream> {
    // SAFETY: a new descriptor, which the stream owns from here on.
    let stream = unsafe { TcpStream::from_raw_fd(check(socket(AF_INET, SOCK_STREAM, 0))?) };
    let value: *const i32 = &bytes;
    let peer = PeerAddr {
        family: AF_INET as u16,
        port: addr.port().to_be_bytes(),
        ip: addr.ip().octets(),
        zero: [0; 8],
    };
    let descriptor = stream.as_raw_fd();
    // SAFETY: the descriptor is open, and the value and the address live until the calls return.
    unsafe {
        check(setsockopt(
            descriptor,
            SOL_SOCKET,
            SO_RCVBUF,
            value.cast(),
            4,
        ))?;
        check(connect(descriptor, &peer, size_of::<PeerAddr>() as u32))?;
    }
    Ok(stream)
}
