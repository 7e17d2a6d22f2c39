//! Calls to a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{Answer, HttpPool, call};
use hyper::Method;
use serde_json::Value;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;

/// How long a daemon may take, retries at the platform included.
const CALL_WITHIN: Duration = Duration::from_secs(30);

/// Talks to one daemon.
pub(crate) struct Client {
    at: SocketAddr,
    runtime: Runtime,
    pool: HttpPool,
}

impl Client {
    /// Creates a client of the daemon at an address.
    pub(crate) fn new(at: SocketAddr) -> Result<Self, CliError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { at, runtime, pool: HttpPool::default() })
    }

    /// Reads something.
    pub(crate) fn get(&self, what: &str) -> Result<Value, CliError> {
        self.call(Method::GET, what, String::new())
    }

    /// Has something done.
    pub(crate) fn post(&self, what: &str, body: String) -> Result<Value, CliError> {
        self.call(Method::POST, what, body)
    }

    fn call(&self, method: Method, what: &str, body: String) -> Result<Value, CliError> {
        let path = format!("/operator/{what}");
        let body = Bytes::from(body);
        let sent = call(&self.pool, self.at, method, &path, body, CALL_WITHIN);
        let answer = self.runtime.block_on(sent)?;
        read(&answer)
    }
}

fn read(answer: &Answer) -> Result<Value, CliError> {
    let value: Value = answer.json()?;
    let Some(error) = value.get("error") else {
        return Ok(value);
    };
    let text = |key: &str| error.get(key).and_then(Value::as_str).unwrap_or_default().to_owned();
    Err(CliError::Refused { kind: text("kind"), message: text("message") })
}
