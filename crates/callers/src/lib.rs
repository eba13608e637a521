//! The caller API: address lists, requests and their outcomes.
//!
//! [`Server`] accepts requests over HTTP/1.1 and passes each to a handler. [`Client`] is the
//! client side, used by the program's commands and for measurements. The API is described in
//! `docs/CALLERS.md`.

mod addresses;
mod caller_socket;
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
mod socket_options;
mod stream_body;

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
        Reason,
        Refused, //
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
