//! Names of the headers exchanged with endpoints.

/// Carries the id of a call, which the answer must echo.
pub(crate) const ID: &str = "x-request-id";
/// Requests a stream from this token on; an answer that complies echoes it.
pub(crate) const RESUME_FROM: &str = "x-resume-from";
/// States that a resume never starts the call a second time.
pub(crate) const RESUMABLE: &str = "x-resumable";
/// States that the endpoint is leaving; with status 503, that it rejected the call.
pub(crate) const LEAVING: &str = "x-leaving";
/// States that the endpoint rejected the call for another reason.
pub(crate) const NOT_ADMITTED: &str = "x-not-admitted";
