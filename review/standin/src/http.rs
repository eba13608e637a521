//! Blocking HTTP/1.1 for clients, servers and the store.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How long a client waits for a channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits for bytes, longer than any time budget.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body was read up to where its framing ends it.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.word(1)
    }

    fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        let value = self.header("connection").unwrap_or_default();
        value.to_ascii_lowercase().contains("close")
    }
}

/// A channel, and the bytes that were read ahead.
#[derive(Debug)]
pub struct Channel {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// Answers that came on it so far.
    pub answered: u32,
}

impl Channel {
    pub fn open(addr: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Channel::new(stream)
    }

    pub fn new(stream: TcpStream) -> io::Result<Channel> {
        stream.set_nodelay(true)?;
        Ok(Channel {
            stream,
            buf: Vec::new(),
            answered: 0,
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false)?;
        Ok(message)
    }

    /// Reads an answer. One that breaks off is returned with `complete` unset.
    pub fn read_answer(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let _ = self.read_body(&mut message, true);
        self.answered += 1;
        Ok(message)
    }

    fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            match self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(at) => break at,
                None => self.read_more()?,
            }
        };
        let head: Vec<u8> = self.buf.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head);
        let mut lines = head.trim_end().split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Message {
            line,
            headers: headers.collect(),
            ..Message::default()
        })
    }

    fn read_body(&mut self, message: &mut Message, answer: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let part = self.take(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&part[..size]);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        } else if answer {
            while self.read_more().is_ok() {}
            message.body = std::mem::take(&mut self.buf);
        }
        message.complete = true;
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.read_more()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.read_more()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut part = [0; 65_536];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }
}

/// Encodes a message with a body of known length.
pub fn message(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut bytes = head(line, headers);
    bytes.truncate(bytes.len() - 2);
    bytes.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a head.
pub fn head(line: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.into_bytes()
}
