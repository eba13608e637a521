//! Calls of a service and their answers.

use {
    crate::{
        Reason,
        Refused, //
    },
    policy::{
        Outcome,
        ProfileName,
        ServiceId,
        WorkspaceId, //
    },
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// A call of a service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The service.
    pub service: ServiceId,
    /// The workspace that sends the call.
    pub workspace: WorkspaceId,
    /// The profile.
    pub profile: ProfileName,
    /// Time until the deadline.
    pub deadline: Option<Duration>,
    /// The call must run at most once, so it needs a ticket.
    pub at_most_once: bool,
    /// The request ID in logs.
    pub id: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The result of a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// How it ended.
    pub outcome: Outcome,
    /// The HTTP status, if a response was received.
    pub status: Option<u16>,
    /// Headers of the response.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
    /// The rejection or error, if there is no complete answer.
    pub refused: Option<Refused>,
    /// The router that answered last.
    pub router: Option<SocketAddr>,
    /// The ticket that was sent last.
    pub ticket: Option<String>,
    /// Number of attempts, including those that failed to connect.
    pub attempts: usize,
}

impl Call {
    /// Creates a POST call that may be repeated.
    pub fn post(
        service: ServiceId,
        workspace: WorkspaceId,
        profile: ProfileName,
        target: &str,
        body: Vec<u8>,
    ) -> Call {
        Call {
            service,
            workspace,
            profile,
            deadline: None,
            at_most_once: false,
            id: None,
            method: "POST".to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body,
        }
    }
}

impl Answer {
    pub(crate) fn refused(refused: Refused) -> Answer {
        Answer {
            outcome: refused.outcome,
            status: None,
            headers: Vec::new(),
            body: Vec::new(),
            refused: Some(refused),
            router: None,
            ticket: None,
            attempts: 0,
        }
    }

    pub(crate) fn lost() -> Answer {
        Answer::refused(Refused::new(
            Reason::AnswerLost,
            "the answer was lost; look whether it ran before asking again",
        ))
    }

    pub(crate) fn unreachable(router: SocketAddr) -> Answer {
        Answer::refused(Refused::new(
            Reason::NoEndpoint,
            format!("no router at {router}; check the addresses given"),
        ))
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}
