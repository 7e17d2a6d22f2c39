//! Requests that daemons sent by old knowledge of the store, as their logs tell.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use jiff::Timestamp;
use serde::Deserialize;

/// The message of a daemon's log line about such a request.
const MESSAGE: &str = "a request is sent by old news of the store";

/// A request that a daemon sent by old knowledge of the store.
#[derive(Clone, Debug)]
pub struct OldSend {
    /// The daemon.
    pub daemon: usize,
    /// When it was sent.
    pub at: Instant,
    /// The age of the knowledge.
    pub age: Duration,
}

#[derive(Deserialize)]
struct LogLine {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Values,
}

#[derive(Default, Deserialize)]
struct Values {
    #[serde(default)]
    age_ms: u64,
}

/// Reads the log of one incarnation of a daemon.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub(crate) fn read_old_sends(daemon: usize, log: &Path) -> std::io::Result<Vec<OldSend>> {
    let text = std::fs::read_to_string(log)?;
    let (now, wall) = (Instant::now(), Timestamp::try_from(SystemTime::now()));
    let wall = wall.map_err(std::io::Error::other)?;
    let sends = text.lines().filter(|line| line.contains(MESSAGE)).filter_map(|line| {
        let line: LogLine = serde_json::from_str(line).ok()?;
        let passed = Duration::try_from(wall.duration_since(line.timestamp)).ok()?;
        let age = Duration::from_millis(line.kvs.age_ms);
        (line.message == MESSAGE).then_some(OldSend { daemon, at: now.checked_sub(passed)?, age })
    });
    Ok(sends.collect())
}
