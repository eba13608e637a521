//! The ticket, its holder, and its text form.

use {
    crate::{
        IdError,
        Incarnation,
        RouterId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        num::ParseIntError,
        str::FromStr, //
    },
    thiserror::Error, //
};

/// The right to start one request that is not idempotent, once.
///
/// # Examples
///
/// ```
/// use policy::tickets::Ticket;
///
/// let t: Ticket = "hall-a-1/1f/42".parse().unwrap();
/// assert_eq!(t.number, 42);
/// assert_eq!(t.to_string(), "hall-a-1/1f/42");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    /// The router that issued it.
    pub router: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// Its number among the tickets of that incarnation.
    pub number: u64,
}

/// One incarnation of a router, as the holder of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// An error in the text form of a ticket.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not have three parts.
    #[error("`{0}` is no ticket; send one as given by the address answer, `ROUTER/START/NUMBER`")]
    Shape(String),
    /// The router's name is invalid.
    #[error("the ticket's router is no name: {0}; send the ticket as it was given")]
    Router(#[from] IdError),
    /// The incarnation or the number is invalid.
    #[error("the ticket's numbers are wrong: {0}; send the ticket as it was given")]
    Number(#[from] ParseIntError),
}

impl Ticket {
    /// Returns the router incarnation that issued it.
    pub fn issuer(&self) -> Holder {
        Holder {
            router: self.router.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.router, self.incarnation, self.number)
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.router, self.incarnation)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(s: &str) -> Result<Ticket, TicketError> {
        let mut parts = s.split('/');
        let (Some(router), Some(start), Some(number), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TicketError::Shape(s.to_owned()));
        };
        Ok(Ticket {
            router: router.parse()?,
            incarnation: start.parse()?,
            number: number.parse()?,
        })
    }
}

impl TryFrom<String> for Ticket {
    type Error = TicketError;

    fn try_from(s: String) -> Result<Ticket, TicketError> {
        s.parse()
    }
}

impl From<Ticket> for String {
    fn from(t: Ticket) -> String {
        t.to_string()
    }
}
