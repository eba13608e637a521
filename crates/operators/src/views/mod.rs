//! What a router shows to operators.

mod profiles;
mod status;

pub use self::{
    profiles::{
        ProfileView,
        Profiles, //
    },
    status::{
        Member,
        MemberState,
        ServiceStatus,
        State,
        Status,
        WorkspaceStatus, //
    },
};
