//! The records, leases and rate limits of the key-value stand-in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cherrystand_core::Revision;
use cherrystand_platform::{Swap, WireRecord};

/// Holds the records by key, with their revisions, and the leases.
#[derive(Default)]
pub struct Store {
    revision: u64,
    records: BTreeMap<String, (u64, String)>,
    leases: BTreeMap<String, (String, Instant)>,
}

impl Store {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<WireRecord> {
        let (revision, value) = self.records.get(key)?;
        Some(WireRecord { key: key.to_owned(), revision: *revision, value: value.clone() })
    }

    /// Returns the records whose key starts with `prefix` and whose revision is higher than `after`.
    pub fn changed_since(&self, prefix: &str, after: u64) -> Vec<WireRecord> {
        let matching = self.records.iter().filter(|(key, _)| key.starts_with(prefix));
        let newer = matching.filter(|(_, (revision, _))| *revision > after);
        newer.filter_map(|(key, _)| self.get(key)).collect()
    }

    /// Writes a record if its current revision is `expected`; 0 stands for a record that doesn't
    /// exist.
    pub fn swap(&mut self, key: &str, expected: u64, value: String) -> Swap {
        let current = self.records.get(key).map_or(0, |(revision, _)| *revision);
        if current != expected {
            return Swap::Conflict(Revision::new(current));
        }
        self.revision += 1;
        self.records.insert(key.to_owned(), (self.revision, value));
        Swap::Done(Revision::new(self.revision))
    }

    /// Acquires or renews a lease, and returns whether `holder` now holds it.
    pub fn acquire_lease(&mut self, name: &str, holder: &str, ttl: Duration) -> bool {
        let now = Instant::now();
        match self.leases.get(name) {
            Some((current, expires_at)) if current != holder && *expires_at > now => false,
            _ => {
                self.leases.insert(name.to_owned(), (holder.to_owned(), now + ttl));
                true
            }
        }
    }
}

/// A token bucket that limits calls per second.
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket, which holds the calls of one second.
    pub fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    /// Takes a token, and returns whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
