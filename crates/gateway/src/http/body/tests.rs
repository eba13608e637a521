use {
    super::{
        Body,
        Framing, //
    },
    crate::http::Conn,
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

/// A connection, and the end at which its bytes are written.
fn pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    (Conn::new(Async::new(stream).unwrap()).unwrap(), peer)
}

/// Guards against a write for each chunk of a stream when several have arrived together.
#[test]
fn buffered_part_of_chunks_that_arrived_together() {
    let (mut conn, mut peer) = pair();
    peer.write_all(b"2\r\nab\r\n3\r\ncde\r\n4\r\nfg").unwrap();
    let mut body = Body::new(Framing::Chunked);
    let first = task::block_on(body.read_part(&mut conn)).unwrap();
    assert_eq!(first.as_deref(), Some(&b"ab"[..]));
    let mut next = || body.buffered_part(&mut conn).unwrap();
    assert_eq!(next().as_deref(), Some(&b"cde"[..]));
    assert_eq!(next().as_deref(), Some(&b"fg"[..]));
    assert_eq!(next(), None);
    peer.write_all(b"hi\r\n0\r\nx: y\r\n\r\n").unwrap();
    let rest = task::block_on(body.read_all(&mut conn, 10)).unwrap();
    assert_eq!(rest, b"hi");
    assert!(body.ended() && body.reusable());
}

/// Guards against an end that is noticed only with one more read, which a replica that keeps the
/// connection never satisfies.
#[test]
fn buffered_part_at_the_end() {
    let (mut conn, mut peer) = pair();
    peer.write_all(b"1\r\na\r\n0\r\n\r\n").unwrap();
    let mut body = Body::new(Framing::Chunked);
    task::block_on(body.read_part(&mut conn)).unwrap();
    assert_eq!(body.buffered_part(&mut conn).unwrap(), None);
    assert!(body.ended());
}

/// Guards against a chunk that is longer than stated, which could smuggle a second answer.
#[test]
fn buffered_part_longer_than_stated() {
    let (mut conn, mut peer) = pair();
    peer.write_all(b"1\r\na\r\n1\r\nbc\r\n").unwrap();
    let mut body = Body::new(Framing::Chunked);
    task::block_on(body.read_part(&mut conn)).unwrap();
    body.buffered_part(&mut conn).unwrap();
    assert!(body.buffered_part(&mut conn).is_err());
}
