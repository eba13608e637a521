//! Streams that go on after a break: at another replica, or at another router.
//!
//! What two software versions write doesn't fit together, and two services do not either. So a
//! stream may go on only at the service and version that began it, its [`StreamOrigin`].
//! [`StreamTable`] records it, [`VersionHistory`] knows which versions there were while a stream may
//! have begun, and a [`Lookup`] decides from both and from the answers of other routers.

mod history;
mod key;
mod lookup;
mod origin;
mod table;

pub use self::{
    history::{
        ListedVersion,
        VersionHistory, //
    },
    key::StreamKey,
    lookup::{
        Found,
        Knowledge,
        Lookup,
        OriginSource,
        Unknown, //
    },
    origin::StreamOrigin,
    table::{
        KnownStream,
        StreamRecord,
        StreamTable, //
    },
};
