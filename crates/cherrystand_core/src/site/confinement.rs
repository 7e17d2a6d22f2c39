//! The few replicas to which a suspect is confined that many requests have.

use crate::{BoxId, Fingerprint, hash_bytes, mix};

/// Of how many replicas one takes what is confined.
const REPLICAS_PER_CONFINED: usize = 6;

/// The most replicas that one suspect is confined to: each of them may crash.
const MAX_CONFINED: usize = 4;

/// Returns the replicas to which a suspect is confined among those that serve, the same at all daemons
/// that know the same ones.
pub fn confined_boxes<'a>(
    suspect: Fingerprint,
    serving: impl IntoIterator<Item = &'a BoxId>,
) -> Vec<BoxId> {
    let mut serving: Vec<&BoxId> = serving.into_iter().collect();
    let count = (serving.len() / REPLICAS_PER_CONFINED).clamp(1, MAX_CONFINED);
    let suspect_hash = hash_bytes(&suspect.0.to_le_bytes());
    let rank = |id: &&BoxId| mix(suspect_hash ^ hash_bytes(id.as_str().as_bytes()));
    serving.sort_by_cached_key(rank);
    serving.into_iter().take(count).cloned().collect()
}
