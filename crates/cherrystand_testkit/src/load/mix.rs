//! Mixed traffic, and the checks of what the endpoints ran.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_platform::{HttpPool, call};
use hyper::Method;

use crate::load::caller::{Caller, LoadRequest};
use crate::load::verdict::{Tally, Verdict};
use crate::{Executions, Prompt};

/// The timeout for reading from a stand-in what it ran.
const COUNT_TIMEOUT: Duration = Duration::from_secs(2);

/// Describes the traffic to send.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Requests per second.
    pub rate: u64,
    /// The duration in seconds.
    pub seconds: u64,
    /// The name of the requested model.
    pub model: String,
    /// The path prefix of the plain service.
    pub service: String,
}

/// The result of the traffic.
#[derive(Clone, Debug, Default)]
pub struct MixOutcome {
    /// The number of requests by verdict.
    pub tally: Tally,
    /// The ids of requests whose refusal said that they were not run.
    pub reported_not_run: Vec<String>,
    /// Descriptions of the wrong answers.
    pub faults: Vec<String>,
}

/// Sends the traffic, calling `progress` with the counts every second.
///
/// It must run inside a [`tokio::task::LocalSet`].
pub async fn send_mix(
    caller: Rc<Caller>,
    mix: &Mix,
    mut progress: impl FnMut(&Tally),
) -> MixOutcome {
    let outcome = Rc::new(RefCell::new(MixOutcome::default()));
    let mut requests = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(Duration::from_micros(1_000_000 / mix.rate.max(1)));
    for number in 0..mix.rate * mix.seconds {
        interval.tick().await;
        let (id, request) = make_request(mix, number);
        let (caller, verdicts) = (caller.clone(), outcome.clone());
        requests.spawn_local(async move {
            let verdict = caller.send(&id, &request).await;
            record_verdict(&mut verdicts.borrow_mut(), id, &verdict);
        });
        while requests.try_join_next().is_some() {}
        if number % mix.rate.max(1) == 0 {
            progress(&outcome.borrow().tally);
        }
    }
    while requests.join_next().await.is_some() {}
    Rc::try_unwrap(outcome).map(RefCell::into_inner).unwrap_or_default()
}

fn record_verdict(outcome: &mut MixOutcome, id: String, verdict: &Verdict) {
    outcome.tally.record(verdict);
    match verdict {
        Verdict::Refused { not_run: true, .. } => outcome.reported_not_run.push(id),
        Verdict::Wrong(fault) => outcome.faults.push(format!("{id}: {fault}")),
        _ => {}
    }
}

fn make_request(mix: &Mix, number: u64) -> (String, LoadRequest) {
    let id = format!("load-{number}");
    let path = format!("{}/{number}", mix.service);
    let request = match number % 8 {
        0..=2 => LoadRequest::Model(prompt(mix, number, false)),
        3 | 4 => LoadRequest::Model(prompt(mix, number, true)),
        5 => LoadRequest::Service { method: Method::GET, path, body: String::new(), key: None },
        // The second request of a pair repeats the key of the first, as a retry after an apparent
        // failure does.
        kind => {
            let story = number - (kind - 6);
            let path = format!("{}/story/{story}", mix.service);
            let (body, key) = (format!("story {story}"), Some(format!("story-{story}")));
            LoadRequest::Service { method: Method::POST, path, body, key }
        }
    };
    (id, request)
}

fn prompt(mix: &Mix, number: u64, stream: bool) -> Prompt {
    Prompt {
        text: format!("album {} picture {number}", number % 5),
        tokens: 8 + number % 24,
        stream,
        model: mix.model.clone(),
        chat: true,
    }
}

/// Compares what the endpoints ran with what the callers were told, and returns the faults.
///
/// A fault is a call with an idempotency key that ran more than once, or a request that ran although
/// its caller was told that it did not.
pub async fn check_executions(
    outcome: &MixOutcome,
    services: &[SocketAddr],
    engines: &[SocketAddr],
) -> Vec<String> {
    let pool = HttpPool::default();
    let mut by_key: BTreeMap<String, u32> = BTreeMap::new();
    for service in services {
        for (key, count) in executions_by_key(&pool, *service).await {
            *by_key.entry(key).or_default() += count;
        }
    }
    let mut ran: BTreeMap<String, u32> = by_key.clone();
    for engine in engines {
        ran.extend(executions_by_request(&pool, *engine).await);
    }
    let duplicates = by_key.iter().filter(|(key, count)| key.starts_with("story-") && **count > 1);
    let mut faults: Vec<String> =
        duplicates.map(|(key, count)| format!("{key} was run {count} times")).collect();
    let not_run = outcome.reported_not_run.iter().filter(|id| ran.contains_key(*id));
    faults.extend(not_run.map(|id| format!("{id} was told not-run and was run")));
    faults
}

async fn executions_by_key(pool: &HttpPool, at: SocketAddr) -> BTreeMap<String, u32> {
    let path = "/control/executions";
    let answer = call(pool, at, Method::GET, path, Bytes::new(), COUNT_TIMEOUT).await;
    answer.ok().and_then(|answer| answer.json().ok()).unwrap_or_default()
}

async fn executions_by_request(pool: &HttpPool, at: SocketAddr) -> BTreeMap<String, u32> {
    let path = "/control/executions";
    let answer = call(pool, at, Method::GET, path, Bytes::new(), COUNT_TIMEOUT).await;
    let executions: Executions =
        answer.ok().and_then(|answer| answer.json().ok()).unwrap_or_default();
    executions.by_request
}
