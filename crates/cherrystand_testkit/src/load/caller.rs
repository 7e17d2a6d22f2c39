//! A caller behind a balancer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{HttpPool, PooledBody, SendError, call};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode};

use crate::Prompt;
use crate::load::verdict::{Verdict, judge_refusal, judge_service, judge_stream, judge_whole};

/// How long a caller waits for a whole answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(30);

/// How often the balancer asks whether a daemon is ready.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Describes one request.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A model's answer.
    Model(Prompt),
    /// A plain service's answer.
    Service {
        /// The method.
        method: Method,
        /// The path.
        path: String,
        /// The body.
        body: String,
        /// The key that marks and names a call that must not be repeated.
        key: Option<String>,
    },
}

/// Sends requests to daemons that are ready, as the platform's balancer would.
pub struct Caller {
    pool: HttpPool,
    daemons: Vec<SocketAddr>,
    ready: RefCell<Vec<SocketAddr>>,
    turn: Cell<usize>,
}

impl Caller {
    /// Creates a caller of some daemons.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        let ready = RefCell::new(daemons.clone());
        Self { pool: HttpPool::default(), daemons, ready, turn: Cell::new(0) }
    }

    /// Keeps finding out which daemons are ready; it never ends.
    pub async fn watch_readiness(&self) {
        loop {
            let mut ready = Vec::new();
            for daemon in &self.daemons {
                let asked =
                    call(&self.pool, *daemon, Method::GET, "/readyz", Bytes::new(), LOOK_EVERY);
                if asked.await.is_ok_and(|answer| answer.status == StatusCode::OK) {
                    ready.push(*daemon);
                }
            }
            *self.ready.borrow_mut() = ready;
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Sends a request to the next daemon and judges its answer.
    pub async fn ask(&self, id: &str, ask: &Ask) -> Verdict {
        let mut refused_connections = 0;
        loop {
            let Some(daemon) = self.next_daemon() else {
                let reason = "no-daemon-ready".to_owned();
                return Verdict::Refused { reason, not_run: true };
            };
            let exchange = self.exchange(daemon, id, ask);
            match tokio::time::timeout(ANSWER_WITHIN, exchange).await {
                Ok(Ok(verdict)) => return verdict,
                Ok(Err(SendError::Connect { .. } | SendError::ConnectTimedOut(_)))
                    if refused_connections < self.daemons.len() =>
                {
                    refused_connections += 1;
                }
                Ok(Err(_)) => return Verdict::Unknown,
                Err(_) => return Verdict::Wrong(format!("no answer within {ANSWER_WITHIN:?}")),
            }
        }
    }

    fn next_daemon(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        ready.get(turn % ready.len().max(1)).copied()
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        id: &str,
        ask: &Ask,
    ) -> Result<Verdict, SendError> {
        let answer = self.pool.send(daemon, request(id, ask), LOOK_EVERY).await?;
        Ok(judge(answer, ask).await)
    }
}

fn request(id: &str, ask: &Ask) -> Request<Full<Bytes>> {
    let mut req = Request::builder().header("x-request-id", id).header("host", "cherrystand");
    let body = match ask {
        Ask::Model(prompt) => {
            req = req.method(Method::POST).uri("/v1/chat/completions");
            serde_json::json!({
                "model": prompt.model, "max_tokens": prompt.tokens, "stream": prompt.stream,
                "messages": [{"role": "user", "content": prompt.text}],
            })
            .to_string()
        }
        Ask::Service { method, path, body, key } => {
            req = req.method(method.clone()).uri(path.as_str());
            if let Some(key) = key {
                req = req.header("idempotency-key", key);
            }
            body.clone()
        }
    };
    req.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

async fn judge(answer: Response<PooledBody>, ask: &Ask) -> Verdict {
    let (head, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        // The caller sees that the answer broke off.
        return Verdict::Unknown;
    };
    let body = body.to_bytes();
    if let Some(verdict) = judge_refusal(head.status, &head.headers, &body) {
        return verdict;
    }
    let told = head.headers.get("cherrystand-outcome").map(|value| value.as_bytes());
    if told != Some(b"ran") {
        return Verdict::Wrong("a whole answer does not say that it was run".to_owned());
    }
    match ask {
        Ask::Model(prompt) if prompt.stream => judge_stream(prompt, &body),
        Ask::Model(prompt) => judge_whole(prompt, &body),
        Ask::Service { path, body: sent, .. } => judge_service(path, sent, &body),
    }
}
