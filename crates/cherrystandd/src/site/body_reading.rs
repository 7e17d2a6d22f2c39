//! Reading the body of a request.

use bytes::Bytes;
use cherrystand_platform::{BodyBuffer, BufferBudget, BufferReservation};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};

/// Reads a body completely, up to `max_bytes`, as far as memory allows.
///
/// A caller may take any time to send it. If there is no memory for it, the caller is asked to
/// retry; nothing of its request has run.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    buffer_budget: &BufferBudget,
) -> Result<(Bytes, BufferReservation), StatusCode> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let no_memory = StatusCode::SERVICE_UNAVAILABLE;
    let mut read = BodyBuffer::new(buffer_budget.try_reserve(announced).ok_or(no_memory)?);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let more = buffer_budget.try_reserve(read.additional_needed(&data)).ok_or(no_memory)?;
        read.push(&data, more);
    }
    Ok(read.finish())
}
