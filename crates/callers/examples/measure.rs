//! Compares the server for callers with the HTTP library's accept loop.
//!
//! Server and callers share one process, so only the comparison is meaningful. Run it with
//! `cargo run --release -p chervilwind-callers --example measure`.

use {
    async_std::{
        net::{
            TcpListener,
            TcpStream, //
        },
        stream::StreamExt,
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
        net::SocketAddr,
        time::{
            Duration,
            Instant, //
        },
    },
};

const CALLER_COUNT: usize = 64;
const DURATION: Duration = Duration::from_secs(3);
const IDLE_COUNT: usize = 1000;
const HEAD: &str = "POST /v1/x HTTP/1.1\r\nhost: r\r\nchervilwind-service: desk\r\n\
    chervilwind-workspace: abbey\r\nchervilwind-profile: usual\r\n";
const BODY: &[u8] = &[b'x'; 200];

fn main() {
    task::block_on(async {
        let server = start_server().await;
        let library = start_library().await;
        let kept = format!("{HEAD}content-length: 5\r\n\r\nhello");
        let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        // Runs first, before the load tests leave memory in the allocator.
        measure_idle(server, &kept).await;
        for _ in 0..2 {
            measure_load("library's accept loop", library, &kept, true).await;
            measure_load("our server", server, &kept, true).await;
            measure_load("our server, chunked", server, &chunked, false).await;
        }
    });
}

async fn start_server() -> SocketAddr {
    let server = Server::new(Limits::default(), |_: IncomingRequest| async {
        Response::complete(200, Outcome::Answered, BODY.to_vec())
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move { server.serve(listener).await });
    address
}

async fn start_library() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Some(Ok(socket)) = listener.incoming().next().await {
            socket.set_nodelay(true).unwrap();
            task::spawn(async_h1::accept(socket, |_| async {
                let mut response = http_types::Response::new(200);
                response.set_body(BODY);
                Ok(response)
            }));
        }
    });
    address
}

async fn measure_load(name: &str, address: SocketAddr, request: &str, keep: bool) {
    let end = Instant::now() + DURATION;
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| task::spawn(caller(address, request.to_owned(), keep, end)))
        .collect();
    let mut latencies = Vec::new();
    for caller in callers {
        latencies.extend(caller.await);
    }
    latencies.sort_unstable();
    println!(
        "{name}: {:.0} requests/s, p50 {:?}, p99 {:?}",
        latencies.len() as f64 / DURATION.as_secs_f64(),
        latencies[latencies.len() / 2],
        latencies[latencies.len() * 99 / 100],
    );
}

async fn caller(address: SocketAddr, request: String, keep: bool, end: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.set_nodelay(true).unwrap();
    while Instant::now() < end {
        let begin = Instant::now();
        if !keep {
            socket = TcpStream::connect(address).await.unwrap();
        }
        send_request(&mut socket, &request).await;
        latencies.push(begin.elapsed());
    }
    latencies
}

async fn send_request(socket: &mut TcpStream, request: &str) {
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    while !bytes.ends_with(BODY) {
        let n = socket.read(&mut buf).await.unwrap();
        assert!(n > 0, "closed after {} bytes", bytes.len());
        bytes.extend_from_slice(&buf[..n]);
    }
}

async fn measure_idle(address: SocketAddr, request: &str) {
    let before = resident_kib();
    let mut kept = Vec::new();
    for _ in 0..IDLE_COUNT {
        let mut socket = TcpStream::connect(address).await.unwrap();
        send_request(&mut socket, request).await;
        kept.push(socket);
    }
    let each = (resident_kib() - before) / IDLE_COUNT as f64;
    println!("idle connection, both ends: {each:.1} KiB");
}

/// Returns this process's resident memory in KiB.
fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
