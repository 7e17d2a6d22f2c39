//! Fingerprints, which identify a request across its attempts, and a part of prompts across requests.

use std::fmt;
use std::str::FromStr;

use serde::de::{Deserialize, Deserializer, Error};
use serde::{Serialize, Serializer};

/// Identifies what may crash replicas: a request across its attempts, by a hash of its path, caller and
/// body, or a part that the prompts of many requests share, by a hash of its id.
///
/// Each attempt has its own id and may arrive at any daemon. One bit tells the two kinds apart, and
/// 127 are of the hash. The hash is cryptographic, so that
/// nobody can craft a request with the fingerprint of another caller's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

/// The bit that parts of prompts have set, and requests do not.
const PART_BIT: u128 = 1 << 127;

impl Fingerprint {
    /// Returns the fingerprint of a request with a hash.
    pub fn of_request(hash: u128) -> Self {
        Self(hash & !PART_BIT)
    }

    /// Returns the fingerprint of a part of prompts with a hash.
    pub fn of_part(hash: u128) -> Self {
        Self(hash | PART_BIT)
    }

    /// Returns whether it is that of a part of prompts.
    pub fn is_part(self) -> bool {
        self.0 & PART_BIT == PART_BIT
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Text in human-readable formats, a number between daemons.
impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match deserializer.is_human_readable() {
            true => String::deserialize(deserializer)?.parse().map_err(D::Error::custom),
            false => u128::deserialize(deserializer).map(Self),
        }
    }
}
