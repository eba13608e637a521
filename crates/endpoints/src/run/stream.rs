//! The events of a streamed answer, passed on whole and once each.

use {
    super::Run,
    crate::{
        body::Reply,
        conn::until,
        names,
        sse::{
            Part,
            Splitter,
            Sse, //
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

/// How long the end of a body may come after its last event.
const TAIL: Duration = Duration::from_millis(500);

/// Whether a stream goes on from an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resume {
    No,
    Asked,
    Echoed,
}

impl Run {
    pub(super) async fn stream(
        &mut self,
        mut reply: Reply,
        from: Option<u32>,
    ) -> Result<End, CallError> {
        let echoed = reply
            .header(names::RESUME_FROM)
            .and_then(|n| n.parse().ok());
        let resume = match from {
            None => Resume::No,
            Some(_) if echoed == from => Resume::Echoed,
            Some(_) => Resume::Asked,
        };
        self.state.alive = from.is_some();
        self.pass_head(&reply).await?;
        let mut splitter = Splitter::default();
        loop {
            let piece = self.wait(reply.piece()).await?.ok_or(CallError::Cut)?;
            if !splitter.push(&piece) {
                return Err(CallError::Malformed("an event is too long".to_owned()));
            }
            let done = self.events(&mut splitter, resume).await?;
            if done {
                self.recycle(reply);
                return Ok(self.state.end(None));
            }
        }
    }

    /// Passes on the whole events there are; true after the last of the stream.
    async fn events(&mut self, splitter: &mut Splitter, resume: Resume) -> Result<bool, CallError> {
        let (mut bytes, mut tokens) = (Vec::new(), 0);
        let mut done = Ok(false);
        while let (Ok(false), Some(sse)) = (&done, splitter.next()) {
            match self.due(&sse, resume) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(e) => {
                    done = Err(e);
                    break;
                }
            }
            bytes.extend_from_slice(&sse.bytes);
            match sse.part {
                Part::Token => {
                    self.state.token(&sse);
                    tokens += 1;
                }
                Part::Done => done = Ok(true),
                Part::Empty => {}
            }
        }
        if !bytes.is_empty() {
            self.pass(Event::Data { bytes, tokens }).await?;
        }
        done
    }

    /// Returns whether an event is the next one; false where it was passed on before.
    ///
    /// A resumed stream may overlap what came before, or leave a part out. It would show
    /// as a word twice or missing in the caller's text. The numbers of the events tell;
    /// without them only an endpoint that echoes where it goes on is believed.
    fn due(&self, sse: &Sse, resume: Resume) -> Result<bool, CallError> {
        match sse.part {
            _ if resume == Resume::No => return Ok(true),
            Part::Empty => return Ok(true),
            // A resumed stream that leaves the tail out shows by no number, only by an end
            // without the event that gives the reason for it.
            Part::Done if !self.state.finished => return Err(CallError::Cut),
            Part::Done => return Ok(true),
            Part::Token => {}
        }
        // Endpoints number their tokens from 0. Before the first token came there is no
        // other number to go by.
        let next = match self.state.number {
            Some(last) => last.saturating_add(1),
            None => 0,
        };
        match sse.number {
            Some(n) if n < next => Ok(false),
            Some(n) if n > next => Err(CallError::Cut),
            Some(_) => Ok(true),
            _ if self.state.tokens == 0 || resume == Resume::Echoed => Ok(true),
            _ => Err(CallError::Unresumable),
        }
    }

    /// Keeps the connection once the end of the body was read too.
    fn recycle(&self, mut reply: Reply) {
        let inner = self.inner.clone();
        spawn(async move {
            let end = until(Instant::now() + TAIL, reply.piece()).await;
            if matches!(end, Some(Ok(None))) {
                if let Some(conn) = reply.release() {
                    inner.kept.put(conn);
                }
            }
        });
    }
}
