//! Blocking HTTP/1.1 of the stand-ins and callers.

use std::{
    collections::HashMap,
    io::{
        self,
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
    time::Duration, //
};

/// Maximum number of headers in a head.
const HEADERS_MAX: usize = 64;
/// How often a crash looks whether the listener is closed.
const CRASH_POLL: Duration = Duration::from_millis(1);
/// Time limit that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    /// Target of a request.
    pub(crate) target: String,
    /// Status of an answer.
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether all of the body was read.
    pub(crate) complete: bool,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn pairs(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let headers = headers.iter();
    headers
        .map(|h| (h.name.to_owned(), text(h.value)))
        .collect()
}

fn parse_request(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut slots);
    let status = parsed.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
    let httparse::Status::Complete(end) = status else {
        return Ok(None);
    };
    let message = Message {
        target: parsed.path.unwrap_or_default().to_owned(),
        status: 0,
        headers: pairs(parsed.headers),
        body: Vec::new(),
        complete: false,
    };
    Ok(Some((message, end)))
}

fn parse_answer(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut slots);
    let status = parsed.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
    let httparse::Status::Complete(end) = status else {
        return Ok(None);
    };
    let message = Message {
        target: String::new(),
        status: parsed.code.unwrap_or_default(),
        headers: pairs(parsed.headers),
        body: Vec::new(),
        complete: false,
    };
    Ok(Some((message, end)))
}

type ParseHead = fn(&[u8]) -> io::Result<Option<(Message, usize)>>;

impl Conn {
    pub(crate) fn open(addr: SocketAddr) -> io::Result<Conn> {
        Conn::new(TcpStream::connect_timeout(&addr, HANG_TIMEOUT)?)
    }

    fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(HANG_TIMEOUT))?;
        Ok(Conn {
            stream,
            buf: Vec::new(),
        })
    }

    /// Reads a request.
    pub(crate) fn read_request(&mut self) -> io::Result<Message> {
        self.read_message(parse_request)
    }

    /// Reads a complete answer.
    pub(crate) fn read_answer(&mut self) -> io::Result<Message> {
        self.read_message(parse_answer)
    }

    /// Reads an answer up to where it breaks off, or up to the given number of chunks of its body.
    pub(crate) fn read_part(&mut self, chunks: usize) -> io::Result<Message> {
        let mut message = self.read_start(parse_answer)?;
        message.complete = match message.header("transfer-encoding") {
            Some(_) => matches!(self.read_chunks(&mut message.body, chunks), Ok(true)),
            None => self.read_sized(&mut message).is_ok(),
        };
        Ok(message)
    }

    fn read_message(&mut self, parse: ParseHead) -> io::Result<Message> {
        let mut message = self.read_start(parse)?;
        match message.header("transfer-encoding") {
            Some(_) => drop(self.read_chunks(&mut message.body, usize::MAX)?),
            None => self.read_sized(&mut message)?,
        }
        message.complete = true;
        Ok(message)
    }

    fn read_start(&mut self, parse: ParseHead) -> io::Result<Message> {
        let (message, end) = loop {
            if let Some(parsed) = parse(&self.buf)? {
                break parsed;
            }
            self.read_more()?;
        };
        self.buf.drain(..end);
        Ok(message)
    }

    fn read_sized(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message.header("content-length").unwrap_or("0");
        let length = length.parse().map_err(|_| invalid("content-length"))?;
        message.body = self.take(length)?;
        Ok(())
    }

    /// Reads up to `most` chunks. Returns whether the body is complete.
    fn read_chunks(&mut self, body: &mut Vec<u8>, most: usize) -> io::Result<bool> {
        let mut count = 0;
        loop {
            let status = httparse::parse_chunk_size(&self.buf).map_err(|_| invalid("chunk"))?;
            let httparse::Status::Complete((start, size)) = status else {
                self.read_more()?;
                continue;
            };
            self.buf.drain(..start);
            let part = self.take(size as usize)?;
            self.take(2)?;
            if size == 0 {
                return Ok(true);
            }
            body.extend_from_slice(&part);
            count += 1;
            if count >= most {
                return Ok(false);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.read_more()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut part = [0; 8192];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Encodes an answer with a body of known length.
pub(crate) fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let length = body.len().to_string();
    let mut bytes = head(status, headers);
    bytes.push_str(&format!("Content-Length: {length}\r\n\r\n{body}"));
    bytes.into_bytes()
}

/// Encodes the first line and the headers of an answer.
pub(crate) fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let lines = headers.iter();
    let lines: String = lines
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!("HTTP/1.1 {status} Status\r\n{lines}")
}

/// Handles one request on its connection; an error closes the connection.
pub(crate) type Handler = dyn Fn(&Message, &mut Conn) -> io::Result<()> + Send + Sync;

/// A server, which may crash.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    crashed: Arc<AtomicBool>,
    /// Open connections, by peer address.
    streams: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, like a process that crashes.
    pub(crate) fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread. The listener is closed before the connections are, so that a
        // check of the process finds it gone.
        while TcpStream::connect(self.addr).is_ok() {
            thread::sleep(CRASH_POLL);
        }
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves a listener until it crashes or the process ends, with a thread for each connection.
pub(crate) fn serve(listener: TcpListener, handler: Arc<Handler>) -> Server {
    let server = Server {
        addr: listener.local_addr().unwrap(),
        crashed: Arc::default(),
        streams: Arc::default(),
    };
    let (crashed, streams) = (server.crashed.clone(), server.streams.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if crashed.load(Ordering::SeqCst) {
                return;
            }
            let (Ok(peer), Ok(kept)) = (stream.peer_addr(), stream.try_clone()) else {
                continue;
            };
            streams.lock().unwrap().insert(peer, kept);
            let (handler, streams) = (handler.clone(), streams.clone());
            thread::spawn(move || {
                if let Ok(mut conn) = Conn::new(stream) {
                    while let Ok(request) = conn.read_request() {
                        if handler(&request, &mut conn).is_err() {
                            break;
                        }
                    }
                }
                streams.lock().unwrap().remove(&peer);
            });
        }
    });
    server
}
