//! Requests under which replicas end.

mod digest;

pub use self::digest::RequestDigest;
