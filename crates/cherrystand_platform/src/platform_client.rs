//! The HTTP client for the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{Document, Revision};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::watch_pools::WatchPools;
use crate::{
    Answer, AnswerPool, BoxList, Changes, Inventory, KeyValue, Lease, MAX_VALUE_BYTES, NoNames,
    PlatformError, Swap, call,
};

/// Timeout of a call; a watch may take its waiting time in addition.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A record in the protocol of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRecord {
    /// The key of the record.
    pub key: String,
    /// The revision of the last write to the record.
    pub revision: u64,
    /// The value.
    pub value: String,
}

/// A list of records in the protocol of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRecords {
    /// The revision of the last write to the service.
    pub revision: u64,
    /// The listed records.
    pub records: Vec<WireRecord>,
}

/// The revision that a write created or, on a conflict, found.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireRevision {
    /// The revision number.
    pub revision: u64,
}

/// The answer to a lease request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireLease {
    /// Whether the requesting holder has the lease.
    pub held: bool,
}

/// A client for the platform at one address.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    /// The service's answers name nothing, so each call has a connection to itself.
    calls: AnswerPool<NoNames>,
    watches: WatchPools,
}

impl PlatformClient {
    /// Creates a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, calls: AnswerPool::default(), watches: WatchPools::default() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, PlatformError> {
        let answer = call(&self.calls, self.address, method, path, body, timeout).await?;
        PlatformError::check_status(answer)
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<Answer, PlatformError> {
        self.call(Method::GET, path, Bytes::new(), timeout).await
    }
}

impl From<WireRecord> for Document {
    fn from(record: WireRecord) -> Self {
        Self {
            key: Arc::from(record.key),
            revision: Revision::new(record.revision),
            body: Arc::from(record.value),
        }
    }
}

fn parse_changes(answer: &Answer) -> Result<Changes, PlatformError> {
    let wire: WireRecords = answer.json()?;
    Ok(Changes {
        revision: Revision::new(wire.revision),
        records: wire.records.into_iter().map(Document::from).collect(),
        removed: Vec::new(),
    })
}

impl KeyValue for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        let answer = self.read(&format!("/v1/kv/{key}"), CALL_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let record: WireRecord = answer.json()?;
        Ok(Some(record.into()))
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        let answer = self.read(&format!("/v1/list/{prefix}"), CALL_TIMEOUT).await?;
        parse_changes(&answer)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let path =
            format!("/v1/watch/{prefix}?after={}&wait-ms={}", after.number(), wait.as_millis());
        let (pool, timeout) = (self.watches.of(prefix), wait + CALL_TIMEOUT);
        let answer = call(&pool, self.address, Method::GET, &path, Bytes::new(), timeout).await?;
        let changes = parse_changes(&PlatformError::check_status(answer)?)?;
        let follow = |record: &Document| record.revision > after;
        if changes.revision < after || !changes.records.iter().all(follow) {
            pool.close_idle();
            return Err(PlatformError::ForeignAnswer);
        }
        Ok(changes)
    }

    async fn swap(&self, key: &str, expected: Revision, body: &str) -> Result<Swap, PlatformError> {
        if body.len() > MAX_VALUE_BYTES {
            let key = key.to_owned();
            return Err(PlatformError::TooLarge { key, bytes: body.len() });
        }
        let path = format!("/v1/kv/{key}?if-revision={}", expected.number());
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        let wire: WireRevision = answer.json()?;
        match answer.status {
            StatusCode::OK => Ok(Swap::Done(Revision::new(wire.revision))),
            StatusCode::CONFLICT => Ok(Swap::Conflict(Revision::new(wire.revision))),
            other => Err(PlatformError::Status(other.as_u16())),
        }
    }

    fn close_idle_connections(&self) {
        self.watches.close_idle();
    }

    async fn lease(&self, name: &str, holder: &str, ttl: Duration) -> Result<Lease, PlatformError> {
        let path = format!("/v1/lease/{name}?holder={holder}&life-ms={}", ttl.as_millis());
        let answer = self.call(Method::PUT, &path, Bytes::new(), CALL_TIMEOUT).await?;
        let wire: WireLease = answer.json()?;
        Ok(if wire.held { Lease::Held } else { Lease::HeldByOther })
    }
}

impl BoxList for PlatformClient {
    async fn inventory(&self) -> Result<Inventory, PlatformError> {
        let answer = self.read("/v1/boxes", CALL_TIMEOUT).await?;
        Ok(answer.json()?)
    }
}
