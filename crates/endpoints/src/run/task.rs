//! The task of one call.

use {
    super::progress::Progress,
    crate::{
        body::Reply,
        client::Inner,
        conn::{
            until,
            Conn, //
        },
        load,
        names,
        request,
        Call,
        CallError,
        End,
        Event,
        Kind, //
    },
    async_std::{
        channel::{
            Receiver,
            Sender, //
        },
        task::{
            sleep,
            spawn, //
        },
    },
    futures_lite::future::or,
    http_types::Method,
    policy::{
        Outcome,
        Span, //
    },
    std::{
        future::Future,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Pause before a stream is resumed again, for each try without progress.
const PAUSE: Duration = Duration::from_millis(20);

/// One call under way.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) inner: Arc<Inner>,
    pub(crate) call: Call,
    pub(crate) state: Progress,
    events: Sender<Event>,
}

/// How a try begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    /// With the whole request, over a kept connection where there is one.
    Kept,
    /// With the whole request, over a new connection.
    New,
    /// From the last token, over a new connection.
    Resume,
}

impl Run {
    pub(crate) fn new(inner: Arc<Inner>, call: Call, events: Sender<Event>) -> Run {
        Run {
            inner,
            call,
            state: Progress::new(),
            events,
        }
    }

    /// Runs the call to its end, or until the caller drops its answer.
    pub(crate) async fn drive(mut self, gone: Receiver<()>) {
        let ended = or(async { Some(self.tries().await) }, async {
            let _ = gone.recv().await;
            None
        })
        .await;
        let left = ended
            .as_ref()
            .is_none_or(|e| e.outcome == Outcome::MayHaveRun);
        if left && self.call.kind == Kind::Stream && (self.state.wrote || self.state.spent) {
            spawn(load::cancel(self.call.replica, self.call.id.clone()));
        }
        let Some(end) = ended else {
            metrics::counter!("chervilwind_endpoints_hang_ups").increment(1);
            return;
        };
        if let Some(cause) = &end.cause {
            log::debug!(
                "endpoints: call {} at {} ended {}: {cause}",
                self.call.id,
                self.call.replica,
                end.outcome
            );
        }
        metrics::counter!("chervilwind_endpoints_calls", "outcome" => end.outcome.to_string())
            .increment(1);
        let _ = self.events.send(Event::End(end)).await;
    }

    async fn tries(&mut self) -> End {
        let mut start = if self.call.idempotent {
            Start::Kept
        } else {
            Start::New
        };
        loop {
            let cause = match self.attempt(&mut start).await {
                Ok(end) => return end,
                Err(cause) => cause,
            };
            if matches!(cause, CallError::Silent(_)) {
                self.inner.kept.forget(self.call.replica);
                self.state.alive |= start == Start::Resume && self.responds().await;
            }
            match self.again(start, &cause) {
                Some(next) => start = next,
                None => return self.state.end(Some(cause)),
            }
            self.state.spent |= self.state.wrote;
            self.state.wrote = false;
            sleep(PAUSE * self.state.failures.saturating_sub(1)).await;
        }
    }

    /// Makes one try; `start` is lowered to `New` where no kept connection was there.
    async fn attempt(&mut self, start: &mut Start) -> Result<End, CallError> {
        self.state.alive = false;
        let from = (*start == Start::Resume).then_some(self.state.tokens);
        let bytes = request::bytes(&self.call, from).await?;
        let mut conn = self.connect(start).await?;
        self.send(&mut conn, &bytes).await?;
        let bodiless = self.call.method == Method::Head;
        let reply = self.wait(conn.reply(bodiless)).await?;
        self.check(&reply)?;
        self.state.leaving |= reply.header(names::LEAVING).is_some();
        if reply.refused() && from.is_none() {
            return Ok(self.state.end(Some(CallError::NotAdmitted)));
        }
        self.state.resumable |= reply.header(names::RESUMABLE).is_some();
        match (reply.streams(), from) {
            (true, _) => self.stream(reply, from).await,
            (false, None) => self.plain(reply).await,
            (false, Some(_)) if reply.status < 500 => Err(CallError::Unresumable),
            (false, Some(_)) => Err(CallError::NotResumed(reply.status)),
        }
    }

