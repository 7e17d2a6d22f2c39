//! A model engine's stand-in: one box of a replica.

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
use crate::engine::run::Run;
use crate::http::{empty, json, read_body, read_json};

/// How often a leader looks after its members.
const LOOK_EVERY: Duration = Duration::from_millis(150);

/// After this long without an answer a leader takes a member for dead.
const MEMBER_WITHIN: Duration = Duration::from_millis(400);

/// How many requests run in one batch where no knob says otherwise.
const USUAL_BATCH: u32 = 32;

/// How old reported loads may be where no knob says otherwise, in milliseconds.
const USUAL_LAG_MS: u64 = 500;

/// The length of the prefix that the cache goes by, in bytes.
const PREFIX_BYTES: usize = 32;

/// The body of an engine's answers.
pub type EngineBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Sets how an engine behaves; what is left out stays as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineKnobs {
    /// For how long the engine answers nothing from now on, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub freeze_ms: Option<u64>,
    /// The time between tokens of a lone request, in microseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_us: Option<u64>,
    /// The time until the first token of an uncached prompt, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_ms: Option<u64>,
    /// After how many tokens the next answers are cut; 0 for never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_after: Option<u64>,
    /// How old reported loads may be, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report_lag_ms: Option<u64>,
    /// How many requests run in one batch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch: Option<u32>,
    /// How many requests wait for the batch before others are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

/// Describes an engine's stand-in.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Where the platform's stand-in serves weights.
    pub platform: SocketAddr,
    /// Whether the engine refuses orders of an old epoch.
    pub checks_orders: bool,
}

/// Counts what an engine ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// Requests begun.
    pub begun: u64,
    /// Requests answered whole.
    pub whole: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// How often each request id was begun.
    pub by_request: BTreeMap<String, u32>,
}

