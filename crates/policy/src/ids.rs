//! Names of routers, workspaces, services and so on, each with its own type.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        num::ParseIntError,
        str::FromStr,
        sync::Arc, //
    },
    thiserror::Error,
    xxhash_rust::xxh3::xxh3_64, //
};

/// Maximum length of a name, in bytes.
const NAME_MAX: usize = 64;
/// Bytes of a text that remain readable in the name derived from it.
const DERIVED_PREFIX_MAX: usize = 40;

/// Why a name is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The name is empty.
    #[error("the name is empty; give 1 to {NAME_MAX} letters, digits or any of `-_.:`")]
    Empty,
    /// The name is too long.
    #[error("the name has {0} bytes; shorten it to at most {NAME_MAX}")]
    Long(usize),
    /// The name holds a character that is not allowed.
    #[error("the name holds `{0}`; use letters, digits and `-_.:` only")]
    Character(char),
}

fn check(s: &str) -> Result<(), IdError> {
    if s.is_empty() {
        return Err(IdError::Empty);
    }
    if s.len() > NAME_MAX {
        return Err(IdError::Long(s.len()));
    }
    match s.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_.:".contains(c)
}

/// Returns a valid name for any text: the text itself if it is one, otherwise its start, with other
/// characters replaced, and a hash of all of it, which keeps the names of similar texts apart.
///
/// # Examples
///
/// ```
/// assert_eq!(policy::plain_name("north-shore"), "north-shore");
/// assert!(policy::plain_name("North Shore").starts_with("North-Shore:"));
/// assert_ne!(policy::plain_name("North Shore"), policy::plain_name("North/Shore"));
/// ```
pub fn plain_name(text: &str) -> String {
    if check(text).is_ok() {
        return text.to_owned();
    }
    let allowed = |c| if is_allowed(c) { c } else { '-' };
    let start: String = text.chars().map(allowed).take(DERIVED_PREFIX_MAX).collect();
    format!("{start}:{:016x}", xxh3_64(text.as_bytes()))
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the name for any text, as [`plain_name`] does.
            pub fn from_text(text: &str) -> Self {
                Self(Arc::from(plain_name(text)))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                check(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl TryFrom<String> for $type {
            type Error = IdError;

            fn try_from(s: String) -> Result<Self, IdError> {
                s.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

name! {
    /// Name of a router, unique in the fleet, from its settings.
    RouterId
}
name! {
    /// Name of a workspace, whose callers share its part of the capacity.
    ///
    /// # Examples
    ///
    /// ```
    /// use policy::WorkspaceId;
    ///
    /// assert!("North Shore".parse::<WorkspaceId>().is_err());
    /// assert!(WorkspaceId::from_text("North Shore").as_str().starts_with("North-Shore:"));
    /// ```
    WorkspaceId
}
name! {
    /// Name of a service that endpoints offer, such as `drafting-llm`.
    ServiceId
}
name! {
    /// Name of a profile that operators define.
    ProfileName
}
name! {
    /// Name of one endpoint (a replica of a service): its address `IP:PORT`.
    ReplicaId
}
name! {
    /// Name of an availability zone.
    Zone
}
name! {
    /// Name of a region, which has several availability zones.
    Region
}

/// An incarnation of a router: a later start has a higher number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(s, 16).map(Self)
    }
}

/// The version of a replica's software. Versions are not ordered.
///
/// # Examples
///
/// ```
/// use policy::SoftwareVersion;
///
/// let version: SoftwareVersion = "v1.2+build 7".parse()?;
/// assert_eq!(version.to_string(), "v1.2+build 7");
/// assert!("".parse::<SoftwareVersion>().is_err());
/// # Ok::<(), policy::IdError>(())
/// ```
///
/// # Errors
///
/// Parsing fails if the text is empty.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = IdError;

    fn from_str(s: &str) -> Result<SoftwareVersion, IdError> {
        match s.is_empty() {
            true => Err(IdError::Empty),
            false => Ok(SoftwareVersion(Arc::from(s))),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = IdError;

    fn try_from(s: String) -> Result<SoftwareVersion, IdError> {
        s.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.as_str().to_owned()
    }
}

/// When a replica started, in Unix milliseconds of its own clock.
///
/// It distinguishes two incarnations under one id, but doesn't order them, as clocks may be reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartedAt(pub u64);

impl fmt::Display for StartedAt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The era of the store that an answer belongs to.
///
/// It increases each time that the store comes back from an older copy. Revisions and leases of
/// different eras are unrelated, since their numbers are assigned again.
///
/// # Examples
///
/// ```
/// use policy::Era;
///
/// let era: Era = "3".parse()?;
/// assert!(era > Era::default());
/// assert_eq!(era.to_string(), "3");
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
///
/// # Errors
///
/// Parsing fails if the text is not an integer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Era, ParseIntError> {
        s.parse().map(Era)
    }
}
