//! Callers that keep asking daemons before a site, and what they got.

use std::time::{Duration, Instant};

use cherrystand_testkit::whole_stream;
use futures_util::StreamExt;
use hyper::StatusCode;

use super::Answer;
use super::site::{Node, call};

/// How many cases are played at once.
const CASES_AT_ONCE: usize = 3;

/// A request as its caller saw it.
pub(crate) struct CallerRequest {
    pub(crate) id: String,
    pub(crate) sent: Instant,
    pub(crate) took: Duration,
    pub(crate) answer: Answer,
}

/// The id of a request begins with the daemon that it is sent to.
pub(crate) fn daemon_of(request: &str, _: Instant) -> Option<String> {
    request.split_once('-').map(|(daemon, _)| daemon.to_owned())
}

pub(crate) async fn ask(node: &Node, path: &str, id: String) -> CallerRequest {
    let sent = Instant::now();
    let answer = call(node, "POST", path, &id, "k1").await;
    CallerRequest { id, sent, took: sent.elapsed(), answer }
}

/// Sends each daemon requests of one kind, one each time, for a while.
pub(crate) async fn send_to_all(
    nodes: &[Node],
    path: &str,
    every: Duration,
    lasts: Duration,
) -> Vec<CallerRequest> {
    let rounds = lasts.as_millis() / every.as_millis();
    let all = (0..rounds as u32).flat_map(|round| {
        nodes.iter().map(move |node| async move {
            tokio::time::sleep(every * round).await;
            ask(node, path, format!("n{}-{round}{}", node.number, path.replace('/', "-"))).await
        })
    });
    futures_util::future::join_all(all).await
}

/// Plays cases, a few at once.
pub(crate) async fn run_cases<T>(cases: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    futures_util::stream::iter(cases).buffered(CASES_AT_ONCE).collect().await
}

/// Names the case in each line that says what is wrong in it.
pub(crate) fn prefix_with_case(name: &str, wrong: Vec<String>) -> Vec<String> {
    wrong.into_iter().map(|wrong| format!("{name}: {wrong}")).collect()
}

/// Says how the first request ended that was not served.
pub(crate) fn describe_first_failure(asked: &[CallerRequest]) -> String {
    let failed = asked.iter().find(|asked| !is_served(asked));
    let said = failed.map(|asked| {
        let length = asked.answer.text().len();
        format!("{}: {}, {length} bytes, after {:?}", asked.id, asked.answer.status, asked.took)
    });
    said.unwrap_or_default()
}

/// Says how many requests were not served, and how the first of them ended; nothing where all were.
pub(crate) fn describe_failures(asked: &[CallerRequest]) -> Option<String> {
    let failed = asked.iter().filter(|asked| !is_served(asked)).count();
    let said =
        || format!("{failed} of {} not served; {}", asked.len(), describe_first_failure(asked));
    (failed > 0).then(said)
}

pub(crate) fn is_served(asked: &CallerRequest) -> bool {
    let whole = [whole_stream(&asked.id), format!("answer to {}", asked.id)];
    asked.answer.status == StatusCode::OK && whole.contains(&asked.answer.text())
}
