//! Client of the key-value service.

use {
    super::{
        error::KvError,
        http::{
            Answer,
            Call,
            Fail,
            Http,
            Options, //
        },
        types::{
            KeyRevision,
            LeaseId, //
        },
    },
    http_types::Method,
    policy::Span,
    serde::{
        de::DeserializeOwned,
        Deserialize, //
    },
    std::{
        collections::BTreeMap,
        sync::Arc, //
    },
};

/// Largest value that the service accepts, in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// A client of the key-value service; clones share connections.
#[derive(Debug, Clone)]
pub struct Kv {
    http: Http,
}

/// A value and the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// The revision.
    pub revision: KeyRevision,
    /// The value.
    pub value: Arc<str>,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Nothing changed within the wait time.
    Same,
    /// The key has another revision; a lower one if the platform was restored.
    Changed(Entry),
    /// The key does not exist.
    Gone,
}

#[derive(Debug, Deserialize)]
struct Written {
    revision: KeyRevision,
}

#[derive(Debug, Deserialize)]
struct Granted {
    id: LeaseId,
}

impl Kv {
    /// Makes a client. It connects with its first call.
    pub fn new(opts: Options) -> Kv {
        Kv {
            http: Http::new(opts),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// [`KvError::Unavailable`], [`KvError::Key`] or [`KvError::Refused`].
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let path = path_of(key)?;
        let answer = self.read("get", path, Span::ZERO).await?;
        match answer.status {
            200 => parse(&answer).map(Some),
            404 => Ok(None),
            status => Err(KvError::Refused(status)),
        }
    }

    /// Waits until a key's revision is above `after`, or `wait` has passed.
    ///
    /// This is one call, however long it waits. It returns at once if the key does not exist and
    /// `after` is not [`KeyRevision::NONE`].
    ///
    /// # Errors
    ///
    /// [`KvError::Unavailable`], [`KvError::Key`] or [`KvError::Refused`].
    pub async fn watch(
        &self,
        key: &str,
        after: KeyRevision,
        wait: Span,
    ) -> Result<Watched, KvError> {
        let path = path_of(key)?;
        let path = format!("{path}?watch={after}&wait={}", wait.as_millis());
        let answer = self.read("watch", path, wait).await?;
        match answer.status {
            200 => parse(&answer).map(Watched::Changed),
            304 => Ok(Watched::Same),
            404 => Ok(Watched::Gone),
            status => Err(KvError::Refused(status)),
        }
    }

    /// Writes a key that is at revision `cas`, and binds it to a lease if one is given.
    ///
    /// # Errors
    ///
    /// [`KvError::Conflict`], [`KvError::TooLarge`], [`KvError::LeaseEnded`],
    /// [`KvError::Unknown`] if it may have been done, and those of a read.
    pub async fn put(
        &self,
        key: &str,
        value: Arc<str>,
        cas: KeyRevision,
        lease: Option<LeaseId>,
    ) -> Result<KeyRevision, KvError> {
        let size = value.len();
        let too_large = || KvError::TooLarge {
            key: key.to_owned(),
            size,
            limit: VALUE_MAX,
        };
        if size > VALUE_MAX {
            return Err(too_large());
        }
        let mut path = format!("{}?cas={cas}", path_of(key)?);
        if let Some(id) = lease {
            path += &format!("&lease={id}");
        }
        let answer = self.write("put", Method::Put, path, Some(value)).await?;
        match answer.status {
            200 => parse_written(&answer),
            412 => Err(conflict(&answer)?),
            413 => Err(too_large()),
            410 => Err(KvError::LeaseEnded(lease.unwrap_or(LeaseId(0)))),
            status => Err(KvError::Refused(status)),
        }
    }

    /// Removes a key that is at revision `cas`.
    ///
    /// # Errors
    ///
    /// As for [`Kv::put`].
    pub async fn delete(&self, key: &str, cas: KeyRevision) -> Result<(), KvError> {
        let path = format!("{}?cas={cas}", path_of(key)?);
        let answer = self.write("delete", Method::Delete, path, None).await?;
        match answer.status {
            200 => Ok(()),
            412 => Err(conflict(&answer)?),
            status => Err(KvError::Refused(status)),
        }
    }

    /// Returns the calls made so far, by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.http.counts()
    }

    pub(crate) async fn grant(&self, ttl: Span) -> Result<LeaseId, KvError> {
        let path = format!("/v1/lease?ttl={}", ttl.as_millis());
        let answer = self.write("grant", Method::Post, path, None).await?;
        match answer.status {
            200 => parse::<Granted>(&answer).map(|g| g.id).map_err(unknown),
            status => Err(KvError::Refused(status)),
        }
    }

    pub(crate) async fn renew(&self, id: LeaseId) -> Result<(), KvError> {
        self.end_or_renew("renew", Method::Put, id).await
    }

    pub(crate) async fn revoke(&self, id: LeaseId) -> Result<(), KvError> {
        self.end_or_renew("revoke", Method::Delete, id).await
    }

    async fn end_or_renew(
        &self,
        kind: &'static str,
        method: Method,
        id: LeaseId,
    ) -> Result<(), KvError> {
        let path = format!("/v1/lease/{id}");
        let answer = self.write(kind, method, path, None).await?;
        match answer.status {
            200 => Ok(()),
            410 => Err(KvError::LeaseEnded(id)),
            status => Err(KvError::Refused(status)),
        }
    }

    async fn read(&self, kind: &'static str, path: String, wait: Span) -> Result<Answer, KvError> {
        let call = Call {
            kind,
            method: Method::Get,
            path,
            body: None,
            wait,
        };
        self.http.call(call).await.map_err(unavailable)
    }

    async fn write(
        &self,
        kind: &'static str,
        method: Method,
        path: String,
        body: Option<Arc<str>>,
    ) -> Result<Answer, KvError> {
        let call = Call {
            kind,
            method,
            path,
            body,
            wait: Span::ZERO,
        };
        // A service that answers with an error of its own may have done the write before.
        self.http.call(call).await.map_err(|fail| match fail.sent {
            true => KvError::Unknown { cause: fail.cause },
            false => unavailable(fail),
        })
    }
}

fn path_of(key: &str) -> Result<String, KvError> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    let dots = key.split('/').any(|s| s.is_empty() || s.starts_with('.'));
    if dots || !key.chars().all(fits) {
        return Err(KvError::Key(key.to_owned()));
    }
    Ok(format!("/v1/kv/{key}"))
}

pub(crate) fn unavailable(fail: Fail) -> KvError {
    KvError::Unavailable {
        cause: fail.cause,
        retry: fail.retry,
    }
}

fn unknown(e: KvError) -> KvError {
    KvError::Unknown {
        cause: e.to_string(),
    }
}

pub(crate) fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, KvError> {
    serde_json::from_slice(&answer.body).map_err(unreadable)
}

pub(crate) fn unreadable(e: serde_json::Error) -> KvError {
    KvError::Unavailable {
        cause: format!("its answer can't be read: {e}"),
        retry: Span::ZERO,
    }
}

fn parse_written(answer: &Answer) -> Result<KeyRevision, KvError> {
    let written = parse::<Written>(answer).map_err(unknown)?;
    Ok(written.revision)
}

fn conflict(answer: &Answer) -> Result<KvError, KvError> {
    let current = parse::<Written>(answer)?.revision;
    Ok(KvError::Conflict { current })
}
