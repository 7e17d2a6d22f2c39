//! The client for the operator API of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{Answer, AnswerPool, CallIds, call};
use hyper::Method;
use serde_json::Value;
use tokio::runtime::Runtime;

use crate::cli_error::CliError;

/// Timeout of a call, which includes the daemon's retries of calls to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A client for one daemon.
pub(crate) struct Client {
    address: SocketAddr,
    runtime: Runtime,
    pool: AnswerPool<CallIds>,
}

impl Client {
    /// Creates a client for the daemon at an address.
    pub(crate) fn new(address: SocketAddr) -> Result<Self, CliError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { address, runtime, pool: AnswerPool::default() })
    }

    /// Reads a resource of the operator API.
    pub(crate) fn get(&self, what: &str) -> Result<Value, CliError> {
        self.call(Method::GET, what, String::new())
    }

    /// Calls an action of the operator API.
    pub(crate) fn post(&self, what: &str, body: String) -> Result<Value, CliError> {
        self.call(Method::POST, what, body)
    }

    fn call(&self, method: Method, what: &str, body: String) -> Result<Value, CliError> {
        let path = format!("/operator/{what}");
        let body = Bytes::from(body);
        let exchange = call(&self.pool, self.address, method, &path, body, CALL_TIMEOUT);
        let answer = self.runtime.block_on(exchange)?;
        parse(&answer)
    }
}

fn parse(answer: &Answer) -> Result<Value, CliError> {
    let value: Value = answer.json()?;
    let Some(error) = value.get("error") else {
        return Ok(value);
    };
    let text = |key: &str| error.get(key).and_then(Value::as_str).unwrap_or_default().to_owned();
    Err(CliError::Rejected { kind: text("kind"), message: text("message") })
}
