//! At most once for requests that are not idempotent.
//!
//! A ticket is held by one start of one router at any moment: first by the one that issued
//! it. Only its holder may start the request. Another router that gets the request asks the
//! holder, which gives the ticket away if it is unused. Nothing here depends on clocks
//! agreeing, or on messages arriving once, in order or at all.

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
