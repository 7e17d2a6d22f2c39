//! The ids of calls and attempts in the product's own interfaces.

use std::error::Error;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::{AnswerNames, serve_http};

/// Header with the id of one call or one attempt. Servers carry it back in the answer.
pub const CALL_ID: HeaderName = HeaderName::from_static("cherrystand-call-id");

/// The names of calls in the product's own interfaces.
///
/// Each attempt has an id of its own, so that the answer to an earlier attempt of the same request is
/// told from that to a later one. Servers of earlier versions carry no id back.
#[derive(Clone, Copy, Debug)]
pub struct CallIds;

impl AnswerNames for CallIds {
    fn request_name(headers: &HeaderMap) -> Option<HeaderValue> {
        headers.get(CALL_ID).cloned()
    }

    fn is_answer_to(name: Option<&HeaderValue>, answer: &HeaderMap) -> bool {
        let mut ids = answer.get_all(CALL_ID).into_iter();
        ids.next() == name && ids.next().is_none()
    }

    fn may_lack_name(answer: &HeaderMap) -> bool {
        !answer.contains_key(CALL_ID)
    }

    fn name_call(headers: &mut HeaderMap) {
        headers.insert(CALL_ID, new_call_id());
    }
}

/// Returns an id that no other call or attempt of any process has.
fn new_call_id() -> HeaderValue {
    static PROCESS: LazyLock<u64> = LazyLock::new(|| RandomState::new().build_hasher().finish());
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let id = HeaderValue::try_from(format!("{:016x}-{number:x}", *PROCESS));
    id.expect("hexadecimal digits are valid in a header")
}

/// Carries the id of a call, if it has one, back in its answer.
pub fn echo_call_id<B>(id: Option<HeaderValue>, mut answer: Response<B>) -> Response<B> {
    if let Some(id) = id {
        answer.headers_mut().insert(CALL_ID, id);
    }
    answer
}

/// Serves calls as [`serve_http`] does, and carries their ids back.
///
/// Must run inside a [`tokio::task::LocalSet`].
pub async fn serve_calls<H, F, B>(listener: TcpListener, handle: H, stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let handle = move |req: Request<Incoming>| {
        let id = CallIds::request_name(req.headers());
        let answer = handle(req);
        async move { echo_call_id(id, answer.await) }
    };
    serve_http(listener, handle, stop).await;
}
