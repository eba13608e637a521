//! Listeners that limit what connections send before it is read.

use {
    resources::{
        listen,
        Bytes, //
    },
    socket2::SockRef,
    std::net::{
        SocketAddr,
        TcpStream, //
    },
};

/// Guards against connections whose limit comes after their handshake began.
#[test]
fn listen_limits_unread_bytes_of_each_connection() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), Bytes(4096)).unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    // The operating system doubles the size for its own use.
    assert_eq!(
        SockRef::from(&accepted).recv_buffer_size().unwrap(),
        2 * 4096
    );
}
