//! A request as it was admitted, and the calls that are made for it.

use {
    callers::RequestId,
    endpoints::{
        Call,
        CallId,
        Header,
        Kind, //
    },
    operators::Unit,
    policy::{
        tickets::Grant,
        Job,
        ProfileName,
        ReplicaId,
        Units, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
    xxhash_rust::xxh3::Xxh3,
};

/// The least silence of a stream after which it is probed.
pub(crate) const SILENCE: Duration = Duration::from_secs(2);
/// Part of the time left that a plain call may be silent, so that there is time to try again.
const SILENT_PART: u32 = 3;
/// A request as it was admitted.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) job: Job,
    pub(crate) profile: ProfileName,
    pub(crate) streamed: bool,
    pub(crate) unit: Unit,
    pub(crate) weight: Units,
    pub(crate) idempotent: bool,
    pub(crate) ticket: Option<String>,
    pub(crate) id: RequestId,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Arc<[u8]>,
    pub(crate) deadline: Instant,
}

impl Work {
    /// Returns a hash of what is asked of whom, which a ticket stands for.
    pub(crate) fn print(&self) -> u64 {
        let mut hash = Xxh3::new();
        let names = [
            self.job.service.as_str(),
            self.job.workspace.as_str(),
            &self.method,
            &self.target,
        ];
        for name in names {
            hash.update(name.as_bytes());
            hash.update(b"\n");
        }
        hash.update(&self.body);
        hash.digest()
    }

    /// Makes the call of one try; none where the replica or the method can't be used.
    pub(crate) fn call(
        &self,
        replica: &ReplicaId,
        grant: Option<&Grant>,
        tries: u32,
    ) -> Option<Call> {
        let addr: SocketAddr = replica.as_str().parse().ok()?;
        Some(Call {
            id: self.call_id(grant, tries)?,
            replica: addr,
            method: self.method.parse().ok()?,
            path: self.target.clone(),
            headers: self
                .headers
                .iter()
                .map(|(n, v)| Header::new(n, v))
                .collect(),
            body: self.body.clone(),
            kind: if self.streamed {
                Kind::Stream
            } else {
                Kind::Plain
            },
            idempotent: self.idempotent,
            deadline: self.deadline,
            silence: self.silence(),
        })
    }

    /// Returns how long the endpoint may be silent.
    ///
    /// A plain service says nothing until its answer is ready, so silence proves little: a
    /// call that may be repeated is tried elsewhere while there is time, and one that may
    /// not is waited for. Given up early it would end as may-have-run, though its answer
    /// was only slow.
    fn silence(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        match (self.streamed, self.idempotent) {
            (true, _) => SILENCE,
            (false, true) => (left / SILENT_PART).max(SILENCE),
            (false, false) => left,
        }
    }

    /// Names this try. A ticket's own text names a request that may not be repeated, so
    /// that an endpoint can tell a second run from a first.
    fn call_id(&self, grant: Option<&Grant>, tries: u32) -> Option<CallId> {
        let text = match grant {
            Some(grant) => grant.ticket().to_string().replace('/', "."),
            None => format!("{}.{:016x}.{}", self.id, fastrand::u64(..), tries),
        };
        text.parse().ok()
    }
}
