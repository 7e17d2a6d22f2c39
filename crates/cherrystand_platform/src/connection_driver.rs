//! Drives an HTTP client connection until it ends.

use std::future::poll_fn;

use bytes::Bytes;
use cherrystand_core::may_belong_to_answer;
use http_body_util::Full;
use hyper::client::conn::http1::{Connection, Parts};
use hyper_util::rt::TokioIo;

use crate::received_bytes::{CountedStream, ReceivedBytes};

/// How many bytes are looked at that arrived behind an answer and weren't read, enough to know another
/// answer by.
const SURPLUS_BYTES: usize = 64;

/// The connection that a driver runs.
pub(crate) type DrivenConnection = Connection<TokioIo<CountedStream>, Full<Bytes>>;

/// Runs a connection until it ends, and records whether bytes that may belong to the last answer follow
/// that answer's end.
///
/// The HTTP library ends a connection on which something stands behind an answer, and one that is to be
/// closed, in the poll in which it reads the answer's end. So on one thread the reader of the answer
/// learns of such bytes with its end, and waits for nothing.
pub(crate) async fn drive(mut conn: DrivenConnection, received: ReceivedBytes) {
    // The future of the request reports the failure.
    let _ = poll_fn(|cx| conn.poll_without_shutdown(cx)).await;
    let Parts { io, read_buf, .. } = conn.into_parts();
    let mut arrived = [0; SURPLUS_BYTES];
    let surplus = match read_buf.is_empty() {
        true => io.inner().read_arrived(&mut arrived),
        false => &read_buf,
    };
    if may_belong_to_answer(surplus) {
        received.record_surplus();
    }
}
