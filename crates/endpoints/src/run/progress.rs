//! Progress of a call through its attempts.

use {
    crate::{
        sse::Sse,
        CallError,
        End, //
    },
    policy::{
        Outcome,
        Span, //
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// A stream counts as silent after this many times its mean token gap.
const SILENCE_GAPS: u32 = 16;

/// How often the silence timeout is doubled at most.
const MAX_DOUBLINGS: u32 = 6;

/// Progress of a call through its attempts.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Whether this attempt wrote a byte of the request to an endpoint.
    pub(crate) wrote: bool,
    /// Whether an earlier attempt wrote one.
    pub(crate) wrote_before: bool,
    /// Whether the head was forwarded.
    pub(crate) head_sent: bool,
    /// Whether the endpoint stated that a resume never runs the call again.
    pub(crate) resumable: bool,
    /// Whether the endpoint reported that it is leaving.
    pub(crate) leaving: bool,
    /// Whether the endpoint answered a resume, or a load request, in this attempt.
    pub(crate) responsive: bool,
    /// Tokens forwarded.
    pub(crate) tokens: u32,
    /// Number of the last token event that was forwarded.
    pub(crate) last_number: Option<u32>,
    /// Whether the event with the finish reason was forwarded.
    pub(crate) finished: bool,
    /// Failed attempts since the last token.
    pub(crate) failures: u32,
    /// How often the endpoint was silent since the last token.
    pub(crate) silences: u32,
    /// Whether the call was restarted after the endpoint could not resume it.
    pub(crate) restarted: bool,
    /// How often the stream was resumed.
    pub(crate) resumed: u32,
    started: Instant,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
}

impl Progress {
    pub(crate) fn new() -> Progress {
        Progress {
            wrote: false,
            wrote_before: false,
            head_sent: false,
            resumable: false,
            leaving: false,
            responsive: false,
            tokens: 0,
            last_number: None,
            finished: false,
            failures: 0,
            silences: 0,
            restarted: false,
            resumed: 0,
            started: Instant::now(),
            first_token_at: None,
            last_token_at: None,
        }
    }

    /// Records a forwarded token.
    pub(crate) fn record_token(&mut self, sse: &Sse) {
        let now = Instant::now();
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += 1;
        self.last_number = sse.number;
        self.finished |= sse.finishes;
        self.failures = 0;
        self.silences = 0;
    }

    /// Returns whether no further resume is allowed.
    ///
    /// A healthy engine under load can be silent for long, but accepts each resume. Such
    /// attempts count only against the doublings of the silence timeout.
    pub(crate) fn resumes_exhausted(&self, max_resumes: u32) -> bool {
        self.failures > max_resumes || self.silences > MAX_DOUBLINGS
    }

    /// Returns the time without a byte after which the endpoint counts as silent.
    ///
    /// Each silence since the last token doubles the timeout, so that an engine that is
    /// only slow is probed less and less often.
    pub(crate) fn current_silence_timeout(&self, min_timeout: Duration) -> Duration {
        let scaled_gap = self.mean_gap().unwrap_or(Duration::ZERO) * SILENCE_GAPS;
        scaled_gap.max(min_timeout) * 2u32.pow(self.silences.min(MAX_DOUBLINGS))
    }

    /// Returns the end, with an outcome that claims no more than is known.
    pub(crate) fn end(&self, cause: Option<CallError>) -> End {
        let outcome = match cause {
            None => Outcome::Answered,
            Some(CallError::Status(_)) => Outcome::Failed,
            Some(CallError::NotAdmitted) if !self.wrote_before => Outcome::NotRun,
            Some(_) if !self.wrote_before && !self.wrote => Outcome::NotRun,
            Some(_) => Outcome::MayHaveRun,
        };
        End {
            outcome,
            tokens: self.tokens,
            first_token: self.first_token_at.map(|t| Span::from(t - self.started)),
            token_gap: self.mean_gap().map(Span::from),
            cause,
            leaving: self.leaving,
            resumed: self.resumed,
        }
    }

    fn mean_gap(&self) -> Option<Duration> {
        let (first, last) = (self.first_token_at?, self.last_token_at?);
        let gaps = self.tokens.checked_sub(1).filter(|n| *n > 0)?;
        Some((last - first) / gaps)
    }
}
