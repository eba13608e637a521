//! Entries of the list of replicas.

use {
    policy::{
        placement::ReplicaKey,
        streams::StreamOrigin,
        warmup::ColdReport,
        ReplicaId,
        ServiceId,
        SoftwareVersion,
        StartedAt,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr, //
};

/// A replica, from one start to its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The replica's id, which a later start may reuse.
    pub id: ReplicaId,
    /// Time of its start, if it reports one. Together with the id it identifies this start.
    #[serde(rename = "born")]
    pub started_at: Option<StartedAt>,
    /// The service that it offers.
    pub service: ServiceId,
    /// Where it listens. Another replica may reuse the address after this one departed.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// The version of its software, if it reports one.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// What it last reported about being cold. Lists of peers don't tell, as peers report cold
    /// replicas by themselves.
    #[serde(skip)]
    pub cold: Option<ColdReport>,
}

impl Replica {
    /// Returns the key of this start, by which the gateway stores data on it.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"{"id":"i-1","born":null,"service":"s","addr":"10.0.0.1:80","zone":"z",
    ///     "slots":4,"state":"Ready"}"#;
    /// let first: gateway::Replica = serde_json::from_str(text)?;
    /// let mut again = first.clone();
    /// again.started_at = Some(policy::StartedAt(1_700_000_000_000));
    /// assert_ne!(first.key(), again.key());
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn key(&self) -> ReplicaKey {
        ReplicaKey::of_start(&self.id, self.started_at)
    }

    /// Returns whether another entry under the same id stands for the same process.
    ///
    /// An entry without a start time shows a restart only by what else differs.
    pub(crate) fn is_same_start(&self, other: &Replica) -> bool {
        self.key() == other.key() && self.service == other.service && self.version == other.version
    }

    /// Returns what a stream that this replica begins is bound to.
    pub(crate) fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            service: self.service.clone(),
            version: self.version.clone(),
        }
    }
}

/// Whether a replica accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests and then ends.
    Draining,
}

#[cfg(test)]
mod tests;
