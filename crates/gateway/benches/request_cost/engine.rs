//! Engines that stream, as threads.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread,
    time::Duration,
};

use super::gateway_side::EVENTS;

/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// How long a request to be held waits for its answer.
const HOLD_TIME: Duration = Duration::from_secs(3_600);
/// Length of an event.
const EVENT_BYTES: usize = 75;

/// Engines on loopback.
pub(crate) struct Engines {
    pub(crate) addrs: Vec<SocketAddr>,
}

impl Engines {
    pub(crate) fn start(count: usize) -> Engines {
        let addrs = (0..count).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let addr = listener.local_addr().unwrap();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    thread::spawn(move || serve(stream));
                }
            });
            addr
        });
        Engines {
            addrs: addrs.collect(),
        }
    }
}

fn serve(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    while let Some(head) = read_request(&mut stream) {
        if head.starts_with("POST /hold/") {
            thread::sleep(HOLD_TIME);
        }
        let id = header(&head, "x-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nKeep-Alive: timeout=5\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        for n in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Reads one request, and returns its head.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut all = Vec::new();
    let mut part = [0; 16 * 1024];
    loop {
        let n = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        all.extend_from_slice(&part[..n]);
        let Some(end) = all.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&all[..end]).into_owned();
        let length: usize = header(&head, "content-length").map_or(0, |n| n.parse().unwrap());
        if all.len() >= end + 4 + length {
            return Some(head);
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then_some(value)
    })
}
