//! Carries requests of peers to boxes that their own links don't reach.
//!
//! Source: docs/design/0028-another-way-to-an-endpoint.md.

use std::time::Duration;

use bytes::Bytes;
use cherrystand_core::{BoxId, ReachReport, ServiceName, max_idle_connections};
use cherrystand_peer::{CARRY_AGAIN, CARRY_END, CARRY_TO, CarryEnd, ReachQuery, decode, encode};
use cherrystand_platform::{
    CallerAddress, HoldingBody, IdentifiedAnswer, PooledBody, RequestTries, SendError, SiteDriver,
    remove_connection_headers,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};

use crate::StopPhase;
use crate::site::Driver;
use crate::site::body_reading::read_body;
use crate::site::box_client::BoxAddress;
use crate::site::carried_requests::CarrySlot;
use crate::site::control::Control;

/// The timeout for connecting to a box for a peer, shorter than the peer waits for an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// The largest body of a request that is carried, if no configuration is known, in bytes.
const DEFAULT_BODY_BYTES: usize = 8 << 20;

/// The largest query whether a box is reached, in bytes.
const MAX_QUERY_BYTES: usize = 1 << 10;

/// The body of a box's answer on its way to a peer. If it breaks off, so does the peer's.
pub(crate) type CarriedBody = HoldingBody<PooledBody, CarrySlot>;

/// Returns the box that a request is to be carried to.
pub(super) fn carry_target(headers: &HeaderMap) -> Option<BoxId> {
    headers.get(CARRY_TO)?.to_str().ok().map(BoxId::new)
}

/// Carries a request of a peer to a box over the own link, and never on to a third daemon.
///
/// # Errors
///
/// Returns how carrying ended if the box did not answer.
pub(super) async fn carry(
    control: &Control,
    mut req: Request<Incoming>,
    target: &BoxId,
) -> Result<Response<CarriedBody>, CarryEnd> {
    req.headers_mut().remove(CARRY_TO);
    let outcome = carry_listed(control, req, target).await;
    let end = outcome.as_ref().err().copied().unwrap_or(CarryEnd::Answered);
    control.cx.metrics.carried_requests.with_label_values(&["in", end.as_str()]).inc();
    outcome
}

async fn carry_listed(
    control: &Control,
    req: Request<Incoming>,
    target: &BoxId,
) -> Result<Response<CarriedBody>, CarryEnd> {
    if !is_from_peer(control, &req) {
        return Err(CarryEnd::Unlisted);
    }
    let site_box = control.state.borrow().listed_box(target).ok_or(CarryEnd::Unlisted)?;
    if !takes_work(control) {
        return Err(CarryEnd::Full);
    }
    if !control.cx.paths().is_direct(target) {
        return Err(CarryEnd::Missed);
    }
    let slot = control.carried.admit().ok_or(CarryEnd::Full)?;
    let (head, body) = req.into_parts();
    let (body, reservation) = read_body(body, max_body_bytes(control), control.carried.budget())
        .await
        .map_err(|_| CarryEnd::Full)?;
    let (method, mut headers) = (head.method, head.headers);
    remove_connection_headers(&mut headers);
    let tries = match headers.remove(CARRY_AGAIN) {
        Some(_) => RequestTries::after_unknown(),
        None => RequestTries::default(),
    };
    let to = BoxAddress {
        id: target.clone(),
        address: site_box.address,
        max_idle: max_idle(control, &site_box.service),
        connect_timeout: CONNECT_TIMEOUT,
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method.clone();
    *req.uri_mut() = head.uri;
    *req.headers_mut() = headers;
    let sent = control.boxes.send_for_peer(&to, req, &tries).await;
    drop(reservation);
    let answer = sent.inspect_err(|err| {
        if let SendError::Malformed(reason) = err {
            log::info!(target_box = target.as_str(); "an answer is not passed on to a peer: {reason}");
        }
    });
    let answer = answer.map_err(|err| match err {
        SendError::Connect { .. } | SendError::ConnectTimedOut(_) | SendError::NotSent(_) => {
            CarryEnd::Missed
        }
        SendError::ConnectionLost(_)
        | SendError::LostBehindCarrier
        | SendError::Malformed(_)
        | SendError::ForeignAnswer
        | SendError::CarrierLost(_) => CarryEnd::Lost,
    })?;
    let IdentifiedAnswer { head, body } = answer;
    let mut answer = head.into_response(&method, CarriedBody::new(body, slot));
    answer.headers_mut().insert(CARRY_END, HeaderValue::from_static(CarryEnd::Answered.as_str()));
    Ok(answer)
}

/// Returns whether this daemon takes work of peers on. Its own callers come first.
fn takes_work(control: &Control) -> bool {
    let is_running = control.cx.stop_phase() == StopPhase::Running;
    is_running && !control.cx.crowding.is_crowded(control.now())
}

/// Returns whether a request comes from a daemon that is known to be alive.
fn is_from_peer(control: &Control, req: &Request<Incoming>) -> bool {
    let Some(CallerAddress(caller)) = req.extensions().get::<CallerAddress>() else {
        return false;
    };
    let view = control.cx.current_view();
    view.alive().any(|peer| peer.address.ip() == caller.ip())
}

fn max_body_bytes(control: &Control) -> usize {
    let state = control.state.borrow();
    state.table().map_or(DEFAULT_BODY_BYTES, |table| table.config().limits.body_bytes)
}

fn max_idle(control: &Control, service: &ServiceName) -> usize {
    let nodes = control.cx.current_view().alive().count();
    let state = control.state.borrow();
    let known = state.table().and_then(|table| table.config().service(service));
    max_idle_connections(known.and_then(|service| service.connections), nodes)
}

/// Returns the answer of this daemon itself to a request with this name that was not carried to an
/// answer.
pub(super) fn carry_failure(end: CarryEnd, name: Option<&HeaderValue>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = StatusCode::BAD_GATEWAY;
    if let Some(name) = name {
        Driver::write_request_id(answer.headers_mut(), name);
    }
    answer.headers_mut().insert(CARRY_END, HeaderValue::from_static(end.as_str()));
    answer
}

/// Answers a peer's question whether this daemon reaches a box.
pub(super) async fn answer_reach(
    control: &Control,
    req: Request<Incoming>,
) -> Result<Bytes, StatusCode> {
    if !is_from_peer(control, &req) {
        return Err(StatusCode::FORBIDDEN);
    }
    let body = Limited::new(req.into_body(), MAX_QUERY_BYTES).collect().await;
    let body = body.map_err(|_| StatusCode::BAD_REQUEST)?.to_bytes();
    let query: ReachQuery = decode(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let answer = reach(control, &query.endpoint).await;
    let bytes = encode(&answer).map_err(|err| {
        log::error!("an answer to a peer cannot be encoded: {err}");
        StatusCode::INTERNAL_SERVER_ERROR
    })?;
    Ok(Bytes::from(bytes))
}

/// Connects to a box. A daemon that reaches no other box either knows nothing of this one.
async fn reach(control: &Control, id: &BoxId) -> ReachReport {
    let Some(site_box) = control.state.borrow().listed_box(id) else {
        return ReachReport::Unknown;
    };
    if !takes_work(control) || !control.cx.paths().is_direct(id) {
        return ReachReport::Unknown;
    }
    let began = control.now();
    if control.boxes.reach(id, site_box.address, CONNECT_TIMEOUT).await {
        return ReachReport::Reached;
    }
    match control.boxes.own_link_works_since(id, began).await {
        true => ReachReport::Missed,
        false => ReachReport::Unknown,
    }
}
