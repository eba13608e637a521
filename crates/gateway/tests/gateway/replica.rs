//! A replica that answers each request by a script.

use {
    crate::stage::wait,
    std::{
        collections::HashMap,
        io::{
            Read,
            Write, //
        },
        net::{
            Shutdown,
            SocketAddr,
            TcpListener,
            TcpStream, //
        },
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// A request as the replica saw it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// What the replica does for a request, in order.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits until the caller closes, and notes when.
    UntilClosed,
    Close,
    /// The replica's process ends: every connection closes, and none is taken any more.
    End,
}

type Script = dyn Fn(usize, &Seen) -> Vec<Step> + Send + Sync;

/// A replica on loopback.
#[derive(Clone)]
pub(crate) struct Replica {
    pub(crate) addr: SocketAddr,
    /// It answers before it reads the body.
    early: bool,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<Vec<Instant>>>,
    ended: Arc<AtomicBool>,
    /// Open connections, by where they come from.
    open: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

impl Seen {
    /// The length that it gives its body.
    pub(crate) fn length(&self) -> usize {
        self.header("content-length")
            .map_or(0, |n| n.parse().unwrap())
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

impl Replica {
    /// Starts a replica; `script` gets the number of the request, from 0 on.
    pub(crate) fn start(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        Replica::serving(false, script)
    }

    /// Starts a replica that answers once it has the head, and reads the body then.
    pub(crate) fn start_early(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        Replica::serving(true, script)
    }

    fn serving(
        early: bool,
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = Replica {
            early,
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            ended: Arc::default(),
            open: Arc::default(),
        };
        let (of, script): (Replica, Arc<Script>) = (replica.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if of.has_ended() {
                    return;
                }
                let from = stream.peer_addr().unwrap();
                let kept = stream.try_clone().unwrap();
                of.open.lock().unwrap().insert(from, kept);
                let (of, script) = (of.clone(), script.clone());
                thread::spawn(move || {
                    of.serve(stream, &*script);
                    of.open.lock().unwrap().remove(&from);
                });
            }
        });
        replica
    }

    fn serve(&self, mut stream: TcpStream, script: &Script) {
        let mut buf = Vec::new();
        while let Some(seen) = read(&mut stream, &mut buf, self.early) {
            let number = {
                let mut all = self.seen.lock().unwrap();
                all.push(seen.clone());
                all.len() - 1
            };
            for step in script(number, &seen) {
                match step {
                    Step::Send(bytes) => {
                        if stream.write_all(&bytes).is_err() {
                            self.closed.lock().unwrap().push(Instant::now());
                            return;
                        }
                    }
                    Step::Pause(time) => thread::sleep(time),
                    Step::UntilClosed => {
                        let _ = stream.read(&mut [0; 1]);
                        self.closed.lock().unwrap().push(Instant::now());
                        return;
                    }
                    Step::Close => return,
                    Step::End => return self.end(),
                }
            }
            if self.early && !drop_body(&mut stream, &mut buf, seen.length()) {
                return;
            }
        }
    }

    /// Ends as a process does that crashes.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then stops to listen. What is said to a caller
        // before that would be taken as a sign of life.
        let _ = TcpStream::connect(self.addr);
        wait(|| TcpStream::connect(self.addr).is_err());
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Tells whether it has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns when callers closed on it.
    pub(crate) fn closed(&self) -> Vec<Instant> {
        self.closed.lock().unwrap().clone()
    }
}

fn read(stream: &mut TcpStream, buf: &mut Vec<u8>, early: bool) -> Option<Seen> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut seen = Seen {
                head,
                body: Vec::new(),
            };
            let length = if early { 0 } else { seen.length() };
            if buf.len() >= end + 4 + length {
                seen.body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some(seen);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// Reads what is left of a body that was not read before the answer.
fn drop_body(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> bool {
    let mut part = [0; 4096];
    while buf.len() < length {
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
            _ => return false,
        }
    }
    buf.drain(..length);
    true
}

/// A good answer to a request.
pub(crate) fn good(seen: &Seen, body: &str) -> Vec<u8> {
    answer(seen.header("x-id").unwrap_or("-"), "200 OK", body)
}

pub(crate) fn answer(id: &str, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nX-Id: {id}\r\nX-Signature: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The head of a stream.
pub(crate) fn stream_head(seen: &Seen) -> Vec<u8> {
    let id = seen.header("x-id").unwrap_or("-");
    format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// A chunk of a stream.
pub(crate) fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Events from one number to another, as one chunk.
pub(crate) fn events(from: u64, to: u64) -> Vec<u8> {
    let all: String = (from..=to).map(event).collect();
    chunk(&all)
}

pub(crate) fn event(n: u64) -> String {
    format!("id: {n}\ndata: word-{n}\n\n")
}
