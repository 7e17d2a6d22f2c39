//! Checks of answers from the caller's point of view.

use std::collections::BTreeMap;

use hyper::{HeaderMap, StatusCode};
use serde_json::Value;

use crate::{Prompt, ServiceAnswer};

/// The result of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is complete and correct.
    Complete,
    /// The request was refused: it was not run, or a call with its key had run before.
    Refused {
        /// The reason in the answer.
        reason: String,
        /// Whether the answer says that the request was not run.
        not_run: bool,
    },
    /// The caller was told, or must assume, that the request may have run.
    Unknown,
    /// The answer belongs to another request, or is incomplete without saying so, or breaks the
    /// protocol in another way.
    Wrong(String),
}

/// Counts requests by verdict.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely and correctly.
    pub complete: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Refusals by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Tally {
    /// Counts a request and its verdict.
    pub fn record(&mut self, verdict: &Verdict) {
        self.sent += 1;
        match verdict {
            Verdict::Complete => self.complete += 1,
            Verdict::Refused { reason, .. } => {
                self.refused += 1;
                *self.reasons.entry(reason.clone()).or_default() += 1;
            }
            Verdict::Unknown => self.unknown += 1,
            Verdict::Wrong(_) => self.wrong += 1,
        }
    }

    /// Returns the counts as one line of text.
    pub fn summary(&self) -> String {
        format!(
            "{} sent, {} whole, {} refused, {} unknown, {} wrong",
            self.sent, self.complete, self.refused, self.unknown, self.wrong
        )
    }
}

/// Checks an answer with an error status; returns `None` if the status is a success.
pub fn check_refusal(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Option<Verdict> {
    let outcome = headers.get("cherrystand-outcome").and_then(|value| value.to_str().ok());
    if status.is_success() {
        return None;
    }
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let reason = value["error"]["reason"].as_str().unwrap_or_default().to_owned();
    Some(match outcome {
        _ if reason.is_empty() => Verdict::Wrong(format!("status {status} without a reason")),
        Some("not-run") => Verdict::Refused { reason, not_run: true },
        Some("ran") => Verdict::Refused { reason, not_run: false },
        Some("unknown") => Verdict::Unknown,
        _ => Verdict::Wrong(format!("status {status} without an outcome")),
    })
}

/// Checks a model's answer that is not streamed.
pub fn check_answer(prompt: &Prompt, body: &[u8]) -> Verdict {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    if text == prompt.full_text() {
        return Verdict::Complete;
    }
    Verdict::Wrong(format!("asked `{}` and got `{text}`", prompt.text))
}

/// Checks a model's answer that is a stream of events.
pub fn check_stream(prompt: &Prompt, body: &[u8]) -> Verdict {
    let text = String::from_utf8_lossy(body);
    if text.contains("event: error") {
        return Verdict::Unknown;
    }
    let expected: String = (0..prompt.tokens).map(|number| prompt.event(number)).collect();
    if text == format!("{expected}data: [DONE]\n\n") {
        return Verdict::Complete;
    }
    Verdict::Wrong(format!("the stream of `{}` is not whole: `{text}`", prompt.text))
}

/// Checks a plain service's answer, which echoes the path and the body of the request.
pub fn check_service(path: &str, request_body: &str, body: &[u8]) -> Verdict {
    match serde_json::from_slice::<ServiceAnswer>(body) {
        Ok(answer) if answer.path == path && answer.body == request_body => Verdict::Complete,
        Ok(answer) => Verdict::Wrong(format!("asked {path} `{request_body}` and got {answer:?}")),
        Err(err) => Verdict::Wrong(format!("{path} answered what is no answer: {err}")),
    }
}
