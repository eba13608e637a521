//! A stand-in of a server, as a process of its own.
//!
//! The first part of the path tells what it does: `/.../stream` sends a stream of events, anything
//! else a body of some bytes. It prints a line for each request that it begins and ends.

use {
    crate::http::{answer, serve, Conn, Head},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::Duration,
    },
};

/// How a server works.
#[derive(Debug, Clone)]
pub struct Work {
    pub id: String,
    pub addr: SocketAddr,
    /// Events of a stream, and the time between two of them.
    pub events: u32,
    pub step: Duration,
    /// Bytes of an answer that is not a stream, and the time until it is sent.
    pub body_bytes: usize,
    pub delay: Duration,
    /// Requests at once.
    pub slots: u32,
    /// The idle timeout that it announces with answers that are not streams, in seconds.
    pub keep_alive: u64,
}

impl Work {
    /// Encodes it as arguments of this program.
    pub fn args(&self) -> Vec<String> {
        let Work {
            id,
            addr,
            events,
            step,
            body_bytes,
            delay,
            slots,
            keep_alive,
        } = self;
        let words = [
            "replica".to_owned(),
            id.clone(),
            addr.to_string(),
            events.to_string(),
            step.as_millis().to_string(),
            body_bytes.to_string(),
            delay.as_millis().to_string(),
            slots.to_string(),
            keep_alive.to_string(),
        ];
        words.to_vec()
    }

    /// Parses the arguments.
    pub fn parse(args: &[String]) -> Option<Work> {
        let [id, addr, events, step, body_bytes, delay, slots, keep_alive] = args else {
            return None;
        };
        Some(Work {
            id: id.clone(),
            addr: addr.parse().ok()?,
            events: events.parse().ok()?,
            step: Duration::from_millis(step.parse().ok()?),
            body_bytes: body_bytes.parse().ok()?,
            delay: Duration::from_millis(delay.parse().ok()?),
            slots: slots.parse().ok()?,
            keep_alive: keep_alive.parse().ok()?,
        })
    }
}

/// Returns an event of a stream.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: words of the answer, part {number:04}, of some length\n\n")
}

/// Returns the body of an answer that is not a stream.
pub fn body(attempt: &str, len: usize) -> Vec<u8> {
    let line = format!("answer to {attempt}\n");
    line.bytes().cycle().take(len).collect()
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Serves until the process is killed.
pub fn run(work: Work) -> io::Result<()> {
    let listener = TcpListener::bind(work.addr)?;
    let running = AtomicU32::new(0);
    serve(listener, move |head, _, conn| {
        let begun = running.fetch_add(1, Ordering::SeqCst);
        let kept = handle(&work, begun, head, conn);
        running.fetch_sub(1, Ordering::SeqCst);
        kept
    });
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

fn handle(work: &Work, running: u32, head: &Head, conn: &mut Conn) -> io::Result<bool> {
    if head.target() == "/health" {
        conn.send(&answer(200, &[("Chervilwind-Replica-Id", &work.id)], b""))?;
        return Ok(true);
    }
    let not_run = ("Chervilwind-Not-Executed", "1");
    let Some(attempt) = head.header("Chervilwind-Attempt-Id") else {
        conn.send(&answer(400, &[not_run], b""))?;
        return Ok(true);
    };
    let id = ("Chervilwind-Attempt-Id", attempt);
    if head
        .header("Chervilwind-Expect-Replica")
        .is_some_and(|other| other != work.id)
    {
        let own = ("Chervilwind-Replica-Id", work.id.as_str());
        conn.send(&answer(421, &[id, own], b""))?;
        return Ok(true);
    }
    if running >= work.slots {
        conn.send(&answer(503, &[id, not_run], b""))?;
        return Ok(true);
    }
    let after = head.header("Last-Event-Id").unwrap_or("0");
    say(&format!(
        "runs {attempt} {} {} after={after}",
        head.method(),
        head.target()
    ));
    let seal = format!("seal.{}.{attempt}", work.id);
    let ends = match head.target().split('/').any(|part| part == "stream") {
        true => stream(work, attempt, &seal, after.parse().unwrap_or(0), conn),
        false => plain(work, head, attempt, &seal, conn),
    };
    let outcome = ends
        .as_ref()
        .map_or_else(|e| format!("cut: {e}"), |_| "sent".to_owned());
    say(&format!("ended {attempt} {outcome}"));
    ends
}

fn stream(work: &Work, attempt: &str, seal: &str, after: u32, conn: &mut Conn) -> io::Result<bool> {
    conn.send(
        format!(
            "HTTP/1.1 200 OK\r\nChervilwind-Attempt-Id: {attempt}\r\n\
             Chervilwind-Replica-Seal: {seal}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .as_bytes(),
    )?;
    for number in after + 1..=work.events {
        thread::sleep(work.step);
        let event = event(number);
        conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    conn.send(b"0\r\n\r\n")?;
    Ok(true)
}

fn plain(work: &Work, head: &Head, attempt: &str, seal: &str, conn: &mut Conn) -> io::Result<bool> {
    thread::sleep(work.delay);
    let keep_alive = format!("timeout={}", work.keep_alive);
    let headers = [
        ("Chervilwind-Attempt-Id", attempt),
        ("Chervilwind-Replica-Seal", seal),
        ("Keep-Alive", &keep_alive),
    ];
    let mut bytes = answer(200, &headers, &body(attempt, work.body_bytes));
    if head.method() == "HEAD" {
        // An answer to HEAD has the head of the answer to GET and no body.
        bytes.truncate(bytes.len() - work.body_bytes);
    }
    conn.send(&bytes)?;
    Ok(true)
}
