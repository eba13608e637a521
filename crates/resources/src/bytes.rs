//! Sizes in bytes.

use {
    std::{
        fmt,
        str::FromStr, //
    },
    thiserror::Error, //
};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// A size in bytes.
///
/// # Examples
///
/// ```
/// use resources::Bytes;
///
/// assert_eq!("16KiB".parse(), Ok(Bytes(16_384)));
/// assert_eq!(Bytes(16_384).to_string(), "16KiB");
/// assert!("16".parse::<Bytes>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

/// Why a size was not accepted.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a size; write a whole number and a unit: `512B`, `16KiB` or `8MiB`")]
pub struct BytesError(String);

impl Bytes {
    /// Returns a size in kibibytes.
    pub fn kib(n: u64) -> Bytes {
        Bytes(n.saturating_mul(KIB))
    }

    /// Returns a size in mebibytes.
    pub fn mib(n: u64) -> Bytes {
        Bytes(n.saturating_mul(MIB))
    }

    /// Returns the size as a length in memory.
    pub fn length(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl FromStr for Bytes {
    type Err = BytesError;

    fn from_str(s: &str) -> Result<Bytes, BytesError> {
        let err = || BytesError(s.to_owned());
        let split = s.find(|c: char| !c.is_ascii_digit()).ok_or_else(err)?;
        let (n, unit) = s.split_at(split);
        let n: u64 = n.parse().map_err(|_| err())?;
        let size = match unit {
            "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            _ => return Err(err()),
        };
        n.checked_mul(size).map(Bytes).ok_or_else(err)
    }
}

/// Sizes of receive buffers. The operating system keeps at least 2 KiB.
const UNREAD_MIN: Bytes = Bytes(2 * KIB);
const UNREAD_MAX: Bytes = Bytes(64 * KIB);

/// Returns how much each connection may send before it is read, so that all of them together stay
/// within a size if that is possible.
///
/// # Examples
///
/// ```
/// use resources::{unread_per_connection, Bytes};
///
/// assert_eq!(unread_per_connection(Bytes::mib(10), 1_024), Bytes(10_240));
/// assert_eq!(unread_per_connection(Bytes::mib(10), 100_000), Bytes(2_048));
/// ```
pub fn unread_per_connection(all: Bytes, connections: usize) -> Bytes {
    let each = Bytes(all.0 / connections.max(1) as u64);
    each.clamp(UNREAD_MIN, UNREAD_MAX)
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % MIB == 0 => write!(f, "{}MiB", n / MIB),
            n if n > 0 && n % KIB == 0 => write!(f, "{}KiB", n / KIB),
            n => write!(f, "{n}B"),
        }
    }
}
