//! A caller that speaks plain HTTP/1.1 on one connection.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration,
};

/// A bound that only a hang passes.
const HANG: Duration = Duration::from_secs(20);

/// An answer as it came.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// The body ended as its framing says.
    pub(crate) whole: bool,
}

/// A caller's connection.
pub(crate) struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Got {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

impl Caller {
    pub(crate) fn open(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        Caller {
            stream,
            buf: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Asks for a path, with more header lines.
    pub(crate) fn get(&mut self, path: &str, id: &str, more: &str) -> Got {
        self.send(get(path, id, more).as_bytes());
        self.answer()
    }

    /// Reads until a text has come.
    pub(crate) fn until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(self.more(), "closed before `{text}`");
        }
    }

    fn more(&mut self) -> bool {
        let mut part = [0; 4096];
        match self.stream.read(&mut part) {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&part[..n]);
                true
            }
            Ok(_) => false,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => false,
            Err(e) => panic!("the gateway hangs: {e}"),
        }
    }

    /// Reads one answer; one that is closed before its head has status 0.
    pub(crate) fn answer(&mut self) -> Got {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.more() {
                return Got {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    whole: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut got = Got {
            status: head.split(' ').nth(1).unwrap().parse().unwrap(),
            head,
            body: String::new(),
            whole: false,
        };
        match got.header("content-length").map(|n| n.parse().unwrap()) {
            Some(length) => self.sized(&mut got, length),
            None => self.chunked(&mut got),
        }
        got
    }

    fn sized(&mut self, got: &mut Got, length: usize) {
        while self.buf.len() < length && self.more() {}
        let n = length.min(self.buf.len());
        let body: Vec<u8> = self.buf.drain(..n).collect();
        got.body = String::from_utf8_lossy(&body).into_owned();
        got.whole = n == length;
    }

    fn chunked(&mut self, got: &mut Got) {
        loop {
            let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") else {
                if self.more() {
                    continue;
                }
                return;
            };
            let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).unwrap();
            while self.buf.len() < end + size + 4 {
                if !self.more() {
                    return;
                }
            }
            let text = &self.buf[end + 2..end + 2 + size];
            got.body.push_str(&String::from_utf8_lossy(text));
            self.buf.drain(..end + size + 4);
            if size == 0 {
                got.whole = true;
                return;
            }
        }
    }
}

/// A request without a body.
pub(crate) fn get(path: &str, id: &str, more: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Id: {id}\r\nX-Key: k1\r\n{more}\r\n")
}
