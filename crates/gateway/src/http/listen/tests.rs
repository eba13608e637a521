//! Connections that wait to be accepted.

use {
    super::listen,
    std::{
        net::TcpStream,
        time::Duration, //
    },
};

/// A bound that only a packet that was dropped passes: it comes again after a second.
const AT_ONCE: Duration = Duration::from_millis(900);

#[test]
fn listen_many_wait() {
    // Callers of a large workspace all connect to one instance, which gets no processor for a
    // tenth of a second. Those beyond the 128th find no connection and are not served, though
    // the instance could have served them a moment later.
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let open: Vec<TcpStream> = (0..300)
        .map(|_| TcpStream::connect_timeout(&addr, AT_ONCE).unwrap())
        .collect();
    assert_eq!(open.len(), 300);
}
