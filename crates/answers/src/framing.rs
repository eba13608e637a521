//! Where an answer ends.

use {
    http_types::{
        headers::{
            CONTENT_LENGTH,
            TRANSFER_ENCODING, //
        },
        Method,
        Response,
        StatusCode, //
    },
    thiserror::Error, //
};

/// Why an answer is none, or may not be followed by another one on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The real answer follows.
    #[error("an interim answer, {0}")]
    Interim(StatusCode),
    /// Two readers could disagree on where the body ends.
    #[error("the end of the body is ambiguous")]
    Ambiguous,
}

/// Checks that an answer to a request with this method ends in one way.
///
/// The library takes the last of several lengths, and the body of an answer without one, or in an
/// unknown coding, for empty. The rest would stay on the connection, for the next request.
///
/// # Errors
///
/// If it doesn't, or if it is an interim answer.
///
/// # Examples
///
/// ```
/// use answers::{check_framing, FramingError};
/// use http_types::{Method, Response};
///
/// let mut answer = Response::new(200);
/// assert_eq!(check_framing(&answer, Method::Get), Err(FramingError::Ambiguous));
/// answer.insert_header("content-length", "3");
/// assert_eq!(check_framing(&answer, Method::Get), Ok(()));
/// answer.append_header("content-length", "2");
/// assert_eq!(check_framing(&answer, Method::Get), Err(FramingError::Ambiguous));
/// assert_eq!(check_framing(&answer, Method::Head), Ok(()));
/// ```
pub fn check_framing(answer: &Response, method: Method) -> Result<(), FramingError> {
    let status = answer.status();
    if status.is_informational() {
        return Err(FramingError::Interim(status));
    }
    let bodiless = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    if bodiless || method == Method::Head {
        return Ok(());
    }
    let values = |name| answer.header(name).into_iter().flatten();
    let lengths: Vec<&str> = values(CONTENT_LENGTH).map(|v| v.as_str()).collect();
    let codings: Vec<&str> = values(TRANSFER_ENCODING).map(|v| v.as_str()).collect();
    match (&lengths[..], &codings[..]) {
        ([length], []) if length.bytes().all(|b| b.is_ascii_digit()) => Ok(()),
        ([], ["chunked"]) => Ok(()),
        _ => Err(FramingError::Ambiguous),
    }
}
