//! Exchange of state with the other routers of the fleet.

mod documents;
mod messages;
mod receiver;
mod replica_list;
mod sender;
mod speeds;
mod streams;

pub(crate) use self::{
    documents::serve_documents,
    receiver::receive_messages,
    replica_list::ListTransfers,
    sender::send_messages,
    streams::{
        ask,
        tell,
        Lookups, //
    },
};
