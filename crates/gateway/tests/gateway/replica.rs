//! A replica that answers each request by a script.

use {
    crate::harness::wait_until,
    socket2::SockRef,
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

/// A request as the replica received it.
#[derive(Debug, Clone)]
pub(crate) struct SeenRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    pub(crate) arrived: Instant,
}

/// A step of a script.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Send(Vec<u8>),
    Pause(Duration),
    /// Waits until the caller closes the connection, and records when.
    UntilClosed,
    Close,
    /// Ends the answer, but leaves the connection open for the caller.
    EndWrites,
    /// Reads the body of the request, if the replica has answered early.
    ReadBody,
    /// Resets the connection.
    Reset,
    /// The replica's process crashes: all connections are closed and new ones refused.
    Crash,
    /// The same, but this connection is closed so much earlier than the listener.
    CrashLate(Duration),
}

type Script = dyn Fn(usize, &SeenRequest) -> Vec<Step> + Send + Sync;

/// A replica on loopback.
#[derive(Clone)]
pub(crate) struct Replica {
    pub(crate) addr: SocketAddr,
    /// Whether it answers before it reads the body.
    early: bool,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    closed: Arc<Mutex<Vec<Instant>>>,
    crashed: Arc<AtomicBool>,
    /// Open connections, by peer address.
    open: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

impl SeenRequest {
    /// Returns the length of its body.
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
        script: impl Fn(usize, &SeenRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        Replica::start_serving(false, script)
    }

    /// Starts a replica that answers as soon as it has read the head, and reads the body after
    /// that.
    pub(crate) fn start_early(
        script: impl Fn(usize, &SeenRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        Replica::start_serving(true, script)
    }

    fn start_serving(
        early: bool,
        script: impl Fn(usize, &SeenRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let replica = Replica {
            early,
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            crashed: Arc::default(),
            open: Arc::default(),
        };
        let (handle, script): (Replica, Arc<Script>) = (replica.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if handle.has_crashed() {
                    return;
                }
                let from = stream.peer_addr().unwrap();
                let kept = stream.try_clone().unwrap();
                handle.open.lock().unwrap().insert(from, kept);
                let (handle, script) = (handle.clone(), script.clone());
                thread::spawn(move || {
                    handle.serve(stream, &*script);
                    handle.open.lock().unwrap().remove(&from);
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
            let mut unread = self.early;
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
                    Step::EndWrites => stream.shutdown(Shutdown::Write).unwrap(),
                    Step::ReadBody => {
                        if !discard_body(&mut stream, &mut buf, seen.length()) {
                            return;
                        }
                        unread = false;
                    }
                    Step::Reset => {
                        // Without time to linger, closing resets.
                        let socket = SockRef::from(&stream);
                        socket.set_linger(Some(Duration::ZERO)).unwrap();
                        return;
                    }
                    Step::Crash => return self.crash(),
                    Step::CrashLate(time) => {
                        let _ = stream.shutdown(Shutdown::Both);
                        thread::sleep(time);
                        return self.crash();
                    }
                }
            }
            if unread && !discard_body(&mut stream, &mut buf, seen.length()) {
                return;
            }
        }
    }

    /// Closes the listener and all connections, like a process that crashes.
    pub(crate) fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listener. Closing the connections
        // before that would let the gateway's check find the replica alive.
        let _ = TcpStream::connect(self.addr);
        wait_until(|| TcpStream::connect(self.addr).is_err());
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether it has crashed.
    pub(crate) fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }

    pub(crate) fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns when callers closed their connections.
    pub(crate) fn closed(&self) -> Vec<Instant> {
        self.closed.lock().unwrap().clone()
    }
}

fn read(stream: &mut TcpStream, buf: &mut Vec<u8>, early: bool) -> Option<SeenRequest> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut seen = SeenRequest {
                head,
                body: Vec::new(),
                arrived: Instant::now(),
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

/// Reads the rest of a body that was not read before the answer.
fn discard_body(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> bool {
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

/// A successful answer to a request.
pub(crate) fn ok_answer(seen: &SeenRequest, body: &str) -> Vec<u8> {
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
pub(crate) fn stream_head(seen: &SeenRequest) -> Vec<u8> {
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

/// A range of events, as one chunk.
pub(crate) fn events(from: u64, to: u64) -> Vec<u8> {
    let all: String = (from..=to).map(event).collect();
    chunk(&all)
}

pub(crate) fn event(n: u64) -> String {
    format!("id: {n}\ndata: word-{n}\n\n")
}
