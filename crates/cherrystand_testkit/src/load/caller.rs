//! A caller that sends requests as if through the platform's load balancer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{HttpPool, PooledAnswer, SendError, call};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};

use crate::Prompt;
use crate::load::verdict::{Verdict, check_answer, check_refusal, check_service, check_stream};

/// The timeout of a request, from connecting to the end of the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// How often the readiness of the daemons is checked; also the timeout of one check and of
/// connecting to a daemon.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);

/// A request to send.
#[derive(Clone, Debug)]
pub enum LoadRequest {
    /// A chat completion of a model.
    Model(Prompt),
    /// A call of a plain service.
    Service {
        /// The HTTP method.
        method: Method,
        /// The path.
        path: String,
        /// The body.
        body: String,
        /// The idempotency key, for a call that must run at most once.
        key: Option<String>,
    },
}

/// Sends requests to the ready daemons in turn, as the platform's load balancer would.
pub struct Caller {
    pool: HttpPool,
    daemons: Vec<SocketAddr>,
    ready: RefCell<Vec<SocketAddr>>,
    next: Cell<usize>,
}

impl Caller {
    /// Creates a caller that regards all `daemons` as ready until their readiness is checked.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        let ready = RefCell::new(daemons.clone());
        Self { pool: HttpPool::default(), daemons, ready, next: Cell::new(0) }
    }

    /// Checks periodically which daemons are ready; never returns.
    pub async fn watch_readiness(&self) {
        loop {
            let mut ready = Vec::new();
            for daemon in &self.daemons {
                let answer = call(
                    &self.pool,
                    *daemon,
                    Method::GET,
                    "/readyz",
                    Bytes::new(),
                    READINESS_INTERVAL,
                );
                if answer.await.is_ok_and(|answer| answer.status == StatusCode::OK) {
                    ready.push(*daemon);
                }
            }
            *self.ready.borrow_mut() = ready;
            tokio::time::sleep(READINESS_INTERVAL).await;
        }
    }

    /// Sends a request to the next ready daemon and checks the answer.
    ///
    /// Tries another daemon after a failed connection, at most as often as there are daemons.
    pub async fn send(&self, id: &str, request: &LoadRequest) -> Verdict {
        let mut failed_connects = 0;
        loop {
            let Some(daemon) = self.next_daemon() else {
                let reason = "no-daemon-ready".to_owned();
                return Verdict::Refused { reason, not_run: true };
            };
            let exchange = self.exchange(daemon, id, request);
            match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
                Ok(Ok(verdict)) => return verdict,
                Ok(Err(SendError::Connect { .. } | SendError::ConnectTimedOut(_)))
                    if failed_connects < self.daemons.len() =>
                {
                    failed_connects += 1;
                }
                Ok(Err(_)) => return Verdict::Unknown,
                Err(_) => return Verdict::Wrong(format!("no answer within {ANSWER_TIMEOUT:?}")),
            }
        }
    }

    fn next_daemon(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        ready.get(next % ready.len().max(1)).copied()
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        id: &str,
        request: &LoadRequest,
    ) -> Result<Verdict, SendError> {
        let answer = self.pool.send(daemon, build_request(id, request), READINESS_INTERVAL).await?;
        Ok(check_response(answer, request).await)
    }
}

fn build_request(id: &str, request: &LoadRequest) -> Request<Full<Bytes>> {
    let mut req = Request::builder().header("x-request-id", id).header("host", "cherrystand");
    let body = match request {
        LoadRequest::Model(prompt) => {
            req = req.method(Method::POST).uri("/v1/chat/completions");
            serde_json::json!({
                "model": prompt.model, "max_tokens": prompt.tokens, "stream": prompt.stream,
                "messages": [{"role": "user", "content": prompt.text}],
            })
            .to_string()
        }
        LoadRequest::Service { method, path, body, key } => {
            req = req.method(method.clone()).uri(path.as_str());
            if let Some(key) = key {
                req = req.header("idempotency-key", key);
            }
            body.clone()
        }
    };
    req.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

async fn check_response(answer: PooledAnswer, request: &LoadRequest) -> Verdict {
    let PooledAnswer { head, body } = answer;
    let Ok(body) = body.collect().await else {
        // The caller can see that the answer is incomplete.
        return Verdict::Unknown;
    };
    let body = body.to_bytes();
    if let Some(verdict) = check_refusal(head.status(), head.headers(), &body) {
        return verdict;
    }
    let outcome = head.headers().get("cherrystand-outcome").map(|value| value.as_bytes());
    if outcome != Some(b"ran") {
        return Verdict::Wrong("a whole answer does not say that it was run".to_owned());
    }
    match request {
        LoadRequest::Model(prompt) if prompt.stream => check_stream(prompt, &body),
        LoadRequest::Model(prompt) => check_answer(prompt, &body),
        LoadRequest::Service { path, body: request_body, .. } => {
            check_service(path, request_body, &body)
        }
    }
}