    /// Writes a request, and notes as soon as one byte of it is out.
    async fn send(&mut self, conn: &mut Conn, bytes: &[u8]) -> Result<(), CallError> {
        let mut left = bytes;
        while !left.is_empty() {
            let n = self.wait(conn.write(left)).await?;
            self.state.wrote = true;
            left = &left[n..];
        }
        Ok(())
    }

    async fn connect(&self, start: &mut Start) -> Result<Conn, CallError> {
        if *start == Start::Kept {
            if let Some(conn) = self.inner.kept.take(self.call.replica).await {
                return Ok(conn);
            }
            *start = Start::New;
        }
        let limit = Instant::now() + self.inner.opts.connect;
        Conn::open(self.call.replica, limit.min(self.call.deadline)).await
    }

    /// Refuses an answer that is not that of this call.
    fn check(&self, reply: &Reply) -> Result<(), CallError> {
        match reply.header(names::ID) {
            Some(id) if id == self.call.id.as_str() => Ok(()),
            Some(id) => {
                metrics::counter!("chervilwind_endpoints_foreign").increment(1);
                Err(CallError::Foreign(id.to_owned()))
            }
            None => Err(CallError::Nameless),
        }
    }

    /// Decides whether and how a call that failed is tried again.
    fn again(&mut self, start: Start, cause: &CallError) -> Option<Start> {
        if Instant::now() >= self.call.deadline || matches!(cause, CallError::Request(_)) {
            return None;
        }
        let wrote = self.state.wrote || self.state.spent;
        let idempotent = self.call.idempotent;
        if self.call.kind == Kind::Plain || !wrote {
            // A kept connection may have been closed, or gone silent, since its last call.
            // It shows as a call that breaks before its answer begins. Only an idempotent
            // call uses one, so it may go again over a new connection.
            let stale = start == Start::Kept && !self.state.head;
            return stale.then_some(Start::New);
        }
        if *cause == CallError::Unresumable {
            let unseen = idempotent && self.state.tokens == 0 && !self.state.renewed;
            self.state.renewed = true;
            return unseen.then_some(Start::New);
        }
        let slow = self.state.alive && matches!(cause, CallError::Silent(_));
        self.state.failures += u32::from(!slow);
        let may = idempotent || self.state.resumable;
        if !may || self.state.spent_all(self.inner.opts.resumes) {
            return None;
        }
        self.state.resumed += 1;
        metrics::counter!("chervilwind_endpoints_resumes").increment(1);
        Some(Start::Resume)
    }

    /// Returns whether the endpoint reports its load.
    ///
    /// Some engines send no head before the first token. Under load such an engine looks
    /// as if it had died with every new connection; given up, its work would be lost.
    async fn responds(&self) -> bool {
        let limit = Instant::now() + self.call.silence_timeout;
        let report = load::ask(self.call.replica, limit.min(self.call.deadline));
        report.await.is_ok()
    }

    /// Passes an event to the caller, who may take it slowly until the deadline.
    pub(crate) async fn pass(&self, event: Event) -> Result<(), CallError> {
        let sent = until(self.call.deadline, self.events.send(event)).await;
        sent.map(|_| ()).ok_or(CallError::Deadline)
    }

    /// Passes the head to the caller, once.
    pub(crate) async fn pass_head(&mut self, reply: &Reply) -> Result<(), CallError> {
        if self.state.head {
            return Ok(());
        }
        self.state.head = true;
        self.pass(Event::Head {
            status: reply.status,
            headers: reply.headers.clone(),
            length: reply.length,
        })
        .await
    }

    /// Waits for the endpoint until it counts as silent.
    pub(crate) async fn wait<T>(
        &mut self,
        work: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        match until(self.bound(), work).await {
            Some(done) => done,
            None => Err(self.overdue()),
        }
    }

    fn bound(&self) -> Instant {
        let silent = Instant::now() + self.state.patience(self.call.silence_timeout);
        silent.min(self.call.deadline)
    }

    fn overdue(&mut self) -> CallError {
        if Instant::now() >= self.call.deadline {
            return CallError::Deadline;
        }
        let waited = self.state.patience(self.call.silence_timeout);
        self.state.silences += 1;
        CallError::Silent(Span::from(waited))
    }
}
