//! Many clients at once.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::Duration, //
};

/// Threads that a crowd sends from.
const THREADS: usize = 64;
/// How long a client tries to send more to a router that reads nothing.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a crowd stays after it has sent everything.
const STAY: Duration = Duration::from_millis(1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);

/// What clients of a kind send.
#[derive(Debug, Clone)]
pub(crate) struct Script {
    /// Sent first, by all clients one after the other.
    pub(crate) head: Vec<u8>,
    /// Sent by all clients in turn, as often as `times` says.
    pub(crate) piece: Vec<u8>,
    pub(crate) times: usize,
    /// Pause of all clients before each piece.
    pub(crate) pause: Duration,
}

/// A client of a crowd.
#[derive(Debug)]
struct Client {
    stream: TcpStream,
    /// The router closed the connection, or reads nothing.
    stopped: bool,
}

/// Clients that stay connected until this is dropped, whether the router still reads or not.
#[derive(Debug)]
pub(crate) struct Crowd(#[expect(dead_code, reason = "keeps connections open")] Vec<Client>);

impl Client {
    fn open(addr: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
        stream.set_read_timeout(Some(SEND_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client {
            stream,
            stopped: false,
        })
    }

    fn send(&mut self, bytes: &[u8]) {
        if !self.stopped {
            self.stopped = self.stream.write_all(bytes).is_err();
        }
    }
}

impl Crowd {
    /// Connects clients that send a script, and returns when all have sent it.
    pub(crate) fn send(addr: SocketAddr, count: usize, script: &Script) -> Crowd {
        let threads = THREADS.min(count);
        let clients = thread::scope(|scope| {
            let parts = (0..threads).map(|n| {
                let count = count / threads + usize::from(n < count % threads);
                scope.spawn(move || run(addr, count, script))
            });
            let parts: Vec<_> = parts.collect();
            let clients = parts.into_iter().flat_map(|part| part.join().unwrap());
            clients.collect()
        });
        Crowd(clients)
    }

    /// Waits while the clients do nothing.
    pub(crate) fn stay(&self) {
        thread::sleep(STAY);
    }
}

fn run(addr: SocketAddr, count: usize, script: &Script) -> Vec<Client> {
    let clients = (0..count).filter_map(|_| {
        let mut client = Client::open(addr)?;
        client.send(&script.head);
        Some(client)
    });
    let mut clients: Vec<Client> = clients.collect();
    for _ in 0..script.times {
        thread::sleep(script.pause);
        for client in &mut clients {
            client.send(&script.piece);
        }
    }
    clients
}

/// Sends all bytes before it reads, and returns the first line of the answer.
pub(crate) fn send_all_then_read(addr: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    let _ = stream.write_all(bytes);
    let mut answer = [0; 512];
    let n = stream.read(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer[..n]).into_owned();
    text.lines().next().map(str::to_owned)
}
