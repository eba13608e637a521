//! Text that a header carries unchanged.

use {
    std::{
        str::FromStr,
        sync::Arc, //
    },
    thiserror::Error, //
};

/// Longest text in a header, in bytes. Servers commonly limit the whole head to 8 KiB.
const TEXT_MAX: usize = 4 * 1024;

/// Text that is received as it was sent if it is the value of a header.
///
/// # Examples
///
/// ```
/// use gateway::{HeaderText, HeaderTextError};
///
/// let text: HeaderText = "North Shore Markets".parse()?;
/// assert_eq!(text.as_str(), "North Shore Markets");
/// let injected = "North\r\nX-Other: 1".parse::<HeaderText>();
/// assert_eq!(injected.unwrap_err(), HeaderTextError::Control);
/// # Ok::<(), HeaderTextError>(())
/// ```
///
/// # Errors
///
/// Parsing fails if a receiver would read another text, or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderText(Arc<str>);

/// Why a header can't carry a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeaderTextError {
    /// A header without a value is often taken for none.
    #[error("it is empty")]
    Empty,
    /// It ends the header, or is invalid in one.
    #[error("it has a control character")]
    Control,
    /// Receivers remove white space around a value.
    #[error("it begins or ends with white space")]
    Trimmed,
    /// It is too long.
    #[error("it has {0} bytes, and at most {TEXT_MAX} fit into a header")]
    Long(usize),
}

impl HeaderText {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for HeaderText {
    type Err = HeaderTextError;

    fn from_str(s: &str) -> Result<HeaderText, HeaderTextError> {
        if s.is_empty() {
            return Err(HeaderTextError::Empty);
        }
        if s.chars().any(char::is_control) {
            return Err(HeaderTextError::Control);
        }
        if s.trim() != s {
            return Err(HeaderTextError::Trimmed);
        }
        match s.len() {
            0..=TEXT_MAX => Ok(HeaderText(Arc::from(s))),
            len => Err(HeaderTextError::Long(len)),
        }
    }
}
