//! Rejections and errors of requests, as HTTP status, headers and JSON.

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

/// The reason why a request was rejected or could not be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The received bytes are not an HTTP/1.1 request.
    BadRequest,
    /// A `chervilwind-` header is missing or malformed, or a header is not printable ASCII.
    BadHeader,
    /// The deadline is not an integer number of milliseconds.
    BadDeadline,
    /// No such path below `/chervilwind/`.
    UnknownPath,
    /// No such service in the configuration.
    UnknownService,
    /// No such workspace in the configuration.
    UnknownWorkspace,
    /// No such profile in the configuration.
    UnknownProfile,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The head is too long or has too many headers.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// The request must not be repeated and has no ticket.
    TicketNeeded,
    /// The ticket has expired, and no request that carried it ran or will run.
    TicketExpired,
    /// A request with this ticket is running.
    TicketRunning,
    /// A request with this ticket ended, and its answer is no longer stored. The outcome applies
    /// to the ticket, that is to all attempts that carried it.
    TicketUsed,
    /// The router that holds the ticket has left or can't be reached.
    TicketOrphaned,
    /// The workspace has reached its limit on queued requests.
    QueueFull,
    /// Too many connections in total or from this IP address.
    TooManyConnections,
    /// Requests that are arriving take too much memory.
    ShortOfMemory,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// This router is shutting down.
    Leaving,
    /// This router has no configuration yet.
    NotReady,
    /// The retry budget is spent.
    RetryBudget,
    /// The request can't be served within its deadline.
    Late,
    /// The deadline passed before the request ran.
    Expired,
    /// The deadline passed while the request ran.
    TimedOut,
    /// The endpoint's answer was lost or aborted.
    AnswerLost,
    /// The endpoint reported a failure.
    EndpointFailed,
    /// An internal error of the router.
    Internal,
}

/// The response to a request that has no answer from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// The machine-readable reason.
    #[serde(rename = "why")]
    pub reason: Reason,
    /// The reason and its remedy in text.
    pub message: String,
    /// Milliseconds after which a retry makes sense, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_ms: Option<u64>,
}

impl Refused {
    /// Creates a rejection with the outcome that `reason` usually has.
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

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Refused {
        self.retry_ms = Some(after.as_millis() as u64);
        self
    }

    /// Overrides the default outcome of the reason.
    pub fn outcome(mut self, outcome: Outcome) -> Refused {
        self.outcome = outcome;
        self
    }

    /// Converts a rejection by the policy.
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
            | Reason::ShortOfMemory
            | Reason::NoEndpoint
            | Reason::Leaving
            | Reason::NotReady
            | Reason::RetryBudget => 503,
            Reason::Late | Reason::Expired | Reason::TimedOut => 504,
        }
    }

    /// Returns the default outcome.
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
