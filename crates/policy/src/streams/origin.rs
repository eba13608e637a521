//! What began a stream.

use {
    crate::{
        ServiceId,
        SoftwareVersion, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::fmt,
};

/// The service and the software version whose replica sent the first event of a stream.
///
/// # Examples
///
/// ```
/// use policy::streams::StreamOrigin;
///
/// let origin = StreamOrigin {
///     service: "drafting-llm".parse()?,
///     version: Some("v1.2".parse()?),
/// };
/// assert_eq!(origin.to_string(), "drafting-llm@v1.2");
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The version; none if the replica doesn't report one.
    pub version: Option<SoftwareVersion>,
}

impl fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version.as_ref().map_or("-", SoftwareVersion::as_str);
        write!(f, "{}@{version}", self.service)
    }
}
