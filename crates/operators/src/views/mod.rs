//! Views of a router for operators.

mod profiles;
mod status;

pub use self::{
    profiles::{
        ProfileView,
        Profiles, //
    },
    status::{
        InForce,
        Member,
        MemberState,
        ServiceStatus,
        State,
        Status,
        WorkspaceStatus, //
    },
};
