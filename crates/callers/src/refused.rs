//! Refusals: why a request got no answer from an endpoint, as status, headers and JSON.

use {
    policy::{
        Outcome,
        Refusal, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        time::Duration, //
    },
};

/// Why a request was refused or could not be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The bytes are no HTTP/1.1 request.
    BadRequest,
    /// A header of ours is missing or malformed, or a header is not text.
    BadHeader,
    /// The deadline is no whole number of milliseconds.
    BadDeadline,
    /// No such path below `/chervilwind/`.
    UnknownPath,
    /// No such service in the configuration.
    UnknownService,
    /// No such workspace in the configuration.
    UnknownWorkspace,
    /// No such profile in the configuration.
    UnknownProfile,
    /// The head did not come in time.
    HeadTimeout,
    /// The body did not come in time.
    BodyTimeout,
    /// The head is too long or has too many headers.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// The request may not be repeated and came without a ticket.
    TicketNeeded,
    /// The ticket has expired, and no request that carried it ran or ever will.
    TicketExpired,
    /// A request with this ticket is running.
    TicketRunning,
    /// A request with this ticket ended, and its answer is no longer kept. The outcome is that
    /// of the ticket: of all tries that carried it.
    TicketUsed,
    /// The router that holds the ticket is gone or can't be reached.
    TicketOrphaned,
    /// The workspace has as many queued requests as it may.
    QueueFull,
    /// Too many connections, in all or from this address.
    TooManyConnections,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// This router is shutting down.
    Leaving,
    /// This router has no configuration yet.
    NotReady,
    /// The retry budget is spent.
    RetryBudget,
    /// It can't be served within its deadline.
    Late,
    /// Its deadline passed before it was run.
    Expired,
    /// Its deadline passed while it ran.
    TimedOut,
    /// The endpoint's answer was lost or was cut.
    AnswerLost,
    /// The endpoint answered that it failed.
    EndpointFailed,
    /// A fault in the router.
    Internal,
}

/// A request that got no endpoint's answer: what the caller is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// What is known of the request.
    pub outcome: Outcome,
    /// The cause, for programs.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The cause and its remedy, for people.
    pub message: String,
    /// Milliseconds after which it may be sent again, where that makes sense.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_ms: Option<u64>,
}

impl Refused {
    /// Makes a refusal with the outcome that `reason` usually has.
    ///
    /// # Examples
    ///
    /// ```
    /// use callers::{Refused, Reason};
    ///
    /// let refused = Refused::new(Reason::QueueFull, "send fewer requests at once");
    /// assert_eq!(refused.outcome, policy::Outcome::NotRun);
    /// assert_eq!(refused.reason.status(), 429);
    /// ```
    pub fn new(reason: Reason, message: impl Into<String>) -> Refused {
        Refused {
            outcome: reason.outcome(),
            reason,
            message: message.into(),
            retry_ms: None,
        }
    }

    /// Says when the caller may come back.
    pub fn retry_after(mut self, after: Duration) -> Refused {
        self.retry_ms = Some(after.as_millis() as u64);
        self
    }

    /// Says another outcome than the usual one.
    pub fn outcome(mut self, outcome: Outcome) -> Refused {
        self.outcome = outcome;
        self
    }

    /// Makes the refusal that a decision of the policy stands for.
    pub fn from_policy(refusal: Refusal) -> Refused {
        let (reason, message) = match refusal {
            Refusal::QueueFull => (
                Reason::QueueFull,
                "the workspace has too many requests queued; come back after retry_ms",
            ),
            Refusal::Late => (
                Reason::Late,
                "it can't be answered within its deadline; allow more time or come back later",
            ),
            Refusal::Expired => (
                Reason::Expired,
                "its deadline passed while it was queued; allow more time",
            ),
            Refusal::NoEndpoint => (
                Reason::NoEndpoint,
                "no endpoint of the service takes work; come back after retry_ms",
            ),
            Refusal::Leaving => (
                Reason::Leaving,
                "this router is shutting down; use another address",
            ),
            Refusal::Budget => (
                Reason::RetryBudget,
                "too many requests had to be retried; come back after retry_ms",
            ),
        };
        Refused::new(reason, message)
    }
}

impl Reason {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Reason::BadRequest | Reason::BadHeader | Reason::BadDeadline => 400,
            Reason::UnknownPath
            | Reason::UnknownService
            | Reason::UnknownWorkspace
            | Reason::UnknownProfile => 404,
            Reason::HeadTimeout | Reason::BodyTimeout => 408,
            Reason::TicketExpired
            | Reason::TicketRunning
            | Reason::TicketUsed
            | Reason::TicketOrphaned => 409,
            Reason::BodyTooLarge => 413,
            Reason::TicketNeeded => 428,
            Reason::QueueFull => 429,
            Reason::HeadTooLarge => 431,
            Reason::Internal => 500,
            Reason::AnswerLost | Reason::EndpointFailed => 502,
            Reason::TooManyConnections
            | Reason::NoEndpoint
            | Reason::Leaving
            | Reason::NotReady
            | Reason::RetryBudget => 503,
            Reason::Late | Reason::Expired | Reason::TimedOut => 504,
        }
    }

    /// Returns the outcome, unless the one who refuses knows better.
    pub fn outcome(self) -> Outcome {
        match self {
            Reason::TicketRunning
            | Reason::TicketUsed
            | Reason::TicketOrphaned
            | Reason::TimedOut
            | Reason::AnswerLost
            | Reason::Internal => Outcome::MayHaveRun,
            Reason::EndpointFailed => Outcome::Failed,
            _ => Outcome::NotRun,
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.outcome, self.message)
    }
}
