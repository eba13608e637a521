//! An answer that is passed on while it comes.

use {
    super::{
        running::{
            Held,
            Running, //
        },
        told::{
            finish,
            lost,
            pairs, //
        },
    },
    async_std::{
        channel::{
            bounded,
            Sender, //
        },
        task, //
    },
    callers::{
        DisconnectSignal,
        Piece,
        Response, //
    },
    endpoints::{
        Answer,
        End,
        Event, //
    },
    futures_lite::future::or,
    operators::Unit,
    policy::{
        Outcome,
        ReplicaId,
        Span,
        Units, //
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// How often the dispatch is told of a stream's tokens while it runs. All streams share the dispatch
/// and its lock, which would be taken for every token otherwise.
const TELL: Duration = Duration::from_millis(50);
/// Pieces that may wait for a slow caller.
const PIECES: usize = 8;
/// Longest answer that is recorded for a ticket, in bytes.
const RECORD_MAX: usize = 256 * 1024;

/// An answer whose first bytes are here.
pub(crate) struct Passing {
    run: Running,
    held: Held,
    answer: Answer,
    replica: ReplicaId,
    gone: DisconnectSignal,
    /// The caller still reads.
    heard: bool,
    /// When the dispatch was last told of its tokens, and of how many.
    told: Option<(Instant, u32)>,
    /// The dispatch was told how long tokens took.
    paced: bool,
}

impl Passing {
    pub(crate) fn new(
        run: Running,
        held: Held,
        answer: Answer,
        replica: ReplicaId,
        gone: DisconnectSignal,
    ) -> Passing {
        Passing {
            run,
            held,
            answer,
            replica,
            gone,
            heard: true,
            told: None,
            paced: false,
        }
    }

    /// Returns the head of the answer; a task of its own passes on the rest.
    pub(crate) fn respond(self) -> Response {
        let (tx, pieces) = bounded(PIECES);
        let mut response = Response::stream(self.held.status, pieces);
        response.headers = pairs(&self.held.headers);
        task::spawn(self.pass(tx));
        response
    }

    async fn pass(mut self, pieces: Sender<Piece>) {
        let first = match self.run.grant {
            Some(_) => self.held.body.clone(),
            None => std::mem::take(&mut self.held.body),
        };
        self.progress();
        self.give(&pieces, Piece::Data(first)).await;
        let end = loop {
            if !self.heard && self.run.work.idempotent {
                return self.cancel();
            }
            match self.next().await {
                Some(Event::Data { bytes, tokens }) => {
                    self.keep(&bytes, tokens);
                    self.give(&pieces, Piece::Data(bytes)).await;
                }
                Some(Event::End(end)) => break end,
                Some(Event::Head { .. }) => {}
                None => return self.cancel(),
            }
        };
        self.end(end, &pieces).await;
    }

    /// Waits for the next event; none where the caller has hung up and that ends the call.
    ///
    /// A caller that hangs up between two tokens would otherwise hold its slot until the
    /// next one is written, and work that waits would not get it.
    async fn next(&mut self) -> Option<Event> {
        if !self.run.work.idempotent {
            return self.answer.next().await;
        }
        let gone = &self.gone;
        or(async { self.answer.next().await }, async {
            gone.wait().await;
            None
        })
        .await
    }

    async fn give(&mut self, pieces: &Sender<Piece>, piece: Piece) {
        self.heard = self.heard && pieces.send(piece).await.is_ok();
    }

    /// Keeps what a ticket's record needs, and charges what was served so far.
    fn keep(&mut self, bytes: &[u8], tokens: u32) {
        self.held.tokens += tokens;
        self.progress();
        let wanted = self.run.grant.is_some() && self.held.body.len() <= RECORD_MAX;
        if wanted {
            self.held.body.extend_from_slice(bytes);
        }
    }

    /// Charges what was served so far and tells how long it took, now and then.
    fn progress(&mut self) {
        let (now, tokens) = (Instant::now(), self.held.tokens);
        let last = self.told;
        if last.is_some_and(|(at, had)| now - at < TELL || had == tokens) {
            return;
        }
        self.told = Some((now, tokens));
        self.paced = last.is_some();
        let served = (self.run.work.unit == Unit::Tokens).then(|| Units(f64::from(tokens)));
        let job = self.run.job;
        self.run.router.dispatch(|d, time| {
            if let Some(served) = served {
                d.record_progress(job, served, time);
            }
            if let Some((at, had)) = last {
                d.record_tokens(job, tokens - had, Span::from(now - at));
            }
        });
    }

    async fn end(mut self, end: End, pieces: &Sender<Piece>) {
        if end.leaving {
            self.run.router.noticed_leaving(&self.replica);
        }
        let mut finish = finish(&self.run.work, &end, self.run.ran());
        if self.paced {
            finish.token_gap = None;
        }
        self.run.finish(finish);
        self.run.count_service(finish.units);
        self.run.count(end.outcome);
        self.run.note_time(&end);
        let outcome = end.outcome;
        if self.run.grant.is_some() && self.held.body.len() > RECORD_MAX {
            self.held.status = 0;
        }
        self.run.record(outcome, &self.held);
        let last = match outcome {
            Outcome::Answered => Piece::End,
            _ => Piece::Fail(lost(&end)),
        };
        self.give(pieces, last).await;
    }

    /// Ends an answer that nobody reads any more; dropping the call cancels it.
    fn cancel(mut self) {
        self.run.lose();
    }
}
