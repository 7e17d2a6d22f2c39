//! What names a request in all its tries.

use std::fmt;
use std::str::FromStr;

use serde::de::{Deserialize, Deserializer, Error};
use serde::{Serialize, Serializer};

/// Names a request in all its tries: 128 bits of a hash of its path, its caller and its body.
///
/// Each try has an id of its own and may come to any daemon. The hash is cryptographic, so that
/// nobody can make a request that bears the fingerprint of another caller's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

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

/// It is text where people read it, and a number between daemons.
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
