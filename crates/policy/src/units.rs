//! Amounts: received service, shares and slots.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        iter::Sum,
        ops::{
            Add,
            AddAssign,
            Sub, //
        },
        str::FromStr, //
    },
    thiserror::Error, //
};

/// Why an amount is invalid.
#[derive(Debug, Error, PartialEq)]
pub enum UnitsError {
    /// The text is not a number.
    #[error("`{0}` is not a number; write one such as `2` or `0.5`")]
    Number(String),
    /// The amount is out of range.
    #[error("{0} is out of range; give a finite number above 0")]
    Range(f64),
}

/// An amount of service: tokens, or answered requests weighted by kind.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Units(pub f64);

/// The share of a workspace: its part of the service relative to other workspaces.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

/// A number of requests that may run at the same time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u32);

impl Share {
    /// The share of a workspace without a configured one.
    pub const ONE: Share = Share(1.0);

    /// Returns the share as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl Units {
    /// Returns this amount divided by a share.
    pub fn over(self, share: Share) -> Units {
        Units(self.0 / share.0)
    }
}

impl TryFrom<f64> for Share {
    type Error = UnitsError;

    fn try_from(n: f64) -> Result<Share, UnitsError> {
        if n.is_finite() && n > 0.0 {
            Ok(Share(n))
        } else {
            Err(UnitsError::Range(n))
        }
    }
}

impl From<Share> for f64 {
    fn from(s: Share) -> f64 {
        s.0
    }
}

impl FromStr for Share {
    type Err = UnitsError;

    fn from_str(s: &str) -> Result<Share, UnitsError> {
        let n: f64 = s.parse().map_err(|_| UnitsError::Number(s.to_owned()))?;
        Share::try_from(n)
    }
}

impl FromStr for Units {
    type Err = UnitsError;

    fn from_str(s: &str) -> Result<Units, UnitsError> {
        let n: f64 = s.parse().map_err(|_| UnitsError::Number(s.to_owned()))?;
        if n.is_finite() && n >= 0.0 {
            Ok(Units(n))
        } else {
            Err(UnitsError::Range(n))
        }
    }
}

impl FromStr for Slots {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Slots, Self::Err> {
        s.parse().map(Slots)
    }
}

impl fmt::Display for Units {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Add for Units {
    type Output = Units;

    fn add(self, o: Units) -> Units {
        Units(self.0 + o.0)
    }
}

impl AddAssign for Units {
    fn add_assign(&mut self, o: Units) {
        self.0 += o.0;
    }
}

impl Sub for Units {
    type Output = Units;

    fn sub(self, o: Units) -> Units {
        Units(self.0 - o.0)
    }
}

impl Sum for Units {
    fn sum<I: Iterator<Item = Units>>(iter: I) -> Units {
        iter.fold(Units::default(), Add::add)
    }
}
