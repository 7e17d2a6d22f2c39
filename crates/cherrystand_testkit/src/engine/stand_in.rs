//! A stand-in for the model engine of one box of a replica.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{EngineReport, EngineState, Epoch, LoadSpec, Order, Task, hash_bytes};
use cherrystand_platform::{EPOCH_HEADER, HttpPool, NOT_RUN_HEADER, call};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::engine::answer::Prompt;
use crate::engine::running_request::RunningRequest;
use crate::http::{empty, json, read_body, read_json};

/// How often a leader checks the members of its replica.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How long a leader waits for a member's answer before it regards the member as lost.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(400);

/// The default of [`EngineKnobs::batch`].
const DEFAULT_BATCH: u32 = 32;

/// The default of [`EngineKnobs::report_lag_ms`].
const DEFAULT_REPORT_LAG_MS: u64 = 500;

/// The length of the prompt prefix that is the key of the prefix cache, in bytes.
const PREFIX_BYTES: usize = 32;

/// The body type of the engine's answers.
pub type EngineBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Settings of the engine's behavior, sent to `/control/set`; those left out stay unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineKnobs {
    /// How long the engine answers no request, from now on, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// The time between two tokens of a request that runs alone, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_us: Option<u64>,
    /// The time until the first token of an uncached prompt, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_ms: Option<u64>,
    /// The number of tokens after which answers are interrupted; 0 to disable.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_after: Option<u64>,
    /// How old a reported load may be before it is measured again, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_lag_ms: Option<u64>,
    /// The maximum number of requests in one batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch: Option<u32>,
    /// The maximum number of requests that wait for the batch; further ones are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

/// The setup of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// The address of the platform stand-in, which serves the weights.
    pub platform: SocketAddr,
    /// Whether the engine refuses orders with an epoch lower than the highest that it has seen.
    pub checks_orders: bool,
}

/// Counts the requests that an engine has run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// Requests started.
    pub begun: u64,
    /// Requests answered completely.
    pub whole: u64,
    /// Requests that ended before their answer was complete, for instance because the caller
    /// disconnected.
    pub cancelled: u64,
    /// How often a request was started, by request id.
    pub by_request: BTreeMap<String, u32>,
}

struct State {
    setup: EngineSetup,
    knobs: EngineKnobs,
    highest_epoch: Epoch,
    epoch: Epoch,
    state: EngineState,
    loaded: Option<LoadSpec>,
    rank: u32,
    in_flight: u32,
    reported: Option<(tokio::time::Instant, u32)>,
    prefixes: VecDeque<u64>,
    frozen_until: Option<tokio::time::Instant>,
    executions: Executions,
}

/// Stands in for the engine of one box.
#[derive(Clone)]
pub struct EngineStandIn {
    state: Rc<RefCell<State>>,
    pool: HttpPool,
}

impl EngineStandIn {
    /// Creates an idle engine that has no weights loaded.
    pub fn new(setup: EngineSetup) -> Self {
        let state = State {
            setup,
            knobs: EngineKnobs::default(),
            highest_epoch: Epoch(0),
            epoch: Epoch(0),
            state: EngineState::Idle,
            loaded: None,
            rank: 0,
            in_flight: 0,
            reported: None,
            prefixes: VecDeque::new(),
            frozen_until: None,
            executions: Executions::default(),
        };
        Self { state: Rc::new(RefCell::new(state)), pool: HttpPool::default() }
    }

