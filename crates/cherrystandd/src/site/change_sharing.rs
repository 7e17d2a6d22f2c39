//! Passing the store's changes on to peers, and reading them from one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{Millis, Revision};
use cherrystand_peer::{ChangeCursor, ChangeNews, ChangeQuestion, decode, encode};
use cherrystand_platform::{CallError, call, serve_http};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::site::control::Control;

/// How long an answer waits for a change; a peer that is frozen is noticed soon after.
const WAIT: Millis = Millis(500);

/// How long an answer may take beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

/// What a peer passes on counts only if the store answered it within this time.
const STORE_FRESH: Millis = Millis(1_800);

/// The longest wait that a peer may ask for.
const LONGEST_WAIT: Millis = Millis(5_000);

/// The largest question, in bytes.
const LARGEST_QUESTION: usize = 256;

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
    Malformed(#[from] cherrystand_peer::CodecError),
    /// The answer is too old, or the store last answered the peer too long ago.
    #[error("the answer is too old; the store had answered the peer {} ms before", .0.0)]
    Stale(Millis),
}

/// Answers peers for as long as the duty runs.
pub(crate) async fn share_changes(control: Rc<Control>, listener: TcpListener) {
    let (_running, stop) = watch::channel(false);
    let handle = move |req| answer(control.clone(), req);
    serve_http(listener, handle, stop).await;
}

async fn answer(control: Rc<Control>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let told = match read_question(req).await {
        Ok(question) => tell(&control, question).await,
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

async fn read_question(req: Request<Incoming>) -> Result<ChangeQuestion, StatusCode> {
    let body = Limited::new(req.into_body(), LARGEST_QUESTION).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    decode(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

async fn tell(control: &Control, question: ChangeQuestion) -> Result<Bytes, StatusCode> {
    let life = control.life();
    let after = question.after.filter(|cursor| cursor.life == life).map(|cursor| cursor.count);
    if let Some(after) = after {
        let wait = Duration::from_millis(question.wait.min(LONGEST_WAIT).0);
        let mut changed = control.changed.subscribe();
        // Whether a change came or not, the answer says how fresh the store is.
        let _ = tokio::time::timeout(wait, changed.wait_for(|count| *count > after)).await;
    }
    let news = news_after(control, life, after).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let bytes = encode(&news).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(Bytes::from(bytes))
}

/// Makes the news after a count of changes, where the store's state is known freshly.
fn news_after(control: &Control, life: u64, after: Option<u64>) -> Option<ChangeNews> {
    let known = control.known.borrow();
    let store_age = control.store_age().filter(|age| *age <= STORE_FRESH && known.is_listed())?;
    let since = after.and_then(|after| known.changes_since(after));
    let whole = since.is_none();
    let (records, gone) = match since {
        Some(since) => (since.records, since.gone),
        None => (known.everything(), Vec::new()),
    };
    Some(ChangeNews {
        cursor: ChangeCursor { life, count: known.changes() },
        store_age,
        revision: known.revision(),
        keeps_unlisted: known.keeps_unlisted(),
        whole,
        records,
        gone,
    })
}

/// How far a node has read at a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceAtPeer {
    /// The place in the peer's changes.
    pub(crate) cursor: ChangeCursor,
    /// The revision after which the store itself can be read on, where it can.
    pub(crate) store: Option<Revision>,
}

/// Reads what changed at a peer after a cursor, and takes it in.
pub(crate) async fn read_changes(
    control: &Control,
    peer: SocketAddr,
    after: Option<ChangeCursor>,
) -> Result<PlaceAtPeer, ChangesError> {
    let question = encode(&ChangeQuestion { after, wait: WAIT })?;
    let within = Duration::from_millis(WAIT.0) + ANSWER_WITHIN;
    let asked = control.now();
    let body = Bytes::from(question);
    let answer = call(&control.pool, peer, Method::POST, "/changes", body, within).await?;
    if answer.status != StatusCode::OK {
        return Err(ChangesError::NotServed(answer.status));
    }
    let news: ChangeNews = decode(&answer.body)?;
    let now = control.now();
    // An answer that lay unread while this process stood still says nothing of now.
    let age = news.store_age;
    if age > STORE_FRESH || now.since(asked) > Millis(within.as_millis() as u64) {
        return Err(ChangesError::Stale(age));
    }
    let changes = news.whole || !news.records.is_empty() || !news.gone.is_empty();
    control.known.borrow_mut().take_news(&news, now);
    control.learned(age, changes);
    let store = (!news.keeps_unlisted).then_some(news.revision);
    Ok(PlaceAtPeer { cursor: news.cursor, store })
}
