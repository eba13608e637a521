//! The plain service and its answers.

use {
    crate::wire::{
        head,
        listen,
        whole,
        Ask,
        Conn,
        Fault,
        FaultOrder,
        Faults,
        Running, //
    },
    async_std::task::sleep,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            atomic::{
                AtomicBool,
                AtomicU32,
                AtomicU64,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        time::Duration, //
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How a plain service behaves.
#[derive(Debug, Clone)]
pub struct Opts {
    /// Address to listen on; port 0 selects a free one.
    pub addr: SocketAddr,
    /// How long a request takes.
    pub work: Duration,
}

/// A plain service that runs until this is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its address.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Faults,
    state: Arc<State>,
    running: Running,
}

#[derive(Debug)]
struct State {
    work: Duration,
    faults: Faults,
    leaving: AtomicBool,
    turned_away: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
    strays: AtomicU32,
}

impl Default for Opts {
    fn default() -> Opts {
        Opts {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            work: Duration::ZERO,
        }
    }
}

impl Handle {
    /// Returns how many connections were opened to it.
    pub fn connections(&self) -> u64 {
        self.running.connections()
    }

    /// Returns how many connections are open to it.
    pub fn open(&self) -> usize {
        self.running.open()
    }

    /// Returns how often each request id ran.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Returns how many answers it sent that nobody asked for.
    pub fn strays(&self) -> u32 {
        self.state.strays.load(Ordering::SeqCst)
    }

    /// Returns how many requests came while it was leaving.
    pub fn turned_away(&self) -> u64 {
        self.state.turned_away.load(Ordering::SeqCst)
    }

    /// Rejects new requests from now on, or accepts them again.
    pub fn leave(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }
}

/// Starts a plain service.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(opts: Opts) -> io::Result<Handle> {
    let faults = Faults::default();
    let state = Arc::new(State {
        work: opts.work,
        faults: faults.clone(),
        leaving: AtomicBool::new(false),
        turned_away: AtomicU64::new(0),
        runs: Mutex::default(),
        strays: AtomicU32::new(0),
    });
    let shared = state.clone();
    let running = listen(opts.addr, faults.clone(), move |conn, ask, fault| {
        let state = shared.clone();
        async move { state.serve(conn, ask, fault).await }
    })
    .await?;
    Ok(Handle {
        addr: running.addr,
        faults,
        state,
        running,
    })
}

/// Returns the right answer to a request.
///
/// # Examples
///
/// ```
/// let a = standins::plain::answer("POST", "/records", b"renewal 7");
/// assert!(a.starts_with("POST /records 9 "));
/// ```
pub fn answer(method: &str, path: &str, body: &[u8]) -> String {
    format!("{method} {path} {} {:016x}\n", body.len(), xxh3_64(body))
}

impl State {
    async fn serve(&self, conn: Conn, ask: Ask, fault: Option<Fault>) -> io::Result<bool> {
        if ask.path.starts_with("/admin/") {
            return self.admin(&conn, &ask).await;
        }
        if self.leaving.load(Ordering::SeqCst) {
            self.turned_away.fetch_add(1, Ordering::SeqCst);
            let headers = [("x-request-id", ask.id.as_str()), ("x-leaving", "1")];
            conn.answer(503, &headers, b"leaving\n").await?;
            return Ok(true);
        }
        if fault == Some(Fault::Refuse) {
            conn.refuse(&ask.id).await?;
            return Ok(true);
        }
        if fault == Some(Fault::Ignored) {
            return silence(&conn).await;
        }
        *self.runs.lock().unwrap().entry(ask.id.clone()).or_default() += 1;
        sleep(self.work).await;
        let text = answer(ask.method.as_ref(), &ask.path, &ask.body);
        reply(&conn, &ask.id, text.as_bytes(), fault, &self.strays).await
    }

    async fn admin(&self, conn: &Conn, ask: &Ask) -> io::Result<bool> {
        let (status, text) = match ask.path.as_str() {
            "/admin/runs" => (200, serde_json::to_string(&*self.runs.lock().unwrap())?),
            "/admin/leave" => {
                self.leaving.store(true, Ordering::SeqCst);
                (200, "{}".to_owned())
            }
            "/admin/fault" => match serde_json::from_slice::<FaultOrder>(&ask.body) {
                Ok(order) => {
                    self.faults.order(order.fault, order.count);
                    (200, "{}".to_owned())
                }
                Err(e) => (400, e.to_string()),
            },
            _ => (404, String::new()),
        };
        let headers = [("x-request-id", ask.id.as_str())];
        conn.answer(status, &headers, text.as_bytes()).await?;
        Ok(true)
    }
}

async fn reply(
    conn: &Conn,
    id: &str,
    text: &[u8],
    fault: Option<Fault>,
    strays: &AtomicU32,
) -> io::Result<bool> {
    let headers = [("x-request-id", id), ("content-type", "text/plain")];
    match fault {
        Some(Fault::ResetUnanswered) => {
            conn.reset();
            return Ok(false);
        }
        Some(Fault::Silent) => return silence(conn).await,
        Some(Fault::ResetAfterHead) => {
            part(conn, &headers, text, 0).await?;
            conn.reset();
            return Ok(false);
        }
        Some(Fault::Cut { after }) => {
            part(conn, &headers, text, after).await?;
            return Ok(false);
        }
        Some(Fault::SilentAfter { after }) => {
            part(conn, &headers, text, after).await?;
            return silence(conn).await;
        }
        Some(Fault::WrongId) => conn.send(&foreign(id)).await?,
        Some(Fault::NoId) => conn.answer(200, &[], text).await?,
        Some(Fault::Fail) => conn.answer(500, &headers, b"failed\n").await?,
        Some(Fault::Twice) => {
            let mut both = whole(200, &headers, text);
            both.extend(foreign(id));
            conn.send(&both).await?;
        }
        Some(Fault::Stray { ms }) => {
            conn.answer(200, &headers, text).await?;
            sleep(Duration::from_millis(ms)).await;
            conn.send(&foreign(id)).await?;
            strays.fetch_add(1, Ordering::SeqCst);
        }
        Some(Fault::Delay { ms }) => {
            sleep(Duration::from_millis(ms)).await;
            conn.answer(200, &headers, text).await?;
        }
        None | Some(_) => {
            conn.answer(200, &headers, text).await?;
        }
    }
    Ok(true)
}

/// Returns the whole answer to another request.
fn foreign(id: &str) -> Vec<u8> {
    let other = format!("{id}-other");
    whole(200, &[("x-request-id", &other)], b"of another\n")
}

/// Sends the head and the first bytes of an answer.
async fn part(conn: &Conn, headers: &[(&str, &str)], text: &[u8], after: u32) -> io::Result<()> {
    let len = text.len().to_string();
    let mut all = headers.to_vec();
    all.push(("content-length", &len));
    let mut buf = head(200, &all);
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(&text[..text.len().min(after as usize)]);
    conn.send(&buf).await
}

/// Keeps the connection open and says nothing until the caller closes it.
async fn silence(conn: &Conn) -> io::Result<bool> {
    conn.gone().await;
    Ok(false)
}
