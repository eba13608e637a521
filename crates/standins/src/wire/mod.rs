//! HTTP by hand below the stand-ins, so that every fault can be played at any byte.

mod fault;
mod http;
mod serve;

pub use self::fault::{
    Fault,
    FaultOrder,
    Faults, //
};
pub(crate) use self::{
    http::{
        head,
        whole,
        Ask,
        Conn, //
    },
    serve::{
        listen,
        Running, //
    },
};
