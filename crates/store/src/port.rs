//! The port to the platform's key-value service.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use heatherknot_types::prelude::*;

use crate::error::StoreError;

/// What a call on the store gives.
pub type StoreFuture<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The messages of one watch, until it ends or fails.
pub type WatchStream = LocalBoxStream<'static, Result<WatchMessage, StoreError>>;

/// The store's own count of its transactions. Zero stands for "never" and "newest".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of a lease. Zero stands for "no lease".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// One key as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, at most a megabyte.
    pub value: Bytes,
    /// The revision at which the key was created.
    pub create_revision: StoreRevision,
    /// The revision of the last change.
    pub mod_revision: StoreRevision,
    /// The lease that the key is tied to.
    pub lease: LeaseId,
}

/// Which keys to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRequest {
    /// The only key, or the first key of a range.
    pub key: String,
    /// The first key past the range; `None` reads the one key.
    pub end: Option<String>,
    /// The most keys to return; zero for no limit.
    pub limit: u32,
    /// Whether an answer that is seconds old will do. A store may give such answers at less
    /// cost; one that can't gives a current one.
    pub may_be_stale: bool,
}

impl RangeRequest {
    /// Reads one key.
    pub fn key(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            end: None,
            limit: 0,
            may_be_stale: false,
        }
    }

    /// Reads every key that starts with `prefix`.
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

    /// Reads the keys from `first` up to `end`, which is left out.
    pub fn between(first: impl Into<String>, end: impl Into<String>) -> Self {
        Self {
            key: first.into(),
            end: Some(end.into()),
            limit: 0,
            may_be_stale: false,
        }
    }

    /// Sets the most keys to return.
    pub fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }
}

/// Gives the first key past all keys that start with `prefix`.
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

/// The keys that a read found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// The store's revision at the time of the read.
    pub revision: StoreRevision,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether keys were left out because of the limit.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was last changed at this revision; zero for a key that does not exist.
    ModRevision(String, StoreRevision),
    /// The key was created at this revision; zero for a key that does not exist.
    CreateRevision(String, StoreRevision),
}

impl Compare {
    /// Requires that the key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::CreateRevision(key.into(), StoreRevision(0))
    }

    /// Requires that the key was last changed at `revision`.
    pub fn unchanged(key: impl Into<String>, revision: StoreRevision) -> Self {
        Self::ModRevision(key.into(), revision)
    }
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads keys.
    Range(RangeRequest),
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value, at most a megabyte.
        value: Bytes,
        /// The lease whose end deletes the key.
        lease: LeaseId,
    },
    /// Deletes a key, or the keys up to `end`, which is left out.
    Delete {
        /// The only key, or the first key of a range.
        key: String,
        /// The first key past the range.
        end: Option<String>,
    },
}

impl Op {
    /// Writes a key that is tied to no lease.
    pub fn put(key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: LeaseId(0),
        }
    }

    /// Reads one key.
    pub fn get(key: impl Into<String>) -> Self {
        Self::Range(RangeRequest::key(key))
    }

    /// Deletes one key.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete {
            key: key.into(),
            end: None,
        }
    }
}

/// Steps that the store applies together if every condition holds, or else the other steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// Applied where every condition holds.
    pub success: Vec<Op>,
    /// Applied where a condition does not hold.
    pub failure: Vec<Op>,
}

/// What a transaction did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnResponse {
    /// The store's revision after the transaction.
    pub revision: StoreRevision,
    /// Whether every condition held.
    pub succeeded: bool,
    /// What each [`Op::Range`] of the applied steps found, in order.
    pub ranges: Vec<RangeResponse>,
}

impl TxnResponse {
    /// Gives the first key that the `index`th read found.
    pub fn first_of(&self, index: usize) -> Option<&KeyValue> {
        self.ranges.get(index)?.kvs.first()
    }
}

/// A lease as the store granted or extended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: LeaseId,
    /// How long it lasts from the moment the store granted or extended it.
    pub ttl: Millis,
}

/// Which keys to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The only key, or the first key of a range.
    pub key: String,
    /// The first key past the range.
    pub end: Option<String>,
    /// The first revision to report; zero for the next one.
    pub start: StoreRevision,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted at this revision.
    Delete(String, StoreRevision),
}

/// One message of a watch. A message without events shows only that the watch is alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchMessage {
    /// The store's revision when the message was sent.
    pub revision: StoreRevision,
    /// The changes, the oldest first.
    pub events: Vec<Event>,
}

/// The platform's key-value service, as functions that an adapter or a fake supplies.
///
/// Every function ends within a time that the adapter sets. The handle is cheap to clone
/// and belongs to one thread.
#[derive(Clone)]
pub struct Store {
    /// The address of the service, named in errors.
    pub peer: SocketAddr,
    /// Reads keys.
    pub range: Rc<dyn Fn(RangeRequest) -> StoreFuture<RangeResponse>>,
    /// Runs a transaction.
    pub txn: Rc<dyn Fn(Txn) -> StoreFuture<TxnResponse>>,
    /// Grants a lease of at least the given span.
    pub lease_grant: Rc<dyn Fn(Millis) -> StoreFuture<Lease>>,
    /// Extends a lease by its whole span.
    pub lease_keepalive: Rc<dyn Fn(LeaseId) -> StoreFuture<Lease>>,
    /// Ends a lease and deletes the keys that are tied to it.
    pub lease_revoke: Rc<dyn Fn(LeaseId) -> StoreFuture<()>>,
    /// Starts a watch. The future ends when the store has confirmed the watch.
    pub watch: Rc<dyn Fn(WatchRequest) -> StoreFuture<WatchStream>>,
}

impl Store {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer the read.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, StoreError> {
        let found = (self.range)(RangeRequest::key(key)).await?;
        Ok(found.kvs.into_iter().next())
    }

    /// Reads the keys of a range.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer the read.
    pub async fn range(&self, req: RangeRequest) -> Result<RangeResponse, StoreError> {
        (self.range)(req).await
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the transaction may have been applied.
    pub async fn txn(&self, txn: Txn) -> Result<TxnResponse, StoreError> {
        (self.txn)(txn).await
    }

    /// Writes one key without a condition.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the write may have been applied.
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
