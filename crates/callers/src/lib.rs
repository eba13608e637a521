//! The callers' side: address answers, requests and their outcomes.
//!
//! [`Server`] takes requests over HTTP/1.1 and hands each to one closure; [`Client`] is the
//! other end, for the program's own commands and for measurements. The interface itself is
//! described in `docs/CALLERS.md`.

mod addresses;
mod client;
mod connection;
mod disconnect;
mod headers;
mod limits;
mod parse;
mod refused;
mod request;
mod response;
mod server;
mod stream_body;
mod tune;
mod wire;

pub use self::{
    addresses::{
        Address,
        AddressList,
        AddressListQuery, //
    },
    client::{
        Answer,
        Call,
        Client,
        ClientSettings, //
    },
    disconnect::DisconnectSignal,
    headers::{
        DEADLINE_MS,
        OUTCOME,
        PROFILE,
        REQUEST_ID,
        RETRY_AFTER,
        RETRY_MS,
        SERVICE,
        TICKET,
        WHERE_PATH,
        WORKSPACE, //
    },
    limits::Limits,
    refused::{
        Reason, //
        Refused,
    },
    request::{
        IncomingRequest,
        Request,
        RequestId, //
    },
    response::{
        Body,
        Piece,
        Response, //
    },
    server::Server,
};
