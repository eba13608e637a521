//! Helpers of the tests: a server on loopback and a raw connection to it.
#![allow(dead_code, reason = "each test file uses a part of this")]

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

/// Far above what any step takes, so that only a hang fails a test.
const HANG: Duration = Duration::from_secs(30);

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

/// Answers with the body, and the request's parts as headers.
pub async fn echo(ask: IncomingRequest) -> Response {
    match ask {
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

/// Waits for something that must happen.
pub async fn soon<T>(work: impl Future<Output = T>) -> T {
    timeout(HANG, work).await.expect("it never happened")
}

/// A connection on which a test writes bytes of its own.
pub struct Raw(pub TcpStream);

impl Raw {
    pub async fn connect(address: SocketAddr) -> Raw {
        Raw(TcpStream::connect(address).await.unwrap())
    }

    pub async fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.write_all(text.as_ref()).await.unwrap();
    }

    /// Reads until the router closes.
    pub async fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = soon(self.0.read_to_end(&mut bytes)).await;
        String::from_utf8(bytes).unwrap()
    }

    /// Reads until the text read ends as given.
    pub async fn until(&mut self, end: &str) -> String {
        let mut bytes = Vec::new();
        while !bytes.ends_with(end.as_bytes()) {
            let mut byte = [0];
            let n = soon(self.0.read(&mut byte)).await.unwrap();
            assert_eq!(n, 1, "closed after {:?}", String::from_utf8_lossy(&bytes));
            bytes.push(byte[0]);
        }
        String::from_utf8(bytes).unwrap()
    }
}

/// Sends bytes on a connection of its own and reads until the router closes it.
pub async fn tell(address: SocketAddr, text: impl AsRef<[u8]>) -> String {
    let mut raw = Raw::connect(address).await;
    raw.send(text).await;
    raw.rest().await
}

/// Proves that other callers are served as ever.
pub async fn serves(address: SocketAddr) {
    let text = tell(address, format!("{HEAD}connection: close\r\n\r\n")).await;
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
}
