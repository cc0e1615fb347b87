//! The interface to the platform's key-value service.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use heatherknot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::error::StoreError;

/// The future returned by a call to the store.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The messages of a watch. The stream ends after an error.
pub type WatchStream = LocalBoxStream<'static, Result<WatchMessage, StoreError>>;

/// The era of the store. It rises by one each time the store loses its latest changes and comes back
/// from a copy. Zero in stores that have no eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A revision of the store, ordered by era first.
///
/// Within an era the number grows with every write. A new era gives numbers of the previous one out
/// again, so that numbers of different eras can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The era.
    pub era: StoreEra,
    /// The number. Zero means "does not exist" in a comparison and "from the next change on" in a
    /// watch.
    pub number: u64,
}

impl StoreRevision {
    /// The revision before all others.
    pub const ZERO: Self = Self {
        era: StoreEra(0),
        number: 0,
    };

    /// Creates the revision with this number in an era.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the revision after this one, in the same era.
    pub const fn next(self) -> Self {
        Self::new(self.era, self.number + 1)
    }
}

impl From<u64> for StoreRevision {
    /// Creates a revision of a store that has no eras.
    fn from(number: u64) -> Self {
        Self::new(StoreEra(0), number)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            StoreEra(0) => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

/// The identifier of a lease. Zero means "no lease".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// A key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// The revision at which the key was created.
    pub create_revision: StoreRevision,
    /// The revision at which the key was last modified.
    pub mod_revision: StoreRevision,
    /// The lease that the key is attached to.
    pub lease: LeaseId,
}

/// A request to read one key or a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    pub key: String,
    /// The exclusive end of the range, or `None` to read a single key.
    pub end: Option<String>,
    /// The maximum number of keys to return, or zero for no limit.
    pub limit: u32,
    /// Whether a response that is a few seconds old is acceptable. Some stores serve such reads at
    /// lower cost; the others ignore this.
    pub may_be_stale: bool,
}

impl RangeRequest {
    /// Creates a request for a single key.
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            end: None,
            limit: 0,
            may_be_stale: false,
        }
    }

    /// Creates a request for all keys that start with `prefix`.
    pub fn prefix(prefix: impl Into<String>) -> Self {
        let key = prefix.into();
        let end = prefix_end(&key);
        Self {
            key,
            end: Some(end),
            limit: 0,
            may_be_stale: false,
        }
    }

    /// Creates a request for the keys from `first` up to, but not including, `end`.
    pub fn between(first: impl Into<String>, end: impl Into<String>) -> Self {
        Self {
            key: first.into(),
            end: Some(end.into()),
            limit: 0,
            may_be_stale: false,
        }
    }

    /// Sets the maximum number of keys to return.
    pub fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
pub fn prefix_end(prefix: &str) -> String {
    let mut chars: Vec<char> = prefix.chars().collect();
    while let Some(last) = chars.pop() {
        let next = (last as u32 + 1..=char::MAX as u32).find_map(char::from_u32);
        if let Some(next) = next {
            chars.push(next);
            return chars.into_iter().collect();
        }
    }
    "\0".to_owned()
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// The store's revision at the time of the read.
    pub revision: StoreRevision,
    /// The keys found, in ascending order.
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit allowed.
    pub more: bool,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last modified at this revision; zero if it does not exist.
    ModRevision(String, StoreRevision),
    /// The key was created at this revision; zero if it does not exist.
    CreateRevision(String, StoreRevision),
}

impl Compare {
    /// Requires that the key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::CreateRevision(key.into(), StoreRevision::ZERO)
    }

    /// Requires that the key was last modified at `revision`.
    pub fn unchanged(key: impl Into<String>, revision: StoreRevision) -> Self {
        Self::ModRevision(key.into(), revision)
    }
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads keys.
    Range(RangeRequest),
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value, at most one megabyte.
        value: Bytes,
        /// The lease that the key is attached to. The key is deleted when the lease ends.
        lease: LeaseId,
    },
    /// Deletes a key or a range of keys.
    Delete {
        /// The key, or the first key of the range.
        key: String,
        /// The exclusive end of the range, or `None` to delete a single key.
        end: Option<String>,
    },
}

