//! A fleet to prove things on.

mod calls;
mod eye;
mod fleet;
mod load;
mod router;
#[path = "../../common/signal.rs"]
mod signal;
mod slots;
mod wait;

pub(crate) use self::{
    calls::{
        ask_again,
        draft,
        record,
        send,
        spawn_send,
        tickets,
        Loss,
        Reply,
        Work, //
    },
    eye::{
        Eye,
        Look, //
    },
    fleet::{
        Fleet,
        Plan, //
    },
    load::Load,
    router::Router,
    signal::Signal,
    wait::wait_for,
};
