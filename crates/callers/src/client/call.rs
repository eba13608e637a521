//! A call and its answer, as the client's user sees them.

use {
    crate::{
        Reason, //
        Refused,
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
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// The profile.
    pub profile: ProfileName,
    /// Time until the answer is of no use.
    pub deadline: Option<Duration>,
    /// It may not be repeated, so it needs a ticket.
    pub at_most_once: bool,
    /// The name in logs.
    pub id: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What came of a call.
#[derive(Debug, Clone)]
pub struct Answer {
    /// How it ended.
    pub outcome: Outcome,
    /// The HTTP status, where an answer came.
    pub status: Option<u16>,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Why there is no whole answer.
    pub refused: Option<Refused>,
    /// The router that answered last.
    pub router: Option<SocketAddr>,
    /// The ticket it went under last.
    pub ticket: Option<String>,
    /// How many times it was sent or a connection for it was tried.
    pub attempts: usize,
}

impl Call {
    /// Makes a POST that may be repeated.
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
