//! Blocking HTTP/1.1, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The three words of the first line.
    pub line: [String; 3],
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.line[0]
    }

    pub fn target(&self) -> &str {
        &self.line[1]
    }

    pub fn status(&self) -> u16 {
        self.line[1].parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Conn {
    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(timeout))?;
        Conn::new(stream)
    }

    pub fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn {
            stream,
            buf: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; false at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    }

    /// Reads the next head; none if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return parse_head(&text).map(Some);
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(invalid("the connection ended within a head")),
                };
            }
        }
    }

    /// Reads `n` bytes.
    pub fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body that has a length or chunks into `body`, which keeps what arrived if it breaks
    /// off.
    pub fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if !head.is_chunked() {
            let n = head.length().unwrap_or(0);
            while self.buf.len() < n {
                if !self.fill()? {
                    body.append(&mut self.buf);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend(self.buf.drain(..n));
            return Ok(());
        }
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk size"))?;
            let part = self.read_exact(size + 2)?;
            if !part.ends_with(b"\r\n") {
                return Err(invalid("a chunk is longer than its size"));
            }
            body.extend_from_slice(&part[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

fn parse_head(text: &str) -> io::Result<Head> {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.splitn(3, ' ').map(str::to_owned);
    let line = [(); 3].map(|()| words.next().unwrap_or_default());
    let is_answer = line[0].starts_with("HTTP/1.");
    if !is_answer && !line[2].starts_with("HTTP/1.") {
        return Err(invalid(&format!("no first line of a message: {first:?}")));
    }
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Head { line, headers })
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own, with a handler that returns whether the
/// connection is kept.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Head, &[u8], &mut Conn) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let Ok(mut conn) = Conn::new(stream) else {
                    return;
                };
                let _ = serve_conn(&mut conn, &*handler);
            });
        }
    });
}

fn serve_conn<F>(conn: &mut Conn, handler: &F) -> io::Result<()>
where
    F: Fn(&Head, &[u8], &mut Conn) -> io::Result<bool>,
{
    while let Some(head) = conn.read_head()? {
        let mut body = Vec::new();
        conn.read_body(&head, &mut body)?;
        if !handler(&head, &body, conn)? {
            break;
        }
    }
    Ok(())
}