impl Op {
    /// Creates an operation that writes a key without a lease.
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: LeaseId(0),
        }
    }

    /// Creates an operation that reads one key.
    pub fn get(key: impl Into<String>) -> Self {
        Self::Range(RangeRequest::key(key))
    }

    /// Creates an operation that deletes one key.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete {
            key: key.into(),
            end: None,
        }
    }
}

/// A transaction: the store atomically applies one of two lists of operations, depending on
/// whether all preconditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The preconditions.
    pub compares: Vec<Compare>,
    /// The operations applied if all preconditions hold.
    pub success: Vec<Op>,
    /// The operations applied otherwise.
    pub failure: Vec<Op>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnResponse {
    /// The store's revision after the transaction.
    pub revision: StoreRevision,
    /// Whether all preconditions held.
    pub succeeded: bool,
    /// The results of the applied [`Op::Range`] operations, in order.
    pub ranges: Vec<RangeResponse>,
}

impl TxnResponse {
    /// Returns the first key found by the read at `index`.
    pub fn first_kv(&self, index: usize) -> Option<&KeyValue> {
        self.ranges.get(index)?.kvs.first()
    }
}

/// A lease as granted or extended by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The identifier of the lease.
    pub id: LeaseId,
    /// The time to live, counted from when the store granted or extended the lease.
    pub ttl: Millis,
}

/// A request to watch one key or a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The key, or the first key of the range.
    pub key: String,
    /// The exclusive end of the range, or `None` to watch a single key.
    pub end: Option<String>,
    /// The first revision to report, or zero to start with the next change.
    pub start: StoreRevision,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted at this revision.
    Delete(String, StoreRevision),
}

/// A message of a watch. A message without events only shows that the watch is alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchMessage {
    /// The store's revision when the message was sent.
    pub revision: StoreRevision,
    /// The changes, oldest first.
    pub events: Vec<Event>,
}

/// The platform's key-value service, implemented by an adapter or a test fake.
///
/// The adapter bounds the duration of every call. The handle is cheap to clone and can be used on
/// one thread only.
#[derive(Clone)]
pub struct Store {
    /// The address of the service, named in errors.
    pub peer: SocketAddr,
    /// Reads keys.
    pub range: Rc<dyn Fn(RangeRequest) -> StoreFuture<RangeResponse>>,
    /// Runs a transaction.
    pub txn: Rc<dyn Fn(Txn) -> StoreFuture<TxnResponse>>,
    /// Grants a lease with at least the given time to live.
    pub lease_grant: Rc<dyn Fn(Millis) -> StoreFuture<Lease>>,
    /// Resets a lease to its full time to live.
    pub lease_keepalive: Rc<dyn Fn(LeaseId) -> StoreFuture<Lease>>,
    /// Revokes a lease and deletes the keys that are attached to it.
    pub lease_revoke: Rc<dyn Fn(LeaseId) -> StoreFuture<()>>,
    /// Starts a watch. The future completes once the store has confirmed the watch.
    pub watch: Rc<dyn Fn(WatchRequest) -> StoreFuture<WatchStream>>,
}

impl Store {
    /// Reads one key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let found = (self.range)(RangeRequest::key(key)).await?;
        Ok(found.kvs.into_iter().next())
    }

    /// Reads a range of keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails.
    pub async fn range(&self, req: RangeRequest) -> Result<RangeResponse, StoreError> {
        (self.range)(req).await
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; it tells whether the transaction may have been applied.
    pub async fn txn(&self, txn: Txn) -> Result<TxnResponse, StoreError> {
        (self.txn)(txn).await
    }

    /// Writes one key without a precondition.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; it tells whether the write may have been applied.
    pub async fn put(
        &self,
        key: &str,
        value: impl Into<Bytes>,
    ) -> Result<StoreRevision, StoreError> {
        let txn = Txn {
            success: vec![Op::put(key, value)],
            ..Txn::default()
        };
        Ok(self.txn(txn).await?.revision)
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}
