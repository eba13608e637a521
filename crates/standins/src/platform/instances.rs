//! The list of instances, which is served with a lag.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// The purpose of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the fleet.
    Router,
    /// A replica of a service.
    Endpoint,
}

/// Whether an instance keeps running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It serves.
    #[default]
    Live,
    /// It ends soon and gets no new requests.
    Leaving,
}

/// One instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Its purpose.
    pub role: Role,
    /// The service that an endpoint offers; none for a router.
    #[serde(default)]
    pub service: Option<String>,
    /// Address for other processes of the system.
    pub addr: SocketAddr,
    /// Address for callers; none for an endpoint.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether it keeps running.
    #[serde(default)]
    pub state: State,
}

/// The current list, the lists that are still to be served, and the one that is served.
#[derive(Debug)]
pub(crate) struct Instances {
    lag: Duration,
    last: BTreeMap<String, Instance>,
    revision: u64,
    lists: Vec<Dated>,
    shown: Listed,
}

#[derive(Debug, Clone)]
struct Dated {
    at: Instant,
    list: Listed,
}

/// A list as it was at a revision.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Listed {
    pub(crate) revision: u64,
    pub(crate) instances: Vec<Instance>,
}

impl Instances {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            last: BTreeMap::new(),
            revision: 0,
            lists: Vec::new(),
            shown: Listed::default(),
        }
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Starts over with an empty list.
    pub(crate) fn restart_empty(&mut self) {
        *self = Self::new(self.lag);
    }

    /// Adds instances, or changes those of the same name.
    pub(crate) fn put(&mut self, list: Vec<Instance>, now: Instant) {
        for i in list {
            self.last.insert(i.name.clone(), i);
        }
        self.changed(now);
    }

    /// Removes an instance from the list. Returns whether it was there.
    pub(crate) fn remove(&mut self, name: &str, now: Instant) -> bool {
        let found = self.last.remove(name).is_some();
        if found {
            self.changed(now);
        }
        found
    }

    /// Changes the state of an instance. Returns whether it is there.
    pub(crate) fn set_state(&mut self, name: &str, state: State, now: Instant) -> bool {
        let Some(i) = self.last.get_mut(name) else {
            return false;
        };
        i.state = state;
        self.changed(now);
        true
    }

    fn changed(&mut self, now: Instant) {
        self.revision += 1;
        let list = Listed {
            revision: self.revision,
            instances: self.last.values().cloned().collect(),
        };
        self.lists.push(Dated { at: now, list });
    }

    /// Returns the list as it was one lag ago, or the last one served if that is newer.
    pub(crate) fn shown(&mut self, now: Instant) -> Listed {
        let due = self.lists.iter().rposition(|d| d.at + self.lag <= now);
        if let Some(i) = due {
            let last = self.lists.drain(..=i).next_back();
            self.shown = last.map(|d| d.list).unwrap_or_default();
        }
        self.shown.clone()
    }
}
