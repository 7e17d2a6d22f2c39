//! Claims on calls that must not be repeated (idempotency keys).
//!
//! A call that carries a key is run only by the daemon incarnation that first wrote the key into
//! the platform's key-value service. A claim is never taken over, so a holder that pauses and comes
//! back does no harm. A claim whose holder is gone stays, and repeats of the call are answered
//! `unknown`.
//!
//! Source: docs/design/0008-at-most-once.md.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis, NodeId, Outcome, RecentWrites, WriteId, hash_bytes};

/// The number of records over which the claims are sharded.
pub const CLAIM_SHARDS: u64 = 16;

/// How long a claim is kept, in seconds.
pub const CLAIM_TTL_SECS: u64 = 3_600;

/// The time after asking for a claim within which its holder must begin to send the call or release
/// the claim.
pub const CLAIM_USE_TIMEOUT: Millis = Millis(5_000);

/// The largest number of claims in one record, which keeps the record below the platform's limit of
/// 1 MB.
pub const MAX_CLAIMS: usize = 6_000;

/// Identifies a call by a hash of its group and of the key that the caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct IdempotencyKey(u128);

impl IdempotencyKey {
    /// Hashes the group that the call goes to and the caller's own key.
    pub fn new(group: &crate::GroupId, key: &str) -> Self {
        let text = format!("{group}\n{key}");
        let high = hash_bytes(text.as_bytes());
        let salted = format!("{key}\n{high}\n{group}");
        Self(u128::from(high) << 64 | u128::from(hash_bytes(salted.as_bytes())))
    }

    /// Returns the number of the record that holds the claim.
    pub fn shard(self) -> u64 {
        self.0 as u64 % CLAIM_SHARDS
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        format!("{:032x}", key.0)
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = crate::NameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let parsed = u128::from_str_radix(&text, 16).map(Self);
        parsed.map_err(|_| crate::NameError {
            text,
            expected: "call key",
            form: "32 hexadecimal digits",
        })
    }
}

/// Says who holds a call and how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The daemon that may run the call.
    pub node: NodeId,
    /// The incarnation of that daemon.
    pub incarnation: Incarnation,
    /// When the call was claimed, in seconds since 1970.
    pub at_unix_secs: u64,
    /// How the call ended; `None` while it may still be running.
    pub outcome: Option<Outcome>,
}

/// Holds the claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claims by the key of their call.
    pub claims: BTreeMap<IdempotencyKey, Claim>,
    /// The identities of the last writes to this record.
    pub writes: RecentWrites,
}

/// A change of one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRequest {
    /// Claims a call for the requesting daemon incarnation.
    Acquire(IdempotencyKey),
    /// Releases a claim, because the call was certainly not run.
    Release(IdempotencyKey),
    /// Records how a call ended.
    Complete(IdempotencyKey, Outcome),
}

/// The response to one [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The requesting daemon incarnation may run the call, and nobody else.
    Granted,
    /// The call had already been claimed.
    AlreadyClaimed(Claim),
    /// The shard holds [`MAX_CLAIMS`] claims.
    ShardFull,
    /// The change was recorded.
    Recorded,
}

impl ClaimRecord {
    /// Applies a batch of requests from one daemon incarnation and returns the new record with a
    /// response to each request. The responses are valid only once the record has been written.
    pub fn apply(
        &self,
        batch: &[ClaimRequest],
        write: &WriteId,
        unix_secs: u64,
    ) -> (Self, Vec<ClaimResponse>) {
        let mut next = self.clone();
        next.claims
            .retain(|_, claim| unix_secs < claim.at_unix_secs.saturating_add(CLAIM_TTL_SECS));
        let answers =
            batch.iter().map(|request| next.apply_one(request, write, unix_secs)).collect();
        next.writes.push(write.clone());
        (next, answers)
    }

    fn apply_one(&mut self, request: &ClaimRequest, by: &WriteId, unix_secs: u64) -> ClaimResponse {
        match request {
            ClaimRequest::Acquire(key) => self.acquire(*key, by, unix_secs),
            ClaimRequest::Release(key) => {
                if self.is_held_by(*key, by) {
                    self.claims.remove(key);
                }
                ClaimResponse::Recorded
            }
            ClaimRequest::Complete(key, outcome) => {
                if self.is_held_by(*key, by)
                    && let Some(claim) = self.claims.get_mut(key)
                {
                    claim.outcome = Some(*outcome);
                }
                ClaimResponse::Recorded
            }
        }
    }

    fn acquire(&mut self, key: IdempotencyKey, by: &WriteId, unix_secs: u64) -> ClaimResponse {
        if let Some(claim) = self.claims.get(&key) {
            return ClaimResponse::AlreadyClaimed(claim.clone());
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimResponse::ShardFull;
        }
        let claim = Claim {
            node: by.node.clone(),
            incarnation: by.incarnation,
            at_unix_secs: unix_secs,
            outcome: None,
        };
        self.claims.insert(key, claim);
        ClaimResponse::Granted
    }

    fn is_held_by(&self, key: IdempotencyKey, by: &WriteId) -> bool {
        let claim = self.claims.get(&key);
        claim.is_some_and(|claim| {
            claim.node == by.node && claim.incarnation == by.incarnation && claim.outcome.is_none()
        })
    }
}
