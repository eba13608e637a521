//! The engine's server: admission, streams, resume and cancel.

use {
    super::{
        batch::{
            Batch,
            Busy,
            Load, //
        },
        generation::Generation,
        text::event, //
    },
    crate::wire::{
        listen,
        Ask,
        Conn,
        Fault,
        Faults,
        Running, //
    },
    async_std::{
        channel::Receiver,
        task::{
            sleep,
            spawn, //
        },
    },
    futures_lite::future::or,
    std::{
        collections::{
            BTreeMap,
            HashMap, //
        },
        io,
        net::SocketAddr,
        sync::{
            Arc,
            Mutex, //
        },
        time::Duration, //
    },
};

/// How long the text of an ended request can still be resumed.
const REMEMBER: Duration = Duration::from_secs(10);

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct Opts {
    /// Address to listen on; port 0 selects a free one.
    pub addr: SocketAddr,
    /// Requests that run at full speed together.
    pub capacity: u32,
    /// Time to the first token of a request that runs alone.
    pub first: Duration,
    /// Time between its tokens.
    pub gap: Duration,
    /// How long the generation continues after the connection was lost.
    pub linger: Duration,
    /// How much the load report may lag.
    pub lag: Duration,
    /// Whether the head of a stream comes only with its first token.
    pub late: bool,
}

/// An engine that runs until this is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its address.
    pub addr: SocketAddr,
    /// Its faults.
    pub faults: Faults,
    state: Arc<State>,
    running: Running,
}

/// What the connections of an engine share. Locks: `texts` before `batch`.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) opts: Opts,
    pub(crate) faults: Faults,
    pub(crate) texts: Mutex<HashMap<String, Arc<Generation>>>,
    pub(crate) batch: Arc<Mutex<Batch>>,
}

