use {
    super::Conn,
    crate::http::Head,
    async_io::Async,
    async_std::task,
    std::{
        io::Write,
        net::{
            TcpListener,
            TcpStream, //
        },
    },
};

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// Reads a request after its caller has run `then`. Returns whether the caller counts as
/// disconnected.
fn read_late(then: fn(TcpStream) -> Option<TcpStream>) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller.write_all(REQUEST).unwrap();
    let caller = then(caller);
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let closed = task::block_on(async {
        let mut conn = Conn::new(Async::new(stream).unwrap()).unwrap();
        conn.read_head(4096, Head::request).await.unwrap();
        conn.is_closed().await
    });
    drop(caller);
    closed
}

#[test]
fn is_closed_before_read() {
    // An overloaded instance read a request 1.8 s after it was sent. The caller had timed out after
    // one second and closed the connection, but the request was still sent to a replica.
    assert!(read_late(|caller| {
        drop(caller);
        None
    }));
}

#[test]
fn is_closed_not_while_waiting() {
    assert!(!read_late(Some));
}

#[test]
fn is_closed_not_with_next_request() {
    assert!(!read_late(|mut caller| {
        caller.write_all(REQUEST).unwrap();
        Some(caller)
    }));
}
