//! Forwards the events of a streamed answer, each complete and exactly once.

use {
    super::CallTask,
    crate::{
        body::Reply,
        conn::with_deadline,
        header_names,
        sse::{
            Splitter,
            Sse,
            SseKind, //
        },
        CallError,
        End,
        Event, //
    },
    async_std::task::spawn,
    std::time::{
        Duration,
        Instant, //
    },
};

/// How long after its last event the end of a body is awaited.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a stream continues an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resume {
    No,
    Requested,
    Echoed,
}

impl CallTask {
    pub(super) async fn forward_stream(
        &mut self,
        mut reply: Reply,
        from: Option<u32>,
    ) -> Result<End, CallError> {
        let echoed = reply
            .header(header_names::RESUME_FROM)
            .and_then(|n| n.parse().ok());
        let resume = match from {
            None => Resume::No,
            Some(_) if echoed == from => Resume::Echoed,
            Some(_) => Resume::Requested,
        };
        self.progress.responsive = from.is_some();
        self.send_head(&reply).await?;
        let mut splitter = Splitter::default();
        loop {
            let bytes = self
                .wait(reply.read_next())
                .await?
                .ok_or(CallError::Truncated)?;
            if !splitter.push(&bytes) {
                return Err(CallError::Malformed("an event is too long".to_owned()));
            }
            let done = self.forward_events(&mut splitter, resume).await?;
            if done {
                self.reuse_connection(reply);
                return Ok(self.progress.end(None));
            }
        }
    }

    /// Forwards the complete events received so far; true after the last of the stream.
    async fn forward_events(
        &mut self,
        splitter: &mut Splitter,
        resume: Resume,
    ) -> Result<bool, CallError> {
        let (mut bytes, mut tokens) = (Vec::new(), 0);
        let mut done = Ok(false);
        while let (Ok(false), Some(sse)) = (&done, splitter.next()) {
            match self.is_next(&sse, resume) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(e) => {
                    done = Err(e);
                    break;
                }
            }
            bytes.extend_from_slice(&sse.bytes);
            match sse.kind {
                SseKind::Token => {
                    self.progress.record_token(&sse);
                    tokens += 1;
                }
                SseKind::Done => done = Ok(true),
                SseKind::Empty => {}
            }
        }
        if !bytes.is_empty() {
            self.send_event(Event::Data { bytes, tokens }).await?;
        }
        done
    }

    /// Returns whether an event is the next one; false if it was forwarded before.
    ///
    /// A resumed stream may overlap the earlier one or leave out a part, so that words in
    /// the caller's text would be doubled or missing. The numbers of the events reveal
    /// both. Without numbers, the endpoint must echo the token that it resumes from.
    fn is_next(&self, sse: &Sse, resume: Resume) -> Result<bool, CallError> {
        match sse.kind {
            _ if resume == Resume::No => return Ok(true),
            SseKind::Empty => return Ok(true),
            // No number reveals that a resumed stream left out the tail, only that its end
            // comes without an event that gives the finish reason.
            SseKind::Done if !self.progress.finished => return Err(CallError::Truncated),
            SseKind::Done => return Ok(true),
            SseKind::Token => {}
        }
        // Endpoints number their tokens from 0, so that is the number expected first.
        let next = match self.progress.last_number {
            Some(last) => last.saturating_add(1),
            None => 0,
        };
        match sse.number {
            Some(n) if n < next => Ok(false),
            Some(n) if n > next => Err(CallError::Truncated),
            Some(_) => Ok(true),
            _ if self.progress.tokens == 0 || resume == Resume::Echoed => Ok(true),
            _ => Err(CallError::Unresumable),
        }
    }

    /// Returns the connection to the pool once the end of the body has been read.
    fn reuse_connection(&self, mut reply: Reply) {
        let inner = self.inner.clone();
        spawn(async move {
            let end = with_deadline(Instant::now() + BODY_END_TIMEOUT, reply.read_next()).await;
            if matches!(end, Some(Ok(None))) {
                if let Some(conn) = reply.into_reusable() {
                    inner.pool.put(conn);
                }
            }
        });
    }
}