impl Default for Opts {
    fn default() -> Opts {
        Opts {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: 8,
            first: Duration::from_millis(20),
            gap: Duration::from_millis(5),
            linger: Duration::from_secs(3),
            lag: Duration::from_millis(200),
            late: false,
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
        self.state.batch.lock().unwrap().runs.clone()
    }

    /// Returns the utilization up to now.
    pub fn busy(&self) -> Busy {
        self.state.batch.lock().unwrap().busy()
    }

    /// Returns the load as it is.
    pub fn load(&self) -> Load {
        self.state.batch.lock().unwrap().load(Duration::ZERO)
    }

    /// Slows everything down by a factor.
    pub fn slow(&self, factor: f64) {
        self.state.batch.lock().unwrap().slow = factor;
    }

    /// Rejects new requests from now on, or accepts them again.
    pub fn leave(&self, leaving: bool) {
        self.state.batch.lock().unwrap().leaving = leaving;
    }
}

/// Starts an engine.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(opts: Opts) -> io::Result<Handle> {
    let faults = Faults::default();
    let state = Arc::new(State {
        batch: Arc::new(Mutex::new(Batch::new(opts.capacity))),
        faults: faults.clone(),
        texts: Mutex::default(),
        opts: opts.clone(),
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

impl State {
    async fn serve(
        self: &Arc<Self>,
        conn: Conn,
        ask: Ask,
        fault: Option<Fault>,
    ) -> io::Result<bool> {
        if !ask.path.starts_with("/v1/chat/completions") {
            return self.control(&conn, &ask).await;
        }
        if fault == Some(Fault::Refuse) {
            conn.refuse(&ask.id).await?;
            return Ok(true);
        }
        if fault == Some(Fault::Ignored) {
            conn.gone().await;
            return Ok(false);
        }
        let headers = [("x-request-id", ask.id.as_str())];
        let Some(text) = self.admit(&ask) else {
            return self.refuse(&conn, &ask).await;
        };
        match fault {
            Some(Fault::ResetUnanswered) => {
                conn.reset();
                return Ok(false);
            }
            Some(Fault::Silent) => {
                conn.gone().await;
                return Ok(false);
            }
            Some(Fault::Fail) => {
                text.stop();
                conn.answer(500, &headers, b"failed\n").await?;
                return Ok(true);
            }
            Some(Fault::Delay { ms }) => sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        let rx = text.listen();
        let sent = or(self.stream(&conn, &ask, &text, &rx, fault), async {
            conn.gone().await;
            Ok(false)
        })
        .await;
        text.leave(&rx);
        sent
    }

    /// Finds the text to resume, or starts a new one; none if the request is rejected.
    fn admit(self: &Arc<Self>, ask: &Ask) -> Option<Arc<Generation>> {
        let mut texts = self.texts.lock().unwrap();
        if ask.resume.is_some() {
            return texts.get(&ask.id).cloned();
        }
        let mut batch = self.batch.lock().unwrap();
        if batch.leaving {
            return None;
        }
        // Counted before the answer, so that a test sees the run even if the caller gets nothing.
        batch.enter(&ask.id);
        let text = Arc::new(Generation::new(&ask.id, &ask.body));
        texts.insert(ask.id.clone(), text.clone());
        let (state, made) = (self.clone(), text.clone());
        spawn(async move {
            made.produce(&state.opts, &state.batch).await;
            sleep(REMEMBER).await;
            state.forget(&made);
        });
        Some(text)
    }

    fn forget(&self, text: &Arc<Generation>) {
        let mut texts = self.texts.lock().unwrap();
        if texts.get(&text.id).is_some_and(|t| Arc::ptr_eq(t, text)) {
            texts.remove(&text.id);
        }
    }

    async fn refuse(&self, conn: &Conn, ask: &Ask) -> io::Result<bool> {
        let id = ("x-request-id", ask.id.as_str());
        if ask.resume.is_some() {
            conn.answer(410, &[id], b"no such text to resume\n").await?;
        } else {
            conn.answer(503, &[id, ("x-leaving", "1")], b"leaving\n")
                .await?;
        }
        Ok(true)
    }

    async fn stream(
        &self,
        conn: &Conn,
        ask: &Ask,
        text: &Generation,
        rx: &Receiver<()>,
        fault: Option<Fault>,
    ) -> io::Result<bool> {
        let other = format!("{}-other", ask.id);
        let id = if fault == Some(Fault::WrongId) {
            &other
        } else {
            &ask.id
        };
        let first = ask.resume.unwrap_or(0);
        let from = first.to_string();
        let mut headers = vec![("content-type", "text/event-stream"), ("x-resumable", "1")];
        if ask.resume.is_some() {
            headers.push(("x-resume-from", &from));
        }
        if self.batch.lock().unwrap().leaving {
            headers.push(("x-leaving", "1"));
        }
        if fault != Some(Fault::NoId) {
            headers.push(("x-request-id", id));
        }
        while self.opts.late && text.state().0 <= first {
            if text.state().1 || rx.recv().await.is_err() {
                return Ok(false);
            }
        }
        conn.start(200, &headers).await?;
        if fault == Some(Fault::ResetAfterHead) {
            conn.reset();
            return Ok(false);
        }
        let mut next = match fault {
            Some(Fault::Overlap { by }) => first.saturating_sub(by),
            Some(Fault::Skip { by }) if ask.resume.is_some() => first + by,
            _ => first,
        };
        while next < text.of {
            let (made, stopped) = text.state();
            if next >= made {
                if stopped || rx.recv().await.is_err() {
                    return Ok(false);
                }
                continue;
            }
            match fault {
                Some(Fault::Cut { after }) if next >= first + after => {
                    return self.cut(conn, text, next).await;
                }
                Some(Fault::SilentAfter { after }) if next >= first + after => {
                    conn.gone().await;
                    return Ok(false);
                }
                _ => {}
            }
            let event = event(id, text.seed, next, text.of);
            conn.chunk(event.as_bytes()).await?;
            next += 1;
        }
        conn.chunk(b"data: [DONE]\n\n").await?;
        conn.chunk(b"").await?;
        Ok(true)
    }

    /// Ends the connection in the middle of an event.
    async fn cut(&self, conn: &Conn, text: &Generation, next: u32) -> io::Result<bool> {
        let event = event(&text.id, text.seed, next, text.of);
        conn.chunk(&event.as_bytes()[..event.len() / 2]).await?;
        Ok(false)
    }
}
