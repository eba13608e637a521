//! A caller that sends plain HTTP/1.1 on one connection.

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

/// Time limit that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer as it was received.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body is complete according to its framing.
    pub(crate) complete: bool,
}

/// A caller's connection.
pub(crate) struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Answer {
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
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        Caller {
            stream,
            buf: Vec::new(),
        }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends a GET request with additional header lines, and reads the answer.
    pub(crate) fn get(&mut self, path: &str, id: &str, headers: &str) -> Answer {
        self.send(get_request(path, id, headers).as_bytes());
        self.answer()
    }

    /// Reads until a text was received.
    pub(crate) fn read_until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(self.read_more(), "closed before `{text}`");
        }
    }

    fn read_more(&mut self) -> bool {
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

    /// Reads one answer. The status is 0 if the connection is closed before the end of the head.
    pub(crate) fn answer(&mut self) -> Answer {
        let mut got = self.answer_to_head();
        let length = got.header("content-length").map(|n| n.parse().unwrap());
        match (got.status, length) {
            (0, _) => {}
            (204 | 304, _) => got.complete = true,
            (_, Some(length)) => self.read_sized(&mut got, length),
            (_, None) => self.read_chunked(&mut got),
        }
        got
    }

    /// Reads the answer to a HEAD request, which has no body.
    pub(crate) fn answer_to_head(&mut self) -> Answer {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.read_more() {
                return Answer {
                    status: 0,
                    head: String::new(),
                    body: String::new(),
                    complete: false,
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let status = head.split(' ').nth(1);
        Answer {
            status: status
                .and_then(|text| text.parse().ok())
                .expect("an answer's head"),
            head,
            body: String::new(),
            complete: false,
        }
    }

    /// Returns what is received until the gateway closes the connection.
    pub(crate) fn rest(&mut self) -> String {
        while self.read_more() {}
        String::from_utf8_lossy(&std::mem::take(&mut self.buf)).into_owned()
    }

    fn read_sized(&mut self, got: &mut Answer, length: usize) {
        while self.buf.len() < length && self.read_more() {}
        let n = length.min(self.buf.len());
        let body: Vec<u8> = self.buf.drain(..n).collect();
        got.body = String::from_utf8_lossy(&body).into_owned();
        got.complete = n == length;
    }

    fn read_chunked(&mut self, got: &mut Answer) {
        loop {
            let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") else {
                if self.read_more() {
                    continue;
                }
                return;
            };
            let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).unwrap();
            while self.buf.len() < end + size + 4 {
                if !self.read_more() {
                    return;
                }
            }
            let text = &self.buf[end + 2..end + 2 + size];
            got.body.push_str(&String::from_utf8_lossy(text));
            self.buf.drain(..end + size + 4);
            if size == 0 {
                got.complete = true;
                return;
            }
        }
    }
}

/// Encodes a GET request with additional header lines.
pub(crate) fn get_request(path: &str, id: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Id: {id}\r\nX-Key: k1\r\n{headers}\r\n")
}
