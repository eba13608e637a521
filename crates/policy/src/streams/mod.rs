//! Streams that go on after a break: at another replica, or at another router.
//!
//! What two software versions write doesn't fit together, and two services do not either. So a
//! stream may go on only at the service and version that began it, its [`StreamOrigin`].
//! [`VersionHistory`] knows which versions there were while a stream may have begun.

mod history;
mod origin;

pub use self::{
    history::{
        ListedVersion,
        VersionHistory, //
    },
    origin::StreamOrigin,
};