struct State {
    setup: EngineSetup,
    knobs: EngineKnobs,
    highest: Epoch,
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
    /// Creates an idle engine without weights.
    pub fn new(setup: EngineSetup) -> Self {
        let state = State {
            setup,
            knobs: EngineKnobs::default(),
            highest: Epoch(0),
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

    /// Answers one call.
    pub async fn handle(self, req: Request<Incoming>) -> Response<EngineBody> {
        let path = req.uri().path().to_owned();
        if path == "/control/set" {
            return boxed(self.set(req).await);
        }
        self.thaw().await;
        match (req.method(), path.as_str()) {
            (&Method::GET, "/engine/report") => boxed(json(StatusCode::OK, &self.report())),
            (&Method::GET, "/engine/epoch") => boxed(self.tell_epoch()),
            (&Method::POST, "/engine/order") => boxed(self.order(req).await),
            (&Method::GET, "/control/executions") => {
                boxed(json(StatusCode::OK, &self.state.borrow().executions))
            }
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(&path, req).await
            }
            _ => boxed(empty(StatusCode::NOT_FOUND)),
        }
    }

    /// Waits until the engine is no longer frozen.
    pub(crate) async fn thaw(&self) {
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

    /// Reports the state as it is and the load as it was a while ago.
    fn report(&self) -> EngineReport {
        let mut state = self.state.borrow_mut();
        let batch = state.knobs.batch.unwrap_or(USUAL_BATCH);
        let lag = Duration::from_millis(state.knobs.report_lag_ms.unwrap_or(USUAL_LAG_MS));
        let now = tokio::time::Instant::now();
        let last = state.reported.filter(|(at, _)| now.duration_since(*at) < lag);
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

    /// Tells a leader which epoch this member is ready for.
    fn tell_epoch(&self) -> Response<crate::http::Whole> {
        let state = self.state.borrow();
        let ready = state.state == EngineState::Ready;
        json(StatusCode::OK, &if ready { state.epoch } else { Epoch(0) })
    }

    async fn set(&self, req: Request<Incoming>) -> Response<crate::http::Whole> {
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

    async fn order(&self, req: Request<Incoming>) -> Response<crate::http::Whole> {
        let Some(order) = read_json::<Order>(req).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if !self.passes_fence(order.epoch) {
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

    fn passes_fence(&self, epoch: Epoch) -> bool {
        let mut state = self.state.borrow_mut();
        if state.setup.checks_orders && epoch < state.highest {
            return false;
        }
        state.highest = state.highest.max(epoch);
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
        let has_it = self.state.borrow().loaded.as_ref() == Some(&load);
        if !has_it && !self.fetch(&load).await {
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
            self.look_after(epoch, &members[1..]).await;
        }
    }

    async fn fetch(&self, load: &LoadSpec) -> bool {
        let platform = self.state.borrow().setup.platform;
        let path = format!("/v1/weights/{}@{}", load.model, load.version);
        let within = Duration::from_secs(600);
        let answer = call(&self.pool, platform, Method::GET, &path, Bytes::new(), within).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Breaks the replica as soon as a member that was ready is gone.
    async fn look_after(&self, epoch: Epoch, members: &[SocketAddr]) {
        let mut joined = vec![false; members.len()];
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
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
        let answer = call(&self.pool, member, Method::GET, path, Bytes::new(), MEMBER_WITHIN).await;
        answer.ok()?.json().ok()
    }

    fn set_state(&self, epoch: Epoch, to: EngineState) {
        let mut state = self.state.borrow_mut();
        if state.epoch == epoch {
            state.state = to;
        }
    }

    async fn complete(&self, path: &str, req: Request<Incoming>) -> Response<EngineBody> {
        let header = |name: &str| {
            let value = req.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let id = header("x-request-id").unwrap_or_default();
        let meant = header(EPOCH_HEADER).and_then(|epoch| epoch.parse().ok()).map(Epoch);
        let Some(body) = read_body(req).await else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        let Some(prompt) = Prompt::read(path, &body) else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        if let Err(status) = self.admit(meant) {
            return not_run(status);
        }
        let epoch = self.state.borrow().epoch;
        self.count(&id);
        Run::new(self.clone(), epoch, prompt).answer().await
    }

    fn admit(&self, meant: Option<Epoch>) -> Result<(), StatusCode> {
        let mut state = self.state.borrow_mut();
        let wrong_epoch = meant.is_some_and(|meant| meant != state.epoch);
        if state.state != EngineState::Ready || state.rank != 0 || wrong_epoch {
            return Err(StatusCode::CONFLICT);
        }
        let most = state.knobs.batch.unwrap_or(USUAL_BATCH) + state.knobs.queue.unwrap_or(32);
        if state.in_flight >= most {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        state.in_flight += 1;
        Ok(())
    }

    fn count(&self, id: &str) {
        let executions = &mut self.state.borrow_mut().executions;
        executions.begun += 1;
        *executions.by_request.entry(id.to_owned()).or_default() += 1;
    }

    /// Tells whether answers are to be cut before their `number`th token.
    pub(crate) fn is_told_to_cut(&self, number: u64) -> bool {
        let cut = self.state.borrow().knobs.cut_after.unwrap_or(0);
        cut > 0 && number >= cut
    }

    /// Counts a request as ended, whole or not.
    pub(crate) fn count_end(&self, whole: bool) {
        let mut state = self.state.borrow_mut();
        state.in_flight -= 1;
        if whole {
            state.executions.whole += 1;
        } else {
            state.executions.cancelled += 1;
        }
    }

    /// Returns the time until the first token, less for a prefix that was seen lately.
    pub(crate) fn prefill(&self, text: &str) -> Duration {
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
        let whole = state.knobs.prefill_ms.unwrap_or(20);
        Duration::from_millis(if cached { whole / 4 } else { whole })
    }

    /// Returns the time until the next token, which grows with the batch.
    pub(crate) fn token_time(&self) -> Duration {
        let state = self.state.borrow();
        let lone = state.knobs.token_us.unwrap_or(2_000);
        let batch = u64::from(state.knobs.batch.unwrap_or(USUAL_BATCH));
        Duration::from_micros(lone + lone * u64::from(state.in_flight) / batch.max(1))
    }

    /// Tells whether the engine still runs requests of an epoch.
    pub(crate) fn serves(&self, epoch: Epoch) -> bool {
        let state = self.state.borrow();
        let able = matches!(state.state, EngineState::Ready | EngineState::Draining);
        state.epoch == epoch && able
    }
}

fn not_run(status: StatusCode) -> Response<EngineBody> {
    let mut answer = boxed(empty(status));
    let yes = hyper::header::HeaderValue::from_static("true");
    answer.headers_mut().insert(NOT_RUN_HEADER, yes);
    answer
}

/// Gives a whole answer the type of all answers.
pub(crate) fn boxed(answer: Response<crate::http::Whole>) -> Response<EngineBody> {
    answer.map(|body| BodyExt::boxed_unsync(body.map_err(|never| match never {})))
}
