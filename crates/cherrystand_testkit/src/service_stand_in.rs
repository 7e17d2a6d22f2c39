//! A stand-in for a plain service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_platform::NOT_RUN_HEADER;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{FullBody, empty, json, read_body, read_json};

/// Settings of a service's behavior, sent to `/control/set`; those left out stay unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceKnobs {
    /// How long the service answers no call, from now on, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// How long each call takes, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// The value of the `Retry-After` header with which the service refuses every call; it serves
    /// calls again once this is empty.
    #[serde(rename = "rest", default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<String>,
}

/// A service's answer, which echoes the call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The call's method.
    pub method: String,
    /// The call's path and query.
    pub path: String,
    /// The call's body.
    pub body: String,
    /// The call's `x-request-id`.
    pub request: String,
}

#[derive(Default)]
struct State {
    delay: Duration,
    frozen_until: Option<tokio::time::Instant>,
    executions: BTreeMap<String, u32>,
    retry_after: String,
    refused: u32,
}

/// Stands in for one endpoint of a plain service.
#[derive(Clone, Default)]
pub struct ServiceStandIn {
    state: Rc<RefCell<State>>,
}

impl ServiceStandIn {
    /// Answers one call by echoing it, and counts it.
    ///
    /// Calls are counted by their `idempotency-key`, or by their `x-request-id` if they have none.
    pub async fn handle(self, req: Request<Incoming>) -> Response<FullBody> {
        match req.uri().path() {
            "/control/set" => return self.set(req).await,
            "/control/executions" => {
                return json(StatusCode::OK, &self.state.borrow().executions);
            }
            "/control/turned-away" => {
                return json(StatusCode::OK, &self.state.borrow().refused);
            }
            _ if !self.state.borrow().retry_after.is_empty() => return self.refuse(),
            _ => {}
        }
        let header = |name: &str| {
            let value = req.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let request = header("x-request-id").unwrap_or_default();
        let counter_key = header("idempotency-key").unwrap_or_else(|| request.clone());
        let method = req.method().to_string();
        let path = req.uri().to_string();
        let Some(body) = read_body(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        self.wait_for_delay().await;
        *self.state.borrow_mut().executions.entry(counter_key).or_default() += 1;
        let body = String::from_utf8_lossy(&body).into_owned();
        json(StatusCode::OK, &ServiceAnswer { method, path, body, request })
    }

    fn refuse(&self) -> Response<FullBody> {
        let mut state = self.state.borrow_mut();
        state.refused += 1;
        let mut answer = empty(StatusCode::TOO_MANY_REQUESTS);
        answer.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
        if let Ok(retry_after) = state.retry_after.parse() {
            answer.headers_mut().insert(RETRY_AFTER, retry_after);
        }
        answer
    }

    async fn wait_for_delay(&self) {
        let (delay, until) = {
            let state = self.state.borrow();
            (state.delay, state.frozen_until)
        };
        if let Some(until) = until {
            tokio::time::sleep_until(until).await;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn set(&self, req: Request<Incoming>) -> Response<FullBody> {
        let Some(knobs) = read_json::<ServiceKnobs>(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        if let Some(freeze) = knobs.freeze_ms {
            let until = tokio::time::Instant::now() + Duration::from_millis(freeze);
            state.frozen_until = Some(until);
        }
        if let Some(delay) = knobs.delay_ms {
            state.delay = Duration::from_millis(delay);
        }
        if let Some(retry_after) = knobs.retry_after {
            state.retry_after = retry_after;
        }
        empty(StatusCode::OK)
    }
}
