//! Serves the store's changes to peers.

use bytes::Bytes;
use cherrystand_core::{ChangesSince, Millis, Revision};
use cherrystand_peer::{
    BatchSpan, ChangeCursor, ChangeRequest, ChangeUpdate, CodecError, PackError, decode, encode,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::site::control::{Control, to_duration};

/// The age of a state that a daemon has only from a peer's snapshot.
const UNKNOWN_AGE: Millis = Millis(u64::MAX);

/// The longest wait that a peer may request.
const MAX_WAIT: Millis = Millis(5_000);

/// The largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 256;

/// Answers a peer's request for changes.
///
/// # Errors
///
/// Returns the status of the answer if there are none to send.
pub(super) async fn answer_changes(
    control: &Control,
    req: Request<Incoming>,
) -> Result<Bytes, StatusCode> {
    let request = read_request(req).await?;
    respond(control, request).await
}

async fn read_request(req: Request<Incoming>) -> Result<ChangeRequest, StatusCode> {
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    decode(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

async fn respond(control: &Control, request: ChangeRequest) -> Result<Bytes, StatusCode> {
    let answer = match request {
        ChangeRequest::After { cursor, wait, config } => {
            changes_after(control, cursor, wait, config).await?
        }
        ChangeRequest::Snapshot { newer_than, config } => {
            snapshot_newer_than(control, newer_than, config)?
        }
        ChangeRequest::Since { known, max_age, config } => {
            changes_since(control, known, max_age, config)?
        }
        ChangeRequest::Ping => return Ok(Bytes::new()),
    };
    let bytes = encode(&answer).map_err(encoding_failed)?;
    control.count_changes("out", &answer, bytes.len());
    Ok(Bytes::from(bytes))
}

fn packing_failed(err: PackError) -> StatusCode {
    log::error!("the configuration cannot be packed for a peer: {err}");
    StatusCode::INTERNAL_SERVER_ERROR
}

fn encoding_failed(err: CodecError) -> StatusCode {
    log::error!("changes cannot be encoded: {err}");
    StatusCode::INTERNAL_SERVER_ERROR
}

/// Waits for a change after a cursor and builds an answer with it, if the state of the store is
/// fresh.
async fn changes_after(
    control: &Control,
    cursor: Option<ChangeCursor>,
    wait: Millis,
    config: Revision,
) -> Result<ChangeUpdate, StatusCode> {
    let incarnation = control.incarnation();
    let after =
        cursor.filter(|cursor| cursor.incarnation == incarnation).map(|cursor| cursor.count);
    let began = control.now();
    let until = began + wait.min(MAX_WAIT);
    // A node that reads the store itself will have a fresh state soon, and otherwise the peer would
    // go to the store as well. A node that reads from another peer would only add to the delay.
    if fresh_store_age(control).is_none() && control.peers.source().is_some() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    wait_for_change(control, after, until).await;
    let store_age = fresh_store_age(control).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let waited = control.now().since(began);
    Ok(ChangeUpdate { waited, ..build_answer(control, after, store_age, config)? })
}

/// Waits until there is a change after the first `after`, until a time is reached, or until the
/// state here is no longer fresh and the peer has to read elsewhere.
async fn wait_for_change(control: &Control, after: Option<u64>, until: Millis) {
    let mut changed = control.change_count.subscribe();
    let is_due =
        |count: &u64| fresh_store_age(control).is_some() && after.is_none_or(|at| *count > at);
    loop {
        let was_fresh = fresh_store_age(control);
        let left = until.since(control.now());
        let fresh_for =
            was_fresh.map(|age| control.budget().max_source_age().since(age) + Millis(1));
        let timeout = to_duration(fresh_for.map_or(left, |fresh_for| fresh_for.min(left)));
        let is_changed = tokio::time::timeout(timeout, changed.wait_for(is_due)).await.is_ok();
        let is_stale = was_fresh.is_some() && fresh_store_age(control).is_none();
        if is_changed || is_stale || control.now() >= until {
            return;
        }
    }
}

/// Returns the age of the state of the store, if it is fresh.
fn fresh_store_age(control: &Control) -> Option<Millis> {
    let is_listed = control.state.borrow().is_listed();
    control.store_age().filter(|age| *age <= control.budget().max_source_age() && is_listed)
}

/// Builds a snapshot of everything, if it is newer than what the peer has.
fn snapshot_newer_than(
    control: &Control,
    newer_than: Revision,
    config: Revision,
) -> Result<ChangeUpdate, StatusCode> {
    let state = control.state.borrow();
    if !state.is_listed() || state.revision() <= newer_than {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let store_age = control.store_age().unwrap_or(UNKNOWN_AGE);
    drop(state);
    build_answer(control, None, store_age, config)
}

/// Builds an answer with all that a peer lacks who knows everything up to a revision, if the state
/// here is no older than what that peer can use.
fn changes_since(
    control: &Control,
    known: Revision,
    max_age: Millis,
    config: Revision,
) -> Result<ChangeUpdate, StatusCode> {
    let state = control.state.borrow();
    let store_age = control.store_age().filter(|age| *age <= max_age && state.is_listed());
    let store_age = store_age.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let after = state.changes_known_at(known);
    drop(state);
    build_answer(control, after, store_age, config)
}

/// Builds an answer with the changes after the first `after`, or with everything, for a peer that
/// holds the configuration at revision `config`.
fn build_answer(
    control: &Control,
    after: Option<u64>,
    store_age: Millis,
    config: Revision,
) -> Result<ChangeUpdate, StatusCode> {
    let state = control.state.borrow();
    let after = after.filter(|after| state.keeps_changes_since(*after));
    let span = BatchSpan { after, until: state.change_count() };
    let collect = || match after.and_then(|after| state.changes_since(after)) {
        Some(since) => since,
        None => ChangesSince { records: state.snapshot(), gone: Vec::new() },
    };
    let batch =
        control.packed_batches.borrow_mut().get_or_pack(span, collect).map_err(encoding_failed)?;
    Ok(ChangeUpdate {
        cursor: ChangeCursor { incarnation: control.incarnation(), count: state.change_count() },
        store_age,
        answer_time: control.cx.store_freshness.answer_time(),
        answering_for: state.answering_for(control.now()),
        waited: Millis(0),
        revision: state.revision(),
        keeps_unlisted: state.may_hold_unlisted(),
        whole: after.is_none(),
        config: control.cx.config_versions.newer_than(config).map_err(packing_failed)?,
        batch,
    })
}
