//! The decisions of the routers, as pure state machines.
//!
//! Nothing here does I/O, reads a clock or draws its own random numbers: the caller passes the time
//! and a seed. So each decision can be fuzzed against an oracle, replayed from a golden file and
//! benchmarked without a network.

pub mod actives;
mod address;
mod answer_state;
mod dispatch;
mod eras;
mod evacuation;
pub mod head;
mod ids;
pub mod limit;
pub mod members;
mod outcome;
mod overload;
pub mod placement;
mod pool;
pub mod quarantine;
pub mod quota;
mod registration;
pub mod rendezvous;
pub mod retry;
mod revision;
mod roster;
mod service;
mod shares;
mod startup;
pub mod streams;
pub mod tickets;
mod time;
mod turn;
mod units;
mod validity;
pub mod warmup;
mod watch;

pub use self::{
    address::{
        check_address,
        AddressError, //
    },
    answer_state::AnswerState,
    dispatch::{
        Action,
        Completion,
        Dispatch,
        DispatchDump,
        GranteeDump,
        Job,
        JobId,
        Message,
        Mode,
        Peer,
        PeerState,
        PreferredRouter,
        QueueDump,
        Replica,
        ReplicaDump,
        Report,
        Rules,
        ServiceDump,
        ServiceRules,
        SlotGrant,
        Unit,
        WorkspaceShare, //
    },
    eras::Eras,
    evacuation::{
        EvacuationOrders,
        EvacuationUpdate,
        Evacuations,
        ZoneChange, //
    },
    ids::{
        plain_name,
        Era,
        IdError,
        Incarnation,
        ProfileName,
        Region,
        ReplicaId,
        RouterId,
        ServiceId,
        SoftwareVersion,
        StartedAt,
        WorkspaceId,
        Zone, //
    },
    outcome::{
        Outcome,
        OutcomeError,
        Refusal, //
    },
    overload::Overload,
    registration::{
        entry_state,
        EntrySeen,
        EntryState, //
    },
    revision::{
        Revision,
        RevisionError, //
    },
    roster::{
        EntryChange,
        Listed,
        Roster,
        RosterChange,
        Update, //
    },
    shares::{
        gap_bound,
        GapTerms,
        UsageUpdates, //
    },
    startup::{
        reads_store_at_start,
        StartView, //
    },
    time::{
        Span,
        SpanError,
        Time, //
    },
    units::{
        Share,
        Slots,
        Units,
        UnitsError, //
    },
    validity::Validity,
    watch::Watch,
};
