//! Test helpers: a server on loopback and a raw connection to it.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use {
    async_std::{
        future::timeout,
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    callers::{
        IncomingRequest,
        Limits,
        Response,
        Server, //
    },
    futures_lite::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    policy::Outcome,
    std::{
        future::Future,
        net::SocketAddr,
        time::Duration, //
    },
};

/// Far longer than any step takes, so that only a hang exceeds it.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

pub const HEAD: &str = "POST /v1/x?a=1 HTTP/1.1\r\nhost: r\r\nchervilwind-service: desk\r\n\
    chervilwind-workspace: abbey\r\nchervilwind-profile: usual\r\n";

/// Starts a server on a free port of loopback.
pub async fn start<F, R>(limits: Limits, handler: F) -> (Server, SocketAddr)
where
    F: Fn(IncomingRequest) -> R + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let server = Server::new(limits, handler);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = server.clone();
    task::spawn(async move { serving.serve(listener).await });
    (server, address)
}

/// Responds with the request's body, and with its other parts as headers.
pub async fn echo(request: IncomingRequest) -> Response {
    match request {
        IncomingRequest::Request { request, .. } => {
            Response::complete(200, Outcome::Answered, request.body.clone())
                .header("x-service", request.service.to_string())
                .header("x-target", request.target.clone())
                .header("x-ticket", request.ticket.clone().unwrap_or_default())
                .header("x-deadline", format!("{}", request.deadline.is_some()))
        }
        IncomingRequest::Addresses { query, .. } => {
            Response::complete(200, Outcome::Answered, Vec::new())
                .header("x-service", query.service.to_string())
                .header("x-tickets", query.tickets.to_string())
        }
    }
}

/// Awaits `work`, and panics if it hangs.
pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    timeout(HANG_TIMEOUT, work).await.expect("timed out")
}

/// A connection on which a test sends arbitrary bytes.
pub struct RawConnection(pub TcpStream);

impl RawConnection {
    pub async fn connect(address: SocketAddr) -> RawConnection {
        RawConnection(TcpStream::connect(address).await.unwrap())
    }

    pub async fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.write_all(text.as_ref()).await.unwrap();
    }

    /// Reads until the server closes the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = with_timeout(self.0.read_to_end(&mut bytes)).await;
        String::from_utf8(bytes).unwrap()
    }

    /// Reads until the received text ends with `end`.
    pub async fn read_until(&mut self, end: &str) -> String {
        let mut bytes = Vec::new();
        while !bytes.ends_with(end.as_bytes()) {
            let mut byte = [0];
            let n = with_timeout(self.0.read(&mut byte)).await.unwrap();
            assert_eq!(n, 1, "closed after {:?}", String::from_utf8_lossy(&bytes));
            bytes.push(byte[0]);
        }
        String::from_utf8(bytes).unwrap()
    }
}

/// Sends bytes on a new connection and reads until the server closes it.
pub async fn send_raw(address: SocketAddr, text: impl AsRef<[u8]>) -> String {
    let mut raw = RawConnection::connect(address).await;
    raw.send(text).await;
    raw.read_to_end().await
}

/// Asserts that a request on a new connection is served.
pub async fn assert_serves(address: SocketAddr) {
    let text = send_raw(address, format!("{HEAD}connection: close\r\n\r\n")).await;
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
}
