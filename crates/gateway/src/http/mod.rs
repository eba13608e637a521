//! HTTP/1.1, as far as a proxy of opaque messages needs it.
//!
//! Heads are parsed by `httparse`, as in `async-h1`. `async-h1` itself doesn't fit: it limits heads
//! to 8 KiB where operators allow 16, normalises the target, which has to reach the replica
//! unchanged, and panics on header values that are not ASCII. Nor does it report that a caller
//! disconnected, or let a response be skipped and the next one be read.

mod body;
mod chunk;
mod conn;
mod exchange;
mod head;
mod header_text;
mod listener;
mod response;
mod socket;
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
        StartLine, //
    },
    listener::Listener,
    response::ResponseEncoder,
    socket::{
        Socket,
        Writer, //
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
    header_text::{
        HeaderText,
        HeaderTextError, //
    },
};
