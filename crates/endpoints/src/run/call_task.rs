//! The task that runs a call.

use {
    super::progress::Progress,
    crate::{
        body::Reply,
        client::Inner,
        conn::{
            with_deadline,
            Conn, //
        },
        header_names,
        load,
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

/// Delay before a further attempt, for each earlier one without progress.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A call in progress.
#[derive(Debug)]
pub(crate) struct CallTask {
    pub(crate) inner: Arc<Inner>,
    pub(crate) call: Call,
    pub(crate) progress: Progress,
    events: Sender<Event>,
}

/// How an attempt starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    /// With the complete request, over a pooled connection if there is one.
    Pooled,
    /// With the complete request, over a new connection.
    New,
    /// From the last token, over a new connection.
    Resume,
}

impl CallTask {
    pub(crate) fn new(inner: Arc<Inner>, call: Call, events: Sender<Event>) -> CallTask {
        CallTask {
            inner,
            call,
            progress: Progress::new(),
            events,
        }
    }

    /// Runs the call to its end, or until the caller drops its answer.
    pub(crate) async fn run(mut self, cancelled: Receiver<()>) {
        let ended = or(async { Some(self.run_attempts().await) }, async {
            let _ = cancelled.recv().await;
            None
        })
        .await;
        let may_still_run = ended
            .as_ref()
            .is_none_or(|e| e.outcome == Outcome::MayHaveRun);
        if may_still_run
            && self.call.kind == Kind::Stream
            && (self.progress.wrote || self.progress.wrote_before)
        {
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

    async fn run_attempts(&mut self) -> End {
        let mut start = if self.call.idempotent {
            Start::Pooled
        } else {
            Start::New
        };
        loop {
            let cause = match self.attempt(&mut start).await {
                Ok(end) => return end,
                Err(cause) => cause,
            };
            if matches!(cause, CallError::Silent(_)) {
                self.inner.pool.close_idle(self.call.replica);
                self.progress.responsive |= start == Start::Resume && self.is_responsive().await;
            }
            match self.plan_retry(start, &cause) {
                Some(next) => start = next,
                None => return self.progress.end(Some(cause)),
            }
            self.progress.wrote_before |= self.progress.wrote;
            self.progress.wrote = false;
            sleep(RETRY_DELAY * self.progress.failures.saturating_sub(1)).await;
        }
    }

    /// Makes one attempt; sets `start` to `New` if the pool had no connection.
    async fn attempt(&mut self, start: &mut Start) -> Result<End, CallError> {
        self.progress.responsive = false;
        let from = (*start == Start::Resume).then_some(self.progress.tokens);
        let bytes = request::encode(&self.call, from).await?;
        let mut conn = self.connect(start).await?;
        self.send_request(&mut conn, &bytes).await?;
        let bodiless = self.call.method == Method::Head;
        let reply = self.wait(conn.read_reply(bodiless)).await?;
        self.check_id(&reply)?;
        self.progress.leaving |= reply.header(header_names::LEAVING).is_some();
        if reply.is_rejection() && from.is_none() {
            return Ok(self.progress.end(Some(CallError::NotAdmitted)));
        }
        if reply.claims_not_run() && from.is_none() {
            return Ok(self.progress.end(Some(CallError::Status(reply.status))));
        }
        self.progress.resumable |= reply.header(header_names::RESUMABLE).is_some();
        match (reply.is_event_stream(), from) {
            (true, _) => self.forward_stream(reply, from).await,
            (false, None) => self.forward_plain(reply).await,
            (false, Some(_)) if reply.status < 500 => Err(CallError::Unresumable),
            (false, Some(_)) => Err(CallError::ResumeFailed(reply.status)),
        }
    }

    /// Writes a request, and records when its first byte has been written.
    async fn send_request(&mut self, conn: &mut Conn, bytes: &[u8]) -> Result<(), CallError> {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let n = self.wait(conn.write(remaining)).await?;
            self.progress.wrote = true;
            remaining = &remaining[n..];
        }
        Ok(())
    }

    async fn connect(&self, start: &mut Start) -> Result<Conn, CallError> {
        if *start == Start::Pooled {
            if let Some(conn) = self.inner.pool.checkout(self.call.replica).await {
                return Ok(conn);
            }
            *start = Start::New;
        }
        let limit = Instant::now() + self.inner.opts.connect_timeout;
        Conn::open(self.call.replica, limit.min(self.call.deadline)).await
    }

    /// Rejects an answer that does not carry the id of this call.
    fn check_id(&self, reply: &Reply) -> Result<(), CallError> {
        match reply.header(header_names::ID) {
            Some(id) if id == self.call.id.as_str() => Ok(()),
            Some(id) => {
                metrics::counter!("chervilwind_endpoints_foreign").increment(1);
                Err(CallError::WrongId(id.to_owned()))
            }
            None => Err(CallError::MissingId),
        }
    }

    /// Returns how to retry after a failed attempt, or none to give up.
    fn plan_retry(&mut self, start: Start, cause: &CallError) -> Option<Start> {
        if Instant::now() >= self.call.deadline || matches!(cause, CallError::InvalidRequest(_)) {
            return None;
        }
        let wrote = self.progress.wrote || self.progress.wrote_before;
        let idempotent = self.call.idempotent;
        if self.call.kind == Kind::Plain || !wrote {
            // A pooled connection may have been closed, or gone silent, since its last call,
            // so the call fails before its answer begins. Only idempotent calls use pooled
            // connections, so the call may be retried over a new one.
            let stale = start == Start::Pooled && !self.progress.head_sent;
            return stale.then_some(Start::New);
        }
        if *cause == CallError::Unresumable {
            let can_restart = idempotent && self.progress.tokens == 0 && !self.progress.restarted;
            self.progress.restarted = true;
            return can_restart.then_some(Start::New);
        }
        let slow = self.progress.responsive && matches!(cause, CallError::Silent(_));
        self.progress.failures += u32::from(!slow);
        let may_resume = idempotent || self.progress.resumable;
        if !may_resume || self.progress.resumes_exhausted(self.inner.opts.max_resumes) {
            return None;
        }
        self.progress.resumed += 1;
        metrics::counter!("chervilwind_endpoints_resumes").increment(1);
        Some(Start::Resume)
    }

    /// Returns whether the endpoint reports its load.
    ///
    /// Some engines send no head before the first token. Under load such an engine seems
    /// dead on every new connection; giving up on it would lose its work.
    async fn is_responsive(&self) -> bool {
        let limit = Instant::now() + self.call.silence_timeout;
        let report = load::fetch_report(self.call.replica, limit.min(self.call.deadline));
        report.await.is_ok()
    }

    /// Sends an event to the caller, who may delay it until the deadline.
    pub(crate) async fn send_event(&self, event: Event) -> Result<(), CallError> {
        let sent = with_deadline(self.call.deadline, self.events.send(event)).await;
        sent.map(|_| ()).ok_or(CallError::Deadline)
    }

    /// Sends the head to the caller, once.
    pub(crate) async fn send_head(&mut self, reply: &Reply) -> Result<(), CallError> {
        if self.progress.head_sent {
            return Ok(());
        }
        self.progress.head_sent = true;
        self.send_event(Event::Head {
            status: reply.status,
            headers: reply.headers.clone(),
            length: reply.length,
        })
        .await
    }

    /// Awaits the endpoint until the silence timeout or the deadline.
    pub(crate) async fn wait<T>(
        &mut self,
        work: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        match with_deadline(self.wait_deadline(), work).await {
            Some(done) => done,
            None => Err(self.record_timeout()),
        }
    }

    fn wait_deadline(&self) -> Instant {
        let silent = Instant::now()
            + self
                .progress
                .current_silence_timeout(self.call.silence_timeout);
        silent.min(self.call.deadline)
    }

    fn record_timeout(&mut self) -> CallError {
        if Instant::now() >= self.call.deadline {
            return CallError::Deadline;
        }
        let waited = self
            .progress
            .current_silence_timeout(self.call.silence_timeout);
        self.progress.silences += 1;
        CallError::Silent(Span::from(waited))
    }
}
