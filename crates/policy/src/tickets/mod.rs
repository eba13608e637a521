//! At-most-once execution of requests that are not idempotent.
//!
//! At any moment, one incarnation of one router holds a ticket, at first the one that issued
//! it. Only the holder may start the request. Another router that gets the request asks the
//! holder, which transfers the ticket if it is unused. This requires neither synchronized
//! clocks nor messages that arrive exactly once, in order or at all.

mod answers;
mod entry;
mod floors;
mod issued;
mod messages;
mod table;
mod ticket;
mod transfer;

pub use self::{
    messages::{
        Answer,
        Claim,
        Grant,
        Record,
        TransferReply,
        TransferRequest, //
    },
    table::{
        Counts,
        RetentionLimits,
        Tickets, //
    },
    ticket::{
        Holder,
        Ticket,
        TicketError, //
    },
};
