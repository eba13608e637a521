//! An admitted request, and the calls to endpoints that are made for it.

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

/// Silence of a stream after which it is probed; also the shortest timeout of a plain call.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// A plain call may be silent for the time left divided by this, so that a retry has time.
const SILENCE_DIVISOR: u32 = 3;

/// A request as it was admitted.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
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

impl AdmittedRequest {
    /// Returns a hash of the request, which tells whether a ticket is used for another one.
    pub(crate) fn fingerprint(&self) -> u64 {
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

    /// Builds the call of one attempt; none if the replica's address or the method is invalid.
    pub(crate) fn call(
        &self,
        replica: &ReplicaId,
        grant: Option<&Grant>,
        attempt: u32,
    ) -> Option<Call> {
        let addr: SocketAddr = replica.as_str().parse().ok()?;
        Some(Call {
            id: self.call_id(grant, attempt)?,
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
            silence_timeout: self.silence(),
        })
    }

    /// Returns how long the endpoint may be silent.
    ///
    /// A plain service sends nothing until its answer is ready, so silence proves little. A
    /// call that may be repeated is retried elsewhere while there is time. One that may not is
    /// awaited until its deadline: given up early, it would end as may-have-run although its
    /// answer was only slow.
    fn silence(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        match (self.streamed, self.idempotent) {
            (true, _) => SILENCE_TIMEOUT,
            (false, true) => (left / SILENCE_DIVISOR).max(SILENCE_TIMEOUT),
            (false, false) => left,
        }
    }

    /// Returns the id of an attempt. A request that may not be repeated has its ticket as the
    /// id, so that an endpoint can recognize a second run.
    fn call_id(&self, grant: Option<&Grant>, attempt: u32) -> Option<CallId> {
        let text = match grant {
            Some(grant) => grant.ticket().to_string().replace('/', "."),
            None => format!("{}.{:016x}.{}", self.id, fastrand::u64(..), attempt),
        };
        text.parse().ok()
    }
}
