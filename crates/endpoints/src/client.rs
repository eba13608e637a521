//! The client that calls endpoints.

use {
    crate::{
        kept::Kept,
        load::{
            self,
            Load, //
        },
        run::Run,
        Call,
        CallError,
        End,
        Event,
        Header, //
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        task::spawn, //
    },
    policy::Outcome,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How many events may wait for the caller.
const EVENTS: usize = 16;

/// How a client deals with connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a connection may take to open.
    pub connect: Duration,
    /// How long a connection is kept without a call.
    pub idle: Duration,
    /// How many connections are kept to one endpoint.
    pub kept: usize,
    /// How often a stream that broke is resumed without any progress between.
    pub resumes: u32,
}

/// Calls endpoints, over connections that it keeps for each of them.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) inner: Arc<Inner>,
}

/// What the calls of a client share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) opts: Options,
    pub(crate) kept: Kept,
}

/// The answer to a call as it comes; dropping it cancels the call.
#[derive(Debug)]
pub struct Answer {
    events: Receiver<Event>,
    ended: bool,
    _held: Sender<()>,
}

/// A whole answer with its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    /// The status, 0 where no answer began.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// What came of the body.
    pub body: Vec<u8>,
    /// The end.
    pub end: End,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(15),
            kept: 128,
            resumes: 3,
        }
    }
}

impl Client {
    /// Makes a client without a connection.
    pub fn new(opts: Options) -> Client {
        let kept = Kept::new(opts.kept, opts.idle);
        Client {
            inner: Arc::new(Inner { opts, kept }),
        }
    }

    /// Starts a call.
    pub fn call(&self, call: Call) -> Answer {
        let (tx, events) = bounded(EVENTS);
        let (held, gone) = bounded(1);
        let run = Run::new(self.inner.clone(), call, tx);
        spawn(run.drive(gone));
        Answer {
            events,
            ended: false,
            _held: held,
        }
    }

    /// Asks an endpoint for its load, which may be late.
    ///
    /// # Errors
    ///
    /// The endpoint gave no report in time, or one that was not understood.
    pub async fn load(&self, addr: SocketAddr, within: Duration) -> Result<Load, CallError> {
        load::ask(addr, Instant::now() + within).await
    }

    /// Closes the kept connections to an endpoint, such as one that has left.
    pub fn forget(&self, addr: SocketAddr) {
        self.inner.kept.forget(addr);
    }
}

impl Answer {
    /// Waits for the next event; none after the end.
    pub async fn next(&mut self) -> Option<Event> {
        if self.ended {
            return None;
        }
        let event = self.events.recv().await.unwrap_or_else(|_| lost());
        self.ended = matches!(event, Event::End(_));
        Some(event)
    }

    /// Waits for the end and returns all that came.
    pub async fn whole(mut self) -> Whole {
        let (mut status, mut headers, mut body) = (0, Vec::new(), Vec::new());
        loop {
            match self.next().await.unwrap_or_else(lost) {
                Event::Head {
                    status: s,
                    headers: h,
                    ..
                } => (status, headers) = (s, h),
                Event::Data { bytes, .. } => body.extend_from_slice(&bytes),
                Event::End(end) => {
                    return Whole {
                        status,
                        headers,
                        body,
                        end,
                    }
                }
            }
        }
    }
}

/// The end of a call whose task ended without one.
fn lost() -> Event {
    Event::End(End {
        outcome: Outcome::MayHaveRun,
        tokens: 0,
        first_token: None,
        token_gap: None,
        cause: Some(CallError::Broken(io::ErrorKind::Other)),
        leaving: false,
        resumed: 0,
    })
}
