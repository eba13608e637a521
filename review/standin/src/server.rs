//! A server of a service, as a process of its own.
//!
//! It writes to its output `run ID` as it begins to work on a request, and `end ID PIECES` after the
//! last piece of a stream.

use crate::http::{head, message, Channel, Message};
use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// What a server is started with.
#[derive(Debug)]
pub struct Options {
    addr: SocketAddr,
    id: String,
    slots: usize,
    queue: usize,
    /// Time that a plain request takes.
    work: Duration,
    /// Pieces of a stream, and the time between two of them.
    pieces: u64,
    gap: Duration,
    /// By how much the ids of two events in a row differ.
    id_step: u64,
    /// Whether a stream is sent in chunks, or ends with its channel.
    chunked: bool,
}

impl Options {
    /// Parses `--name value` pairs.
    pub fn parse(args: &[String]) -> Options {
        let pairs = args.chunks(2);
        let given: HashMap<&str, &str> = pairs
            .map(|p| (p[0].trim_start_matches('-'), p[1].as_str()))
            .collect();
        let number = |name: &str| given.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        Options {
            addr: given["addr"].parse().expect("an address"),
            id: given["id"].to_owned(),
            slots: number("slots") as usize,
            queue: number("queue") as usize,
            work: Duration::from_millis(number("work-ms")),
            pieces: number("pieces"),
            gap: Duration::from_millis(number("gap-ms")),
            id_step: number("id-step").max(1),
            chunked: number("chunked") == 1,
        }
    }
}

#[derive(Debug)]
struct Server {
    options: Options,
    taken: AtomicUsize,
}

/// Serves until the process ends.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.addr)?;
    println!("listening {}", listener.local_addr()?);
    let server = Arc::new(Server {
        options,
        taken: AtomicUsize::new(0),
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || {
            let Ok(mut channel) = Channel::new(stream) else {
                return;
            };
            while let Ok(request) = channel.read_request() {
                match server.serve(&request, &mut channel) {
                    Ok(true) => {}
                    _ => return,
                }
            }
        });
    }
    Ok(())
}

impl Server {
    /// Answers a request. Returns whether the channel is kept.
    fn serve(&self, request: &Message, channel: &mut Channel) -> io::Result<bool> {
        let own_id = ("Chervilwind-Replica-Id", self.options.id.as_str());
        if request.target() == "/health" {
            channel.send(&message("HTTP/1.1 200 OK", &[own_id], b""))?;
            return Ok(true);
        }
        let Some(id) = request.header("chervilwind-attempt-id") else {
            let not_run = ("Chervilwind-Not-Executed", "1");
            channel.send(&message("HTTP/1.1 400 Bad Request", &[not_run], b""))?;
            return Ok(true);
        };
        let attempt = ("Chervilwind-Attempt-Id", id);
        let expected = request.header("chervilwind-expect-replica");
        if expected.is_some_and(|e| e != self.options.id) {
            let line = "HTTP/1.1 421 Misdirected Request";
            channel.send(&message(line, &[attempt, own_id], b""))?;
            return Ok(true);
        }
        let place = self.taken.fetch_add(1, Ordering::SeqCst);
        let kept = match place < self.options.slots + self.options.queue {
            true => self.run_request(request, id, place, channel),
            false => {
                let headers = [attempt, ("Chervilwind-Not-Executed", "1")];
                let line = "HTTP/1.1 503 Service Unavailable";
                channel.send(&message(line, &headers, b"")).map(|()| true)
            }
        };
        self.taken.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    fn run_request(
        &self,
        request: &Message,
        id: &str,
        place: usize,
        channel: &mut Channel,
    ) -> io::Result<bool> {
        // What waits in the queue takes as much longer.
        let rounds = 1 + (place / self.options.slots.max(1)) as u32;
        println!("run {id}");
        let seal = format!("{}.{id}", self.options.id);
        let headers = [
            ("Chervilwind-Attempt-Id", id),
            ("Chervilwind-Replica-Seal", seal.as_str()),
        ];
        if self.options.pieces > 0 {
            return self.stream(request, id, &headers, channel);
        }
        thread::sleep(self.options.work * rounds);
        channel.send(&message("HTTP/1.1 200 OK", &headers, &[b'a'; 800]))?;
        Ok(true)
    }

    /// A stream, which ends with its channel unless it is sent in chunks. Returns whether the channel is
    /// kept.
    fn stream(
        &self,
        request: &Message,
        id: &str,
        headers: &[(&str, &str)],
        channel: &mut Channel,
    ) -> io::Result<bool> {
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(match self.options.chunked {
            true => ("Transfer-Encoding", "chunked"),
            false => ("Connection", "close"),
        });
        channel.send(&head("HTTP/1.1 200 OK", &headers))?;
        let step = self.options.id_step;
        let last = request.header("last-event-id");
        let last: u64 = last.and_then(|n| n.parse().ok()).unwrap_or(0);
        let pieces = self.options.pieces;
        for n in last / step + 1..=pieces {
            thread::sleep(self.options.gap);
            let event = format!("id: {}\ndata: piece {n} of {pieces} of {id}\n\n", n * step);
            let event = match self.options.chunked {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            channel.send(event.as_bytes())?;
        }
        if self.options.chunked {
            channel.send(b"0\r\n\r\n")?;
        }
        println!("end {id} {pieces}");
        Ok(self.options.chunked)
    }
}
