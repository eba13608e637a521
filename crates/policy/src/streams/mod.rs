//! Streams that go on after a break: at another replica, or at another router.

mod origin;

pub use self::origin::StreamOrigin;
