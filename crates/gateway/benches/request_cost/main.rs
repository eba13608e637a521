//! What a gateway spends on a request: processor time, system calls and wake-ups.
//!
//! `cargo bench -p chervilwind-gateway` runs one gateway on loopback, with callers and engines as
//! threads of the same process, and counts only the gateway's threads. System calls are counted
//! where the kernel permits it. Figures of one machine are comparable with each other only; with
//! `ASYNC_STD_THREAD_COUNT=1` they are those of an instance with one core.

mod engine;
mod gateway_side;
mod meter;
mod placement;

use {
    self::{
        engine::Engines,
        gateway_side::{
            start_gateway,
            EVENTS, //
        },
        meter::{
            Cost,
            Meter, //
        },
    },
    std::{
        io::{
            Read,
            Write, //
        },
        net::{
            SocketAddr,
            TcpStream, //
        },
        thread,
        time::Duration, //
    },
};

/// Engines that a placement decision looks at.
const ENGINES: usize = 60;
/// Callers that stream at the same time.
const CALLERS: usize = 100;
/// Streams of each caller, one after the other.
const STREAMS: usize = 4;
/// Rejected requests, over a kept connection and over new ones.
const REJECTED: usize = 2_000;

fn main() {
    for engines in [60, 160] {
        placement::measure(engines);
    }
    let engines = Engines::start(ENGINES);
    let gateway = start_gateway(&engines);
    let addr = gateway.callers;
    stream(addr, 1);
    measure("idle, for a second", 1, || {
        thread::sleep(Duration::from_secs(1))
    });
    measure(
        &format!("streamed answer of {EVENTS} events"),
        CALLERS * STREAMS,
        || {
            let callers = (0..CALLERS).map(|_| thread::spawn(move || stream(addr, STREAMS)));
            let callers: Vec<_> = callers.collect();
            callers.into_iter().for_each(|c| c.join().unwrap());
        },
    );
    gateway.fill();
    measure("rejection, kept connection", REJECTED, || {
        let mut caller = TcpStream::connect(addr).unwrap();
        (0..REJECTED).for_each(|n| reject(&mut caller, n));
    });
    measure("rejection, new connection", REJECTED, || {
        (0..REJECTED).for_each(|n| reject(&mut TcpStream::connect(addr).unwrap(), n));
    });
}

/// Runs a load and prints what each of its requests cost the gateway.
fn measure(what: &str, requests: usize, load: impl FnOnce()) {
    let meter = Meter::start();
    load();
    let Cost {
        processor,
        calls,
        wakes,
    } = meter.stop();
    let each = |n: f64| n / requests as f64;
    let calls = calls.map_or("not counted".to_owned(), |n| {
        format!("{:.1}", each(n as f64))
    });
    println!(
        "{what}: {:.1} us, {calls} system calls, {:.1} wake-ups",
        each(processor.as_secs_f64() * 1e6),
        each(wakes as f64)
    );
}

/// Requests some streams one after the other, and reads each to its end.
fn stream(addr: SocketAddr, count: usize) {
    let mut caller = TcpStream::connect(addr).unwrap();
    caller.set_nodelay(true).unwrap();
    for n in 0..count {
        let id = format!("{:?}-{n}", thread::current().id());
        caller.write_all(&request("/stream/", &id)).unwrap();
        let answer = read_until(&mut caller, b"\r\n0\r\n\r\n");
        assert!(
            answer.starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&answer)
        );
    }
}

/// Sends a request that the gateway rejects, since all engines are full.
fn reject(caller: &mut TcpStream, n: usize) {
    caller
        .write_all(&request("/stream/", &n.to_string()))
        .unwrap();
    let answer = read_until(caller, b"\n");
    assert!(
        answer.starts_with(b"HTTP/1.1 503"),
        "{}",
        String::from_utf8_lossy(&answer)
    );
}

fn request(path: &str, id: &str) -> Vec<u8> {
    let body = "x".repeat(2_400);
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Id: {id}\r\nX-Key: k1\r\nX-Deadline: 12000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut all = Vec::new();
    let mut part = [0; 16 * 1024];
    while !all.ends_with(end) {
        let n = stream.read(&mut part).unwrap();
        assert!(n > 0, "closed after {}", String::from_utf8_lossy(&all));
        all.extend_from_slice(&part[..n]);
    }
    all
}
