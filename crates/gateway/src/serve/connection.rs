//! One caller's connection: request after request, until either side closes it.

use {
    super::{
        admit::{
            admit,
            Request, //
        },
        answer::Own,
        attempts::serve,
        course::Course,
        step::{
            Cut,
            Flow, //
        },
        trail::{
            ended,
            turned_down,
            was_cut, //
        },
    },
    crate::{
        http::{
            Body,
            Conn,
            Framing,
            Head,
            HeadError,
            ReadError, //
        },
        model::{
            Limits,
            RouteKind, //
        },
        state::Shared,
    },
    async_std::{
        channel::Receiver,
        future::timeout, //
    },
    futures_lite::{
        future::or,
        pin, //
    },
    std::{
        sync::{
            atomic::{
                AtomicUsize,
                Ordering, //
            },
            Arc,
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How long the body of a request may take. Its own deadline is not known to be met before.
const BODY_TIME: Duration = Duration::from_secs(15);
/// Part of the instance's memory that bodies may take together.
const BODIES_PART: usize = 6;
/// When to come back where bodies take too much memory.
const BODIES_AGAIN: Duration = Duration::from_millis(500);
/// Part of the connections that an instance may have from which those of refused requests are
/// closed. Their callers try again over new ones, and a flood would leave thousands idle.
const MANY: f64 = 0.25;
/// Part from which idle connections are kept for a quarter of the usual time.
const FULL: f64 = 0.6;
/// How long an answer of our own may take to be written.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// A caller's connection.
pub(crate) struct Connection {
    pub(crate) gw: Arc<Shared>,
    pub(crate) conn: Conn,
    /// Closed when idle connections are to end.
    pub(crate) stop: Receiver<()>,
    /// The last answer says that the connection is closed behind it.
    pub(crate) closes: bool,
}

/// Why no request could be read.
enum Stop {
    /// The caller closed, or was idle for too long, or the instance stops.
    Closed,
    /// The caller is told, then the connection is closed.
    Told(Own),
}

/// A number that is counted up until this is dropped.
struct Count<'a>(&'a AtomicUsize, usize);

impl<'a> Count<'a> {
    fn up(of: &'a AtomicUsize, by: usize) -> Count<'a> {
        of.fetch_add(by, Ordering::Relaxed);
        Count(of, by)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

impl Connection {
    /// Serves requests until the connection ends.
    pub(crate) async fn run(mut self) {
        loop {
            let limits = match self.gw.current_config() {
                Some(force) => force.config.limits,
                None => Limits::default(),
            };
            match self.one(limits).await {
                Ok(true) => {}
                Ok(false) | Err(Stop::Closed) => break,
                Err(Stop::Told(own)) => {
                    self.tell(&own, None).await;
                    break;
                }
            }
        }
        if self.closes {
            let _active = Count::up(&self.gw.active_requests, 1);
            self.conn.close().await;
        }
    }

    /// Serves one request. Returns whether the connection is kept.
    async fn one(&mut self, limits: Limits) -> Result<bool, Stop> {
        let idle = match self.crowd() > FULL {
            true => limits.idle_timeout / 4,
            false => limits.idle_timeout,
        };
        self.first_byte(idle).await?;
        let gw = self.gw.clone();
        let _active = Count::up(&gw.active_requests, 1);
        let head = self.head(&limits).await?;
        let (body, arrived) = self.body(&head, &limits).await?;
        let _held = Count::up(&gw.held_body_bytes, body.len());
        let keep = head.keeps();
        self.closes = !keep;
        let id = head.headers.get(gw.dialect.id).map(str::to_owned);
        let admitted = match gw.rejecting.load(Ordering::Relaxed) {
            true => Err(Own::not_run(
                "this instance is shutting down",
                Duration::ZERO,
            )),
            false => admit(&gw, head, body, arrived),
        };
        let request = match admitted {
            Ok(request) => request,
            Err(own) => {
                let id = id.as_deref();
                turned_down(id, &own);
                let kept = self.tell(&own, id).await;
                return Ok(kept && keep);
            }
        };
        Ok(self.serve(request).await && keep)
    }

    async fn first_byte(&mut self, idle: Duration) -> Result<(), Stop> {
        if !self.conn.held().is_empty() {
            return Ok(());
        }
        let stop = self.stop.clone();
        let stopped = async {
            let _ = stop.recv().await;
            Ok(0)
        };
        match timeout(idle, or(self.conn.fill(), stopped)).await {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(Stop::Closed),
        }
    }

    async fn head(&mut self, limits: &Limits) -> Result<Head, Stop> {
        let read = self.conn.head(limits.head_bytes, Head::request);
        match timeout(limits.head_timeout, read).await {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(ReadError::TooLong(_))) => Err(Stop::Told(
                Own::status(431, "the head is too long").closing(),
            )),
            Ok(Err(e)) => Err(stop(&e)),
            Err(_) => Err(Stop::Told(
                Own::status(408, "the head did not come in time").closing(),
            )),
        }
    }

    /// Reads the body, and tells when it was whole.
    async fn body(&mut self, head: &Head, limits: &Limits) -> Result<(Vec<u8>, Instant), Stop> {
        let framing = Framing::request(head).map_err(|e| stop(&ReadError::Head(e)))?;
        let memory = self.gw.settings.instance.memory_mb as usize * (1 << 20) / BODIES_PART;
        let coming = match framing {
            Framing::Length(n) => usize::try_from(n).unwrap_or(usize::MAX),
            _ => 0,
        };
        if coming > limits.body_bytes {
            return Err(stop(&ReadError::TooLong(limits.body_bytes)));
        }
        if self
            .gw
            .held_body_bytes
            .load(Ordering::Relaxed)
            .saturating_add(coming)
            > memory
        {
            return Err(Stop::Told(
                Own::not_run("this instance is short of memory", BODIES_AGAIN).closing(),
            ));
        }
        if head.headers.lists("expect", "100-continue") {
            let _ = self.conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut body = Body::new(framing);
        let read = body.whole(&mut self.conn, limits.body_bytes);
        match timeout(BODY_TIME, read).await {
            Ok(Ok(body)) => Ok((body, Instant::now())),
            Ok(Err(e)) => Err(stop(&e)),
            Err(_) => Err(Stop::Told(
                Own::status(408, "the body did not come in time").closing(),
            )),
        }
    }

    /// Serves a request. Returns whether the connection can carry another.
    ///
    /// An instance short of processor reads requests late, some of them of callers who gave up
    /// meanwhile. Their end stands behind the request, and is looked for before a replica gets
    /// work that nobody waits for.
    async fn serve(&mut self, req: Request) -> bool {
        let mut course = Course::default();
        if self.conn.is_gone().await {
            ended(&req, &course, true, false);
            return false;
        }
        let mut writer = self.conn.writer();
        let left = req.until.saturating_duration_since(Instant::now());
        let gw = self.gw.clone();
        let (flow, gone) = {
            // Boxed, so that idle connections don't hold its room.
            let work = Box::pin(serve(&gw, &req, &mut writer, &mut course));
            let work = timeout(left, work);
            pin!(work);
            let conn = &mut self.conn;
            let done = or(async { Some(work.as_mut().await) }, async {
                conn.hung_up().await;
                None
            })
            .await;
            match done {
                Some(flow) => (flow, false),
                // What may not be repeated is not broken off: it may be half done.
                None if req.route.kind == RouteKind::Single => (work.await, true),
                None => (Ok(Flow::Cut(Cut::Caller)), true),
            }
        };
        let cut = match &flow {
            Ok(Flow::Cut(cut)) => Some(*cut),
            Err(_) if course.begun => Some(Cut::Time),
            _ => None,
        };
        if let Some(cut) = cut.filter(|_| course.begun && !gone) {
            was_cut(&self.gw, &req, &mut course, cut);
        }
        self.closes |= course.closes;
        let kept = match flow {
            Ok(Flow::Passed) => !gone,
            Ok(Flow::Cut(_)) => false,
            Ok(Flow::Own(own)) => {
                course.status = own.status;
                !gone && self.tell(&own, Some(&req.id)).await
            }
            Err(_) if course.begun => false,
            Err(_) => {
                let own = overdue(&mut course);
                course.status = own.status;
                !gone && self.tell(&own, Some(&req.id)).await
            }
        };
        ended(&req, &course, gone, kept);
        kept && !(course.begun && self.gw.is_leaving())
    }

    /// Returns which part of the connections that the instance may have are open.
    fn crowd(&self) -> f64 {
        let open = self.gw.caller_connections.load(Ordering::Relaxed);
        open as f64 / self.gw.max_connections().max(1) as f64
    }

    /// Writes an answer of our own. Returns whether the connection can carry another request.
    async fn tell(&mut self, own: &Own, id: Option<&str>) -> bool {
        let mut own = own.clone();
        own.close |= self.gw.is_leaving() || self.crowd() > MANY;
        self.closes |= own.close;
        let bytes = own.bytes(&self.gw.dialect, id);
        let written = timeout(WRITE_TIME, self.conn.write(&bytes)).await;
        matches!(written, Ok(Ok(()))) && !own.close
    }
}

fn stop(e: &ReadError) -> Stop {
    Stop::Told(match e {
        ReadError::Closed | ReadError::Broken(_) => return Stop::Closed,
        ReadError::Head(HeadError::TooMany) => {
            Own::status(431, "the head has too many headers").closing()
        }
        ReadError::Head(_) | ReadError::Body(_) => {
            Own::status(400, "this can't be read as one HTTP/1.1 request").closing()
        }
        ReadError::TooLong(_) => Own::status(413, "the request is too long").closing(),
    })
}

/// The answer to a request whose time is over.
fn overdue(course: &mut Course) -> Own {
    course.cause = "its time is over".to_owned();
    match course.reached_any() {
        true => Own::status(504, "no replica answered in time"),
        false => Own::not_run("no replica could be reached in time", Duration::ZERO),
    }
}
