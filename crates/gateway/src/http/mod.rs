//! HTTP/1.1 as far as passing on opaque messages needs it.
//!
//! Heads are read by `httparse`, the parser that `async-h1` stands on. `async-h1` itself does
//! not fit here: it reads no head over 8 KiB where operators allow 16, normalises the target
//! which has to reach the replica unchanged, panics on header values that are not ASCII, and
//! neither tells of a caller that hangs up nor reads a response in place of an extra one.

mod body;
mod chunk;
mod conn;
mod exchange;
mod head;
mod write;

pub(crate) use self::{
    body::{
        Body,
        Framing, //
    },
    conn::{
        Conn,
        ReadError, //
    },
    head::{
        Head,
        HeadError,
        Line, //
    },
    write::{
        chunk,
        LAST_CHUNK, //
    },
};
pub use self::{
    exchange::{
        exchange,
        Answer,
        ClientRequest,
        ExchangeError,
        IdleConnection, //
    },
    head::{
        Header,
        Headers, //
    },
};
