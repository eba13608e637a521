//! What a caller asks.

use {
    crate::{
        AddressListQuery, //
        DisconnectSignal,
    },
    policy::{
        IdError,
        ProfileName,
        ServiceId,
        WorkspaceId, //
    },
    std::{
        fmt,
        net::SocketAddr,
        str::FromStr,
        sync::Arc,
        time::Duration, //
    },
};

/// A question to a router.
#[derive(Debug)]
pub enum IncomingRequest {
    /// Which address to use.
    Addresses {
        /// What was asked.
        query: AddressListQuery,
        /// Who asks.
        peer: SocketAddr,
    },
    /// A request for an endpoint of a service.
    Request {
        /// The request.
        request: Box<Request>,
        /// Fires when the caller hangs up.
        disconnect: DisconnectSignal,
    },
}

/// A request for an endpoint of a service.
#[derive(Debug, Clone)]
pub struct Request {
    /// The service asked for.
    pub service: ServiceId,
    /// The workspace that asks.
    pub workspace: WorkspaceId,
    /// How the request is treated.
    pub profile: ProfileName,
    /// Time left until the answer is of no use; never zero.
    pub deadline: Option<Duration>,
    /// The ticket, as the caller sent it.
    pub ticket: Option<String>,
    /// The name in logs. Callers choose it, so it need not be unique.
    pub id: RequestId,
    /// The HTTP method, in capitals.
    pub method: String,
    /// Path and query, beginning with `/`.
    pub target: String,
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Who asks.
    pub peer: SocketAddr,
}

/// The name of a request in logs and in the answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Makes a new name that is unlikely to be in use.
    pub fn random() -> RequestId {
        RequestId(format!("{:016x}", fastrand::u64(..)).into())
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<RequestId, IdError> {
        // A name of a service follows the same rules.
        s.parse::<ServiceId>()?;
        Ok(RequestId(s.into()))
    }
}
