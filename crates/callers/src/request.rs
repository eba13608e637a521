//! Requests from callers.

use {
    crate::{
        AddressListQuery,
        DisconnectSignal, //
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

/// A request to a router.
#[derive(Debug)]
pub enum IncomingRequest {
    /// A request for the address list of a service.
    Addresses {
        /// The parsed query.
        query: AddressListQuery,
        /// The address of the caller.
        peer: SocketAddr,
    },
    /// A request for an endpoint of a service.
    Request {
        /// The request.
        request: Box<Request>,
        /// Fires when the caller disconnects.
        disconnect: DisconnectSignal,
    },
}

/// A request for an endpoint of a service.
#[derive(Debug, Clone)]
pub struct Request {
    /// The requested service.
    pub service: ServiceId,
    /// The workspace that sends the request.
    pub workspace: WorkspaceId,
    /// The profile that applies to the request.
    pub profile: ProfileName,
    /// Time left until the deadline; never zero.
    pub deadline: Option<Duration>,
    /// The ticket, as the caller sent it.
    pub ticket: Option<String>,
    /// The request ID. Callers may choose it, so it is not always unique.
    pub id: RequestId,
    /// The HTTP method in upper case.
    pub method: String,
    /// Path and query, starting with `/`.
    pub target: String,
    /// Headers to forward, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
    /// The address of the caller.
    pub peer: SocketAddr,
}

/// The ID of a request in logs and in the response.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Creates a random ID.
    pub fn random() -> RequestId {
        RequestId(format!("{:016x}", fastrand::u64(..)).into())
    }

    /// Returns the ID as text.
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
        // Service names follow the same rules.
        s.parse::<ServiceId>()?;
        Ok(RequestId(s.into()))
    }
}
