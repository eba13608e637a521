//! What is known of a call under way.

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

/// A stream is silent after this many times its usual gap.
const GAPS: u32 = 16;

/// Most often that the silence bound is doubled.
const DOUBLINGS: u32 = 6;

/// What is known of a call under way.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Whether a byte of the request was written to an endpoint by this try.
    pub(crate) wrote: bool,
    /// Whether an earlier try wrote one.
    pub(crate) spent: bool,
    /// Whether the head was passed on.
    pub(crate) head: bool,
    /// Whether the endpoint said that a resume never runs the call again.
    pub(crate) resumable: bool,
    /// Whether the endpoint said that it is leaving.
    pub(crate) leaving: bool,
    /// Whether the endpoint agreed to go on with the stream in this try.
    pub(crate) alive: bool,
    /// Tokens passed on.
    pub(crate) tokens: u32,
    /// Number of the last event passed on that carries a token.
    pub(crate) number: Option<u32>,
    /// Whether the event that ends the text was passed on.
    pub(crate) finished: bool,
    /// Tries since the last progress.
    pub(crate) failures: u32,
    /// How often it was silent since the last token.
    pub(crate) silences: u32,
    /// Whether it was begun anew after the endpoint had nothing to resume.
    pub(crate) renewed: bool,
    /// How often it was resumed.
    pub(crate) resumed: u32,
    started: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl Progress {
    pub(crate) fn new() -> Progress {
        Progress {
            wrote: false,
            spent: false,
            head: false,
            resumable: false,
            leaving: false,
            alive: false,
            tokens: 0,
            number: None,
            finished: false,
            failures: 0,
            silences: 0,
            renewed: false,
            resumed: 0,
            started: Instant::now(),
            first: None,
            last: None,
        }
    }

    /// Notes a token that was passed on.
    pub(crate) fn token(&mut self, sse: &Sse) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
        self.number = sse.number;
        self.finished |= sse.last;
        self.failures = 0;
        self.silences = 0;
    }

    /// Returns whether no further resume is worth it.
    ///
    /// An engine under load can be silent for long and well all the same: it agrees to go
    /// on each time. Such tries only count against the doublings of the silence bound.
    pub(crate) fn spent_all(&self, resumes: u32) -> bool {
        self.failures > resumes || self.silences > DOUBLINGS
    }

    /// Returns how long nothing may come before it counts as silence.
    ///
    /// Each silence without a token after it doubles the bound, so an engine that is only
    /// slow is probed less and less often.
    pub(crate) fn patience(&self, least: Duration) -> Duration {
        let usual = self.mean().unwrap_or(Duration::ZERO) * GAPS;
        usual.max(least) * 2u32.pow(self.silences.min(DOUBLINGS))
    }

    /// Returns the end, with an outcome that says no more than is known.
    pub(crate) fn end(&self, cause: Option<CallError>) -> End {
        let outcome = match cause {
            None => Outcome::Answered,
            Some(CallError::Status(_)) => Outcome::Failed,
            Some(CallError::NotAdmitted) if !self.spent => Outcome::NotRun,
            Some(_) if !self.spent && !self.wrote => Outcome::NotRun,
            Some(_) => Outcome::MayHaveRun,
        };
        End {
            outcome,
            tokens: self.tokens,
            first_token: self.first.map(|t| Span::from(t - self.started)),
            token_gap: self.mean().map(Span::from),
            cause,
            leaving: self.leaving,
            resumed: self.resumed,
        }
    }

    fn mean(&self) -> Option<Duration> {
        let (first, last) = (self.first?, self.last?);
        let gaps = self.tokens.checked_sub(1).filter(|n| *n > 0)?;
        Some((last - first) / gaps)
    }
}
