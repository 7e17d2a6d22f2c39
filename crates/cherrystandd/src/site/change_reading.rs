//! Reads the store's changes from a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{Millis, NodeId, PropagationBudget, Revision, RunningTime};
use cherrystand_peer::{
    ChangeCursor, ChangeRequest, ChangeUpdate, CodecError, UnpackError, decode, encode,
};
use cherrystand_platform::{
    AnswerProgress, BoxCall, CallError, CallLimits, call_while_arriving, connect_timeout,
    since_boot,
};
use hyper::{HeaderMap, Method, StatusCode};

use crate::site::ChangeSource;
use crate::site::control::{Control, to_duration};
use crate::site::opened_update::{OpenError, OpenedUpdate};

/// How long an answer may take that does not wait for a change.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(PropagationBudget::PEER_RESPONSE_TIME.0);

/// Why a peer's changes could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangesError {
    /// The call to the peer failed.
    #[error("the call to the peer failed")]
    CallFailed(#[from] CallError),
    /// The peer has no fresh state of the store.
    #[error("the peer answered with status {0}")]
    ErrorStatus(StatusCode),
    /// The answer could not be decoded.
    #[error("the peer's answer could not be decoded")]
    Malformed(#[from] CodecError),
    /// A part of the answer could not be read, and nothing of it was applied.
    #[error(transparent)]
    Unreadable(#[from] OpenError),
    /// This daemon was paused in the meantime, so the failure is not the peer's.
    #[error("this daemon was paused while it waited")]
    Paused,
    /// The answer is stale: the store last answered the peer too long ago.
    #[error("the answer is stale: the store last answered the peer {} ms before", .0.0)]
    Stale(Millis),
}

impl ChangesError {
    /// Returns whether the failure is not the peer's, and the same question may get a good answer.
    pub(crate) fn may_ask_again(&self) -> bool {
        let is_other_base =
            |err: &OpenError| matches!(err, OpenError::Configuration(UnpackError::OtherBase(_)));
        match self {
            Self::Paused => true,
            Self::Unreadable(err) => is_other_base(err),
            _ => false,
        }
    }
}

/// Reads the changes after a cursor from a peer and applies them. Returns the cursor to continue
/// from.
pub(crate) async fn read_changes(
    control: &Control,
    node: &NodeId,
    peer: SocketAddr,
    cursor: Option<ChangeCursor>,
) -> Result<ChangeCursor, ChangesError> {
    let (sent_at, sent_since_boot) = (control.now(), since_boot());
    let timeout = control.budget().peer_timeout();
    let wait = control.budget().peer_wait_at(control.store_age().unwrap_or_default());
    let request = ChangeRequest::After { cursor, wait, config: control.held_config_revision() };
    let progress = AnswerProgress::default();
    let result = request_changes(control, peer, &request, to_duration(timeout), &progress).await;
    // An answer that arrived while this process was paused does not show the current state.
    let began = progress.began_at().unwrap_or_else(since_boot).saturating_sub(sent_since_boot);
    if began > to_duration(timeout + RunningTime::MAX_TICK_GAP) {
        return Err(ChangesError::Paused);
    }
    let answer = result?;
    if answer.store_age > control.budget().with_answer_time(answer.answer_time).max_source_age() {
        return Err(ChangesError::Stale(answer.store_age));
    }
    apply_update(control, node, &answer, sent_at)?;
    Ok(answer.cursor)
}

/// Reads at once what this node lacks from a peer whose state of the store is at most `max_age` old,
/// and applies it.
pub(crate) async fn read_changes_since(
    control: &Control,
    node: &NodeId,
    peer: SocketAddr,
    max_age: Millis,
) -> Result<(), ChangesError> {
    let sent_at = control.now();
    let known = control.complete_up_to().unwrap_or(Revision::NONE);
    let request = ChangeRequest::Since { known, max_age, config: control.held_config_revision() };
    let progress = AnswerProgress::default();
    let answer = request_changes(control, peer, &request, ANSWER_TIMEOUT, &progress).await?;
    apply_update(control, node, &answer, sent_at)
}

/// Applies a peer's answer to a request that was sent at `sent_at`.
fn apply_update(
    control: &Control,
    node: &NodeId,
    answer: &ChangeUpdate,
    sent_at: Millis,
) -> Result<(), ChangesError> {
    let now = control.now();
    // The state is as old as it was at the peer, plus the time in transit.
    let age = answer.store_age + now.since(sent_at).since(answer.waited);
    let news_age = control.cx.metrics.news_age.with_label_values(&["changes"]);
    news_age.observe(age.as_secs_f64());
    let OpenedUpdate { config, batch } = control.open_update(answer)?;
    if control.store_age().is_none_or(|held| age < held) {
        control.record_answer_time(answer.answer_time);
    }
    let source = ChangeSource::Peer(node.clone());
    let mut has_changes = answer.whole || !batch.is_empty();
    control.time_apply(|| {
        let mut state = control.state.borrow_mut();
        has_changes |= config.is_some_and(|config| state.apply_config(&config, &source));
        state.apply_peer_changes(source.clone(), answer, &batch, now);
    });
    control.record_update(&source, age, has_changes);
    // Changes after the revision would not show that a box is gone that the peer keeps.
    if !answer.keeps_unlisted {
        control.record_complete(answer.revision);
    }
    Ok(())
}

/// Reads the latest snapshot that a peer has, while neither the store nor a reader of it answers
/// this node.
///
/// The snapshot does not show the current state of the store, and this node makes no decisions from
/// it.
pub(crate) async fn read_snapshot(
    control: &Control,
    node: NodeId,
    peer: SocketAddr,
) -> Result<(), ChangesError> {
    let newer_than = control.state.borrow().revision();
    let request = ChangeRequest::Snapshot { newer_than, config: control.held_config_revision() };
    let progress = AnswerProgress::default();
    let answer = request_changes(control, peer, &request, ANSWER_TIMEOUT, &progress).await?;
    apply_snapshot(control, node, &answer, control.open_update(&answer)?);
    Ok(())
}

/// Asks a peer whether the store kept answering it while it was silent here. If so, boxes that the
/// peer does not list are gone, and the peer's snapshot is applied.
pub(crate) async fn ask_witness(
    control: &Control,
    node: NodeId,
    peer: SocketAddr,
    silence: Millis,
) -> Result<bool, ChangesError> {
    let request = ChangeRequest::Snapshot {
        newer_than: Revision::NONE,
        config: control.held_config_revision(),
    };
    let progress = AnswerProgress::default();
    let answer = request_changes(control, peer, &request, ANSWER_TIMEOUT, &progress).await?;
    let is_refuted =
        answer.store_age <= control.budget().max_source_age() && answer.answering_for > silence;
    if is_refuted {
        let opened = control.open_update(&answer)?;
        control.state.borrow_mut().clear_outage();
        apply_snapshot(control, node, &answer, opened);
    }
    Ok(is_refuted)
}

/// Applies a peer's snapshot, which does not show whether the store answers.
fn apply_snapshot(
    control: &Control,
    node: NodeId,
    answer: &ChangeUpdate,
    OpenedUpdate { config, batch }: OpenedUpdate,
) {
    let source = ChangeSource::Peer(node);
    let mut state = control.state.borrow_mut();
    if let Some(config) = config {
        state.apply_config(&config, &source);
    }
    state.apply_snapshot(source, &batch.records, answer.revision, control.now());
    drop(state);
    control.publish_and_wake();
}

/// Calls a peer without requesting anything.
///
/// # Errors
///
/// Returns a [`ChangesError`] if no answer arrives.
pub(crate) async fn ping(control: &Control, peer: SocketAddr) -> Result<(), ChangesError> {
    let progress = AnswerProgress::default();
    post(control, peer, &ChangeRequest::Ping, ANSWER_TIMEOUT, &progress).await?;
    Ok(())
}

async fn request_changes(
    control: &Control,
    peer: SocketAddr,
    request: &ChangeRequest,
    timeout: Duration,
    progress: &AnswerProgress,
) -> Result<ChangeUpdate, ChangesError> {
    let body = post(control, peer, request, timeout, progress).await?;
    let answer: ChangeUpdate = decode(&body)?;
    control.count_changes("in", &answer, body.len());
    Ok(answer)
}

/// Sends a request to a peer. The answer has to begin within the timeout; it may take longer as long as
/// parts of it arrive, since everything may be a few hundred kilobytes.
async fn post(
    control: &Control,
    peer: SocketAddr,
    request: &ChangeRequest,
    timeout: Duration,
    progress: &AnswerProgress,
) -> Result<Bytes, ChangesError> {
    let body = Bytes::from(encode(request)?);
    let (method, path, headers) = (Method::POST, "/changes".to_owned(), HeaderMap::new());
    let call = BoxCall { method, path, headers, body };
    let limits = CallLimits {
        connect: connect_timeout(timeout),
        first_part: timeout,
        next_part: ANSWER_TIMEOUT,
    };
    let response = call_while_arriving(&control.pool, peer, call, limits, progress).await?;
    match response.status {
        StatusCode::OK => Ok(response.body),
        status => Err(ChangesError::ErrorStatus(status)),
    }
}
