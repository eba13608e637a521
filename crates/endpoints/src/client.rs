//! The client that calls endpoints.

use {
    crate::{
        load::{
            self,
            Load, //
        },
        pool::ConnectionPool,
        run::CallTask,
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

/// How many events are buffered for the caller.
const EVENT_BUFFER: usize = 16;

/// Limits of a client's connections and resumes.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// How many idle connections are kept per endpoint.
    pub max_idle: usize,
    /// How often a broken stream is resumed without progress in between.
    pub max_resumes: u32,
}

/// Calls endpoints, with a connection pool for each.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) inner: Arc<Inner>,
}

/// State that the calls of a client share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) opts: Options,
    pub(crate) pool: ConnectionPool,
}

/// The answer to a call as it arrives; dropping it cancels the call.
#[derive(Debug)]
pub struct Answer {
    events: Receiver<Event>,
    ended: bool,
    _cancel_on_drop: Sender<()>,
}

/// A collected answer and how it ended.
#[derive(Debug, Clone, PartialEq)]
pub struct CompleteAnswer {
    /// The status, or 0 if no answer began.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// How the call ended.
    pub end: End,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(15),
            max_idle: 128,
            max_resumes: 3,
        }
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(opts: Options) -> Client {
        let pool = ConnectionPool::new(opts.max_idle, opts.idle_timeout);
        Client {
            inner: Arc::new(Inner { opts, pool }),
        }
    }

    /// Starts a call.
    pub fn call(&self, call: Call) -> Answer {
        let (tx, events) = bounded(EVENT_BUFFER);
        let (cancel_on_drop, cancelled) = bounded(1);
        let task = CallTask::new(self.inner.clone(), call, tx);
        spawn(task.run(cancelled));
        Answer {
            events,
            ended: false,
            _cancel_on_drop: cancel_on_drop,
        }
    }

    /// Fetches the load report of an endpoint; the figures may be out of date.
    ///
    /// # Errors
    ///
    /// The endpoint sent no report in time, or an invalid one.
    pub async fn load(&self, addr: SocketAddr, timeout: Duration) -> Result<Load, CallError> {
        load::fetch_report(addr, Instant::now() + timeout).await
    }

    /// Closes the idle connections to an endpoint, such as one that has left.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.inner.pool.close_idle(addr);
    }
}

impl Answer {
    /// Waits for the next event; none after the end.
    pub async fn next(&mut self) -> Option<Event> {
        if self.ended {
            return None;
        }
        let event = self
            .events
            .recv()
            .await
            .unwrap_or_else(|_| task_lost_event());
        self.ended = matches!(event, Event::End(_));
        Some(event)
    }

    /// Waits for the end and returns all that was received.
    pub async fn read_all(mut self) -> CompleteAnswer {
        let (mut status, mut headers, mut body) = (0, Vec::new(), Vec::new());
        loop {
            match self.next().await.unwrap_or_else(task_lost_event) {
                Event::Head {
                    status: s,
                    headers: h,
                    ..
                } => (status, headers) = (s, h),
                Event::Data { bytes, .. } => body.extend_from_slice(&bytes),
                Event::End(end) => {
                    return CompleteAnswer {
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

/// Returns the end event of a call whose task ended without sending one.
fn task_lost_event() -> Event {
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
