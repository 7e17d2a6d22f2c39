//! Passing the store's changes on to peers, and reading them from one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{AwakeTime, ChangesSince, Millis, NewsBudget, NodeId, Revision};
use cherrystand_peer::{
    BatchSpan, ChangeCursor, ChangeNews, ChangeQuestion, CodecError, decode, encode,
};
use cherrystand_platform::{CallError, call, serve_http};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::site::ChangeSource;
use crate::site::control::{Control, to_duration};

/// How long an answer may take that waits for nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(NewsBudget::PEER_ANSWERS_WITHIN.0);

/// The age of what a daemon has from a peer's copy alone.
const UNKNOWN_AGE: Millis = Millis(u64::MAX);

/// The longest wait that a peer may ask for.
const MAX_WAIT: Millis = Millis(5_000);

/// The largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 256;

/// Tells why a peer's changes could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ChangesError {
    /// The peer gave no usable answer.
    #[error("the peer gave no usable answer")]
    NoAnswer(#[from] CallError),
    /// The peer does not know how the store stands.
    #[error("the peer answered with status {0}")]
    NotServed(StatusCode),
    /// The answer is not of this protocol.
    #[error("the peer's answer cannot be read")]
    Malformed(#[from] CodecError),
    /// This daemon stood still meanwhile, which says nothing of the peer.
    #[error("this daemon stood still while it waited")]
    Paused,
    /// The answer is too old, or the store last answered the peer too long ago.
    #[error("the answer is too old; the store had answered the peer {} ms before", .0.0)]
    Stale(Millis),
}

/// Answers peers for as long as the duty runs.
pub(crate) async fn serve_changes(control: Rc<Control>, listener: TcpListener) {
    let (_running, stop) = watch::channel(false);
    let handle = move |req| handle(control.clone(), req);
    serve_http(listener, handle, stop).await;
}

async fn handle(control: Rc<Control>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let told = match read_request(req).await {
        Ok(question) => respond(&control, question).await,
        Err(status) => Err(status),
    };
    match told {
        Ok(bytes) => Response::new(Full::new(bytes)),
        Err(status) => {
            let mut refusal = Response::new(Full::default());
            *refusal.status_mut() = status;
            refusal
        }
    }
}

async fn read_request(req: Request<Incoming>) -> Result<ChangeQuestion, StatusCode> {
    let body = Limited::new(req.into_body(), MAX_QUESTION_BYTES).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    decode(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

async fn respond(control: &Control, question: ChangeQuestion) -> Result<Bytes, StatusCode> {
    let news = match question {
        ChangeQuestion::After { cursor, wait, config } => {
            changes_after(control, cursor, wait, config).await?
        }
        ChangeQuestion::Copy { newer_than, config } => {
            snapshot_newer_than(control, newer_than, config)?
        }
        ChangeQuestion::Ping => return Ok(Bytes::new()),
    };
    let bytes = encode(&news).map_err(encoding_failed)?;
    control.count_changes("out", &news, bytes.len());
    Ok(Bytes::from(bytes))
}

fn encoding_failed(err: CodecError) -> StatusCode {
    log::error!("changes cannot be written: {err}");
    StatusCode::INTERNAL_SERVER_ERROR
}

/// Waits for a change after a cursor and makes the news of it, where the store's state is known
/// freshly.
async fn changes_after(
    control: &Control,
    cursor: Option<ChangeCursor>,
    wait: Millis,
    config: Revision,
) -> Result<ChangeNews, StatusCode> {
    let life = control.incarnation();
    let after = cursor.filter(|cursor| cursor.life == life).map(|cursor| cursor.count);
    let asked = control.now();
    let until = asked + wait.min(MAX_WAIT);
    // One that asks the store itself has the answer soon, and the asker would go to the store as
    // well; one that asks a peer in turn would only add to the wait.
    if fresh_store_age(control).is_none() && control.peers.source().is_some() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    wait_for_change(control, after, until).await;
    let store_age = fresh_store_age(control).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let held = control.now().since(asked);
    Ok(ChangeNews { held, ..build_news(control, after, store_age, config)? })
}

/// Waits until there is a change after the first `after`, until a time, or until what is known here is no longer fresh:
/// the asker has to look elsewhere then.
async fn wait_for_change(control: &Control, after: Option<u64>, until: Millis) {
    let mut changed = control.change_count.subscribe();
    let is_due =
        |count: &u64| fresh_store_age(control).is_some() && after.is_none_or(|at| *count > at);
    loop {
        let was_fresh = fresh_store_age(control);
        let left = until.since(control.now());
        let fresh_for = was_fresh.map(|age| control.budget.fresh_for().since(age) + Millis(1));
        let look = to_duration(fresh_for.map_or(left, |fresh_for| fresh_for.min(left)));
        let came = tokio::time::timeout(look, changed.wait_for(is_due)).await.is_ok();
        let is_old = was_fresh.is_some() && fresh_store_age(control).is_none();
        if came || is_old || control.now() >= until {
            return;
        }
    }
}

/// Returns how long ago the store told this node how it stands, where that is fresh.
fn fresh_store_age(control: &Control) -> Option<Millis> {
    let is_listed = control.state.borrow().is_listed();
    control.store_age().filter(|age| *age <= control.budget.fresh_for() && is_listed)
}

/// Makes a copy of everything, where it is newer than what the asker has.
fn snapshot_newer_than(
    control: &Control,
    newer_than: Revision,
    config: Revision,
) -> Result<ChangeNews, StatusCode> {
    let known = control.state.borrow();
    if !known.is_listed() || known.revision() <= newer_than {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let store_age = control.store_age().unwrap_or(UNKNOWN_AGE);
    drop(known);
    build_news(control, None, store_age, config)
}

/// Returns the news after the first `after` changes, or of everything, for a peer that holds a
/// configuration.
fn build_news(
    control: &Control,
    after: Option<u64>,
    store_age: Millis,
    config: Revision,
) -> Result<ChangeNews, StatusCode> {
    let known = control.state.borrow();
    let after = after.filter(|after| known.keeps_changes_since(*after));
    let span = BatchSpan { after, until: known.change_count() };
    let make = || match after.and_then(|after| known.changes_since(after)) {
        Some(since) => since,
        None => ChangesSince { records: known.snapshot(), gone: Vec::new() },
    };
    let batch =
        control.packed_batches.borrow_mut().get_or_pack(span, make).map_err(encoding_failed)?;
    Ok(ChangeNews {
        cursor: ChangeCursor { life: control.incarnation(), count: known.change_count() },
        store_age,
        steady_for: known.answering_for(control.now()),
        held: Millis(0),
        revision: known.revision(),
        keeps_unlisted: known.keeps_unlisted(),
        whole: after.is_none(),
        config: control.cx.config_versions.newer_than(config),
        batch,
    })
}

/// How far a node has read at a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerPosition {
    /// The place in the peer's changes.
    pub(crate) cursor: ChangeCursor,
    /// The revision after which the store itself can be read on, where it can.
    pub(crate) store: Option<Revision>,
}

/// Reads what changed at a peer after a cursor, and takes it in.
pub(crate) async fn read_changes(
    control: &Control,
    node: &NodeId,
    peer: SocketAddr,
    cursor: Option<ChangeCursor>,
) -> Result<PeerPosition, ChangesError> {
    let asked = control.now();
    let within = control.budget.peer_given_up_after();
    let wait = control.budget.wait();
    let question = ChangeQuestion::After { cursor, wait, config: control.held_config_revision() };
    let answer = request_news(control, peer, &question, to_duration(within)).await;
    let now = control.now();
    // An answer that lay unread while this process stood still says nothing of now.
    if now.since(asked) > within + AwakeTime::UNNOTICED {
        return Err(ChangesError::Paused);
    }
    let news = answer?;
    if news.store_age > control.budget.fresh_for() {
        return Err(ChangesError::Stale(news.store_age));
    }
    // What this daemon knows is as old as what the peer knew, and the way besides.
    let age = news.store_age + now.since(asked).since(news.held);
    let old = control.cx.metrics.news_age.with_label_values(&["changes"]);
    old.observe(age.as_secs_f64());
    let batch = news.batch.unpack()?;
    let mut changes = news.whole || !batch.is_empty();
    control.time_apply(|| {
        changes |= control.apply_packed_config(news.config.as_deref());
        let teller = ChangeSource::Peer(node.clone());
        control.state.borrow_mut().apply_peer_changes(teller, &news, &batch, now);
    });
    control.record_update(&ChangeSource::Peer(node.clone()), age, changes);
    let store = (!news.keeps_unlisted).then_some(news.revision);
    Ok(PeerPosition { cursor: news.cursor, store })
}

/// Takes over what a peer knew last, while neither the store nor a reader of it answers this node.
///
/// That says nothing of how the store stands now, and this node decides nothing by it.
pub(crate) async fn read_snapshot(
    control: &Control,
    node: NodeId,
    peer: SocketAddr,
) -> Result<(), ChangesError> {
    let newer_than = control.state.borrow().revision();
    let question = ChangeQuestion::Copy { newer_than, config: control.held_config_revision() };
    let news = request_news(control, peer, &question, ANSWER_TIMEOUT).await?;
    let now = control.now();
    control.apply_packed_config(news.config.as_deref());
    let batch = news.batch.unpack()?;
    let teller = ChangeSource::Peer(node);
    control.state.borrow_mut().apply_snapshot(teller, &batch.records, news.revision, now);
    control.publish_and_wake();
    Ok(())
}

/// Asks a peer whether the store answered it all the while that it was silent here; then what that peer lists no
/// more is gone.
pub(crate) async fn ask_witness(
    control: &Control,
    node: NodeId,
    peer: SocketAddr,
    silence: Millis,
) -> Result<bool, ChangesError> {
    let question =
        ChangeQuestion::Copy { newer_than: Revision::NONE, config: control.held_config_revision() };
    let news = request_news(control, peer, &question, ANSWER_TIMEOUT).await?;
    let was_none = news.store_age <= control.budget.fresh_for() && news.steady_for > silence;
    if was_none {
        let batch = news.batch.unpack()?;
        let mut known = control.state.borrow_mut();
        known.clear_outage();
        known.apply_snapshot(
            ChangeSource::Peer(node),
            &batch.records,
            news.revision,
            control.now(),
        );
        drop(known);
        control.publish_and_wake();
    }
    Ok(was_none)
}

/// Asks a peer for nothing but an answer.
///
/// # Errors
///
/// Returns a [`ChangesError`] where none comes.
pub(crate) async fn ping(control: &Control, peer: SocketAddr) -> Result<(), ChangesError> {
    post(control, peer, &ChangeQuestion::Ping, ANSWER_TIMEOUT).await?;
    Ok(())
}

async fn request_news(
    control: &Control,
    peer: SocketAddr,
    question: &ChangeQuestion,
    within: Duration,
) -> Result<ChangeNews, ChangesError> {
    let body = post(control, peer, question, within).await?;
    let news: ChangeNews = decode(&body)?;
    control.count_changes("in", &news, body.len());
    Ok(news)
}

async fn post(
    control: &Control,
    peer: SocketAddr,
    question: &ChangeQuestion,
    within: Duration,
) -> Result<Bytes, ChangesError> {
    let body = Bytes::from(encode(question)?);
    let answer = call(&control.pool, peer, Method::POST, "/changes", body, within).await?;
    match answer.status {
        StatusCode::OK => Ok(answer.body),
        status => Err(ChangesError::NotServed(status)),
    }
}
