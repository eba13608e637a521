//! Answers that are forwarded while they arrive.

use {
    super::{
        completion::{
            completion_of,
            failure,
            header_pairs, //
        },
        progress::{
            BufferedAnswer,
            RequestProgress, //
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

/// How often the tokens of a running stream are reported to the dispatch. All streams share
/// its lock, which would otherwise be taken for every token.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Pieces that are buffered for a slow caller.
const PIECE_BUFFER: usize = 8;
/// Longest answer that is recorded for a ticket, in bytes.
const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// An answer that is forwarded to the caller from its first bytes on.
pub(crate) struct StreamedAnswer {
    request: RequestProgress,
    buffered: BufferedAnswer,
    answer: Answer,
    replica: ReplicaId,
    gone: DisconnectSignal,
    /// The caller still reads the answer.
    caller_connected: bool,
    /// When tokens were last reported to the dispatch, and how many in all.
    last_report: Option<(Instant, u32)>,
    /// The time between tokens was reported to the dispatch.
    gap_reported: bool,
}

impl StreamedAnswer {
    pub(crate) fn new(
        request: RequestProgress,
        buffered: BufferedAnswer,
        answer: Answer,
        replica: ReplicaId,
        gone: DisconnectSignal,
    ) -> StreamedAnswer {
        StreamedAnswer {
            request,
            buffered,
            answer,
            replica,
            gone,
            caller_connected: true,
            last_report: None,
            gap_reported: false,
        }
    }

    /// Returns the head of the answer; a spawned task forwards the body.
    pub(crate) fn respond(self) -> Response {
        let (tx, pieces) = bounded(PIECE_BUFFER);
        let mut response = Response::stream(self.buffered.status, pieces);
        response.headers = header_pairs(&self.buffered.headers);
        task::spawn(self.forward(tx));
        response
    }

    async fn forward(mut self, pieces: Sender<Piece>) {
        let first = match self.request.grant {
            Some(_) => self.buffered.body.clone(),
            None => std::mem::take(&mut self.buffered.body),
        };
        self.report_progress();
        self.send_piece(&pieces, Piece::Data(first)).await;
        let end = loop {
            if !self.caller_connected && self.request.admitted.idempotent {
                return self.cancel();
            }
            match self.next().await {
                Some(Event::Data { bytes, tokens }) => {
                    self.buffer(&bytes, tokens);
                    self.send_piece(&pieces, Piece::Data(bytes)).await;
                }
                Some(Event::End(end)) => break end,
                Some(Event::Head { .. }) => {}
                None => return self.cancel(),
            }
        };
        self.complete(end, &pieces).await;
    }

    /// Waits for the next event; none if the caller has hung up and that ends the call.
    ///
    /// Otherwise a caller that hangs up between two tokens would hold its slot until the next
    /// one arrives, while other requests wait.
    async fn next(&mut self) -> Option<Event> {
        if !self.request.admitted.idempotent {
            return self.answer.next().await;
        }
        let gone = &self.gone;
        or(async { self.answer.next().await }, async {
            gone.wait().await;
            None
        })
        .await
    }

    async fn send_piece(&mut self, pieces: &Sender<Piece>, piece: Piece) {
        self.caller_connected = self.caller_connected && pieces.send(piece).await.is_ok();
    }

    /// Buffers data that a ticket's record needs, and reports progress.
    fn buffer(&mut self, bytes: &[u8], tokens: u32) {
        self.buffered.tokens += tokens;
        self.report_progress();
        let wanted = self.request.grant.is_some() && self.buffered.body.len() <= MAX_RECORDED_BYTES;
        if wanted {
            self.buffered.body.extend_from_slice(bytes);
        }
    }

    /// Charges the service so far and reports the time between tokens, at most once an interval.
    fn report_progress(&mut self) {
        let (now, tokens) = (Instant::now(), self.buffered.tokens);
        let last = self.last_report;
        if last.is_some_and(|(at, reported)| now - at < PROGRESS_INTERVAL || reported == tokens) {
            return;
        }
        self.last_report = Some((now, tokens));
        self.gap_reported = last.is_some();
        let served = (self.request.admitted.unit == Unit::Tokens).then(|| Units(f64::from(tokens)));
        let job = self.request.job;
        self.request.router.dispatch(|d, time| {
            if let Some(served) = served {
                d.record_progress(job, served, time);
            }
            if let Some((at, reported)) = last {
                d.record_tokens(job, tokens - reported, Span::from(now - at));
            }
        });
    }

    async fn complete(mut self, end: End, pieces: &Sender<Piece>) {
        if end.leaving {
            self.request.router.report_leaving(&self.replica);
        }
        let mut completion =
            completion_of(&self.request.admitted, &end, self.request.attempt_time());
        if self.gap_reported {
            completion.token_gap = None;
        }
        self.request.finish(completion);
        self.request.count_units(completion.units);
        self.request.count(end.outcome);
        self.request.record_run_time(&end);
        let outcome = end.outcome;
        if self.request.grant.is_some() && self.buffered.body.len() > MAX_RECORDED_BYTES {
            self.buffered.status = 0;
        }
        self.request.record(outcome, &self.buffered);
        let last = match outcome {
            Outcome::Answered => Piece::End,
            _ => Piece::Fail(failure(&end)),
        };
        self.send_piece(pieces, last).await;
    }

    /// Ends an answer whose caller has hung up; dropping the call cancels it.
    fn cancel(mut self) {
        self.request.end_unknown();
    }
}
