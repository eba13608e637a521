//! Exchange of the reading speeds of engines among routers.

use {
    super::messages::{
        PeerMessage,
        SpeedsMessage, //
    },
    crate::state::{
        Shared,
        Tables, //
    },
    policy::{
        actives::router_key,
        placement::SpeedReport,
        Time, //
    },
};

/// How many engines a datagram names; it fits into the receiver's buffer with all that precedes it.
const MAX_REPLICA_SPEEDS: usize = 300;

impl Shared {
    /// Returns whether a service of the configuration in force uses the speeds that are shared.
    pub(super) fn shares_speeds(&self) -> bool {
        self.current_config().is_some_and(|current| {
            let config = &current.config;
            let mut services = config.services.keys();
            services.any(|service| self.is_tolerant(config.shortest_target(service)))
        })
    }

    /// Applies the speeds that a peer reports.
    ///
    /// Those of unknown engines are ignored: they would count in the mean that is assumed for
    /// engines without samples, and each would take memory.
    pub(super) fn apply_speeds(&self, message: &SpeedsMessage) {
        if message.from == router_key(&self.settings.name, self.incarnation) {
            return;
        }
        let now = self.now();
        let mut tables = self.tables();
        let is_known = |s: &SpeedReport| tables.roster.id_of(s.replica).is_some();
        let speeds = message.speeds.iter().copied();
        let speeds: Vec<SpeedReport> = speeds.filter(is_known).collect();
        tables.fleet_speeds.apply_peer(message.from, &speeds, now);
    }
}

impl Tables {
    /// Returns the message with the speeds that were measured since the last one, if there are any.
    pub(super) fn speeds_message(&mut self, from: u32, now: Time) -> Option<PeerMessage> {
        let speeds = self.fleet_speeds.take_reports(MAX_REPLICA_SPEEDS, now);
        let message = SpeedsMessage { from, speeds };
        (!message.speeds.is_empty()).then_some(PeerMessage::ReplicaSpeeds(message))
    }
}
