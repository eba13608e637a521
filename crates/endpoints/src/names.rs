//! Names of the headers that endpoints know.

/// Carries the id of a call, which the answer must echo.
pub(crate) const ID: &str = "x-request-id";
/// Asks for a stream from this token on; an answer that does so echoes it.
pub(crate) const RESUME_FROM: &str = "x-resume-from";
/// Says that a resume never starts the call a second time.
pub(crate) const RESUMABLE: &str = "x-resumable";
/// Says that the endpoint is leaving and did not take the call.
pub(crate) const LEAVING: &str = "x-leaving";
/// Says that the endpoint did not take the call for another reason.
pub(crate) const NOT_ADMITTED: &str = "x-not-admitted";
