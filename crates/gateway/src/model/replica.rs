//! Replicas as they are listed.

use {
    policy::{
        placement::ReplicaKey,
        ReplicaId,
        ServiceId,
        StartedAt,
        Zone, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::net::SocketAddr, //
};

/// One start of one replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Its id, which a later start may bear again.
    pub id: ReplicaId,
    /// When it started, if it tells; with the id it names this start alone.
    pub born: Option<StartedAt>,
    /// What it offers.
    pub service: ServiceId,
    /// Where it listens. Another replica may get the address once this one is gone.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
}

impl Replica {
    /// Returns the short name of this start, under which all is remembered of it.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"{"id":"i-1","born":null,"service":"s","addr":"10.0.0.1:80","zone":"z",
    ///     "slots":4,"state":"Ready"}"#;
    /// let first: gateway::Replica = serde_json::from_str(text)?;
    /// let mut again = first.clone();
    /// again.born = Some(policy::StartedAt(1_700_000_000_000));
    /// assert_ne!(first.key(), again.key());
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn key(&self) -> ReplicaKey {
        ReplicaKey::of_start(&self.id, self.born)
    }
}

/// Whether a replica takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has and then ends.
    Draining,
}