    /// Answers one HTTP request.
    pub async fn handle(self, req: Request<Incoming>) -> Response<EngineBody> {
        let path = req.uri().path().to_owned();
        if path == "/control/set" {
            return boxed(self.set(req).await);
        }
        self.wait_while_frozen().await;
        match (req.method(), path.as_str()) {
            (&Method::GET, "/engine/report") => boxed(json(StatusCode::OK, &self.report())),
            (&Method::GET, "/engine/epoch") => boxed(self.ready_epoch()),
            (&Method::POST, "/engine/order") => boxed(self.order(req).await),
            (&Method::GET, "/control/executions") => {
                boxed(json(StatusCode::OK, &self.state.borrow().executions))
            }
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.handle_completion(&path, req).await
            }
            _ => boxed(empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Waits until the engine is no longer frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        loop {
            let until = self.state.borrow().frozen_until;
            match until {
                Some(until) if until > tokio::time::Instant::now() => {
                    tokio::time::sleep_until(until).await;
                }
                _ => return,
            }
        }
    }

    /// Reports the current state and a load that may be as old as `report_lag_ms`.
    fn report(&self) -> EngineReport {
        let mut state = self.state.borrow_mut();
        let batch = state.knobs.batch.unwrap_or(DEFAULT_BATCH);
        let max_age =
            Duration::from_millis(state.knobs.report_lag_ms.unwrap_or(DEFAULT_REPORT_LAG_MS));
        let now = tokio::time::Instant::now();
        let last = state.reported.filter(|(at, _)| now.duration_since(*at) < max_age);
        let (at, load) = last.unwrap_or((now, state.in_flight));
        state.reported = Some((at, load));
        EngineReport {
            epoch: state.epoch,
            state: state.state,
            loaded: state.loaded.clone(),
            in_flight: load.min(batch),
            waiting: load.saturating_sub(batch),
        }
    }

    /// Answers a leader with the epoch that this member is ready for, or 0.
    fn ready_epoch(&self) -> Response<crate::http::FullBody> {
        let state = self.state.borrow();
        let ready = state.state == EngineState::Ready;
        json(StatusCode::OK, &if ready { state.epoch } else { Epoch(0) })
    }

    async fn set(&self, req: Request<Incoming>) -> Response<crate::http::FullBody> {
        let Some(knobs) = read_json::<EngineKnobs>(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.borrow_mut();
        if let Some(freeze) = knobs.freeze_ms {
            let until = tokio::time::Instant::now() + Duration::from_millis(freeze);
            state.frozen_until = Some(until);
        }
        let old = state.knobs.clone();
        state.knobs = EngineKnobs {
            freeze_ms: None,
            token_us: knobs.token_us.or(old.token_us),
            prefill_ms: knobs.prefill_ms.or(old.prefill_ms),
            cut_after: knobs.cut_after.or(old.cut_after),
            report_lag_ms: knobs.report_lag_ms.or(old.report_lag_ms),
            batch: knobs.batch.or(old.batch),
            queue: knobs.queue.or(old.queue),
        };
        empty(StatusCode::OK)
    }

    async fn order(&self, req: Request<Incoming>) -> Response<crate::http::FullBody> {
        let Some(order) = read_json::<Order>(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if !self.accepts_epoch(order.epoch) {
            return empty(StatusCode::CONFLICT);
        }
        match order.task {
            Task::Join { rank, members, load, .. } => self.join(order.epoch, rank, members, load),
            Task::Drain => self.state.borrow_mut().state = EngineState::Draining,
            Task::Release => {
                let mut state = self.state.borrow_mut();
                state.epoch = Epoch(0);
                state.state = EngineState::Idle;
            }
        }
        empty(StatusCode::OK)
    }

    fn accepts_epoch(&self, epoch: Epoch) -> bool {
        let mut state = self.state.borrow_mut();
        if state.setup.checks_orders && epoch < state.highest_epoch {
            return false;
        }
        state.highest_epoch = state.highest_epoch.max(epoch);
        true
    }

    fn join(&self, epoch: Epoch, rank: u32, members: Vec<SocketAddr>, load: LoadSpec) {
        {
            let mut state = self.state.borrow_mut();
            if state.epoch == epoch {
                return;
            }
            state.epoch = epoch;
            state.rank = rank;
            state.state = EngineState::Loading;
        }
        let engine = self.clone();
        tokio::task::spawn_local(async move { engine.load_and_lead(epoch, members, load).await });
    }

    async fn load_and_lead(&self, epoch: Epoch, members: Vec<SocketAddr>, load: LoadSpec) {
        let is_loaded = self.state.borrow().loaded.as_ref() == Some(&load);
        if !is_loaded && !self.fetch_weights(&load).await {
            return self.set_state(epoch, EngineState::Broken);
        }
        {
            let mut state = self.state.borrow_mut();
            if state.epoch != epoch {
                return;
            }
            state.loaded = Some(load);
            state.state = EngineState::Ready;
        }
        if self.state.borrow().rank == 0 {
            self.monitor_members(epoch, &members[1..]).await;
        }
    }

    async fn fetch_weights(&self, load: &LoadSpec) -> bool {
        let platform = self.state.borrow().setup.platform;
        let path = format!("/v1/weights/{}@{}", load.model, load.version);
        let timeout = Duration::from_secs(600);
        let answer = call(&self.pool, platform, Method::GET, &path, Bytes::new(), timeout).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Marks the replica as broken once a member that was ready for the epoch no longer is.
    async fn monitor_members(&self, epoch: Epoch, members: &[SocketAddr]) {
        let mut joined = vec![false; members.len()];
        loop {
            tokio::time::sleep(MEMBER_CHECK_INTERVAL).await;
            if self.state.borrow().epoch != epoch {
                return;
            }
            for (member, joined) in members.iter().zip(&mut joined) {
                let ready = self.member_epoch(*member).await == Some(epoch);
                if *joined && !ready {
                    return self.set_state(epoch, EngineState::Broken);
                }
                *joined |= ready;
            }
        }
    }

    async fn member_epoch(&self, member: SocketAddr) -> Option<Epoch> {
        let path = "/engine/epoch";
        let answer =
            call(&self.pool, member, Method::GET, path, Bytes::new(), MEMBER_TIMEOUT).await;
        answer.ok()?.json().ok()
    }

    fn set_state(&self, epoch: Epoch, to: EngineState) {
        let mut state = self.state.borrow_mut();
        if state.epoch == epoch {
            state.state = to;
        }
    }

    async fn handle_completion(&self, path: &str, req: Request<Incoming>) -> Response<EngineBody> {
        let header = |name: &str| {
            let value = req.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let id = header("x-request-id").unwrap_or_default();
        let expected_epoch = header(EPOCH_HEADER).and_then(|epoch| epoch.parse().ok()).map(Epoch);
        let Some(body) = read_body(req).await else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        let Some(prompt) = Prompt::parse(path, &body) else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        if let Err(status) = self.admit(expected_epoch) {
            return not_run(status);
        }
        let epoch = self.state.borrow().epoch;
        self.record_start(&id);
        RunningRequest::new(self.clone(), epoch, prompt).answer().await
    }

    fn admit(&self, expected_epoch: Option<Epoch>) -> Result<(), StatusCode> {
        let mut state = self.state.borrow_mut();
        let wrong_epoch = expected_epoch.is_some_and(|expected| expected != state.epoch);
        if state.state != EngineState::Ready || state.rank != 0 || wrong_epoch {
            return Err(StatusCode::CONFLICT);
        }
        let max_in_flight =
            state.knobs.batch.unwrap_or(DEFAULT_BATCH) + state.knobs.queue.unwrap_or(32);
        if state.in_flight >= max_in_flight {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        state.in_flight += 1;
        Ok(())
    }

    fn record_start(&self, id: &str) {
        let executions = &mut self.state.borrow_mut().executions;
        executions.begun += 1;
        *executions.by_request.entry(id.to_owned()).or_default() += 1;
    }

    /// Returns whether `cut_after` ends an answer before its token `number`.
    pub(crate) fn should_interrupt(&self, number: u64) -> bool {
        let limit = self.state.borrow().knobs.cut_after.unwrap_or(0);
        limit > 0 && number >= limit
    }

    /// Counts a request as ended, completed or not.
    pub(crate) fn record_end(&self, completed: bool) {
        let mut state = self.state.borrow_mut();
        state.in_flight -= 1;
        if completed {
            state.executions.whole += 1;
        } else {
            state.executions.cancelled += 1;
        }
    }

    /// Returns the time until the first token, which is shorter if the prefix is cached.
    pub(crate) fn prefill_time(&self, text: &str) -> Duration {
        let mut state = self.state.borrow_mut();
        let end = text.len().min(PREFIX_BYTES);
        let prefix = hash_bytes(&text.as_bytes()[..end]);
        let cached = state.prefixes.contains(&prefix);
        if !cached {
            state.prefixes.push_back(prefix);
            if state.prefixes.len() > 64 {
                state.prefixes.pop_front();
            }
        }
        let uncached_ms = state.knobs.prefill_ms.unwrap_or(20);
        Duration::from_millis(if cached { uncached_ms / 4 } else { uncached_ms })
    }

    /// Returns the time until the next token, which grows with the load of the batch.
    pub(crate) fn token_time(&self) -> Duration {
        let state = self.state.borrow();
        let base_time = state.knobs.token_us.unwrap_or(2_000);
        let batch = u64::from(state.knobs.batch.unwrap_or(DEFAULT_BATCH));
        Duration::from_micros(base_time + base_time * u64::from(state.in_flight) / batch.max(1))
    }

    /// Returns whether the engine still runs requests of an epoch.
    pub(crate) fn is_serving(&self, epoch: Epoch) -> bool {
        let state = self.state.borrow();
        let can_run = matches!(state.state, EngineState::Ready | EngineState::Draining);
        state.epoch == epoch && can_run
    }
}

fn not_run(status: StatusCode) -> Response<EngineBody> {
    let mut answer = boxed(empty(status));
    let value = hyper::header::HeaderValue::from_static("true");
    answer.headers_mut().insert(NOT_RUN_HEADER, value);
    answer
}

/// Converts an answer with a full body to the type of the engine's answers.
pub(crate) fn boxed(answer: Response<crate::http::FullBody>) -> Response<EngineBody> {
    answer.map(|body| BodyExt::boxed_unsync(body.map_err(|never| match never {})))
}
