//! Asks peers whether they reach a box, and has them carry requests to it.

use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{
    BodyEnd, BoxId, CarrierFailure, CarrierRegions, Heartbeat, NodeId, PathSearch, ReachReport,
    ZoneId,
};
use cherrystand_peer::{
    CARRY_AGAIN, CARRY_END, CARRY_TO, CarryEnd, REACH_PATH, ReachQuery, decode, encode,
};
use cherrystand_platform::{
    AnswerPool, CallIds, IdentifiedAnswer, RequestTries, SendError, call_box,
};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};

use crate::DutyContext;
use crate::site::Driver;
use crate::state::View;

/// How many idle connections are kept to one peer that carries requests.
const MAX_IDLE: usize = 64;

/// The timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The timeout of a question whether a peer reaches a box, with the time that the peer allows itself.
const REACH_TIMEOUT: Duration = Duration::from_millis(280);

/// Why a peer brought no answer.
pub(crate) enum CarryFailure {
    /// Nothing was sent to the box, so the request may go another way.
    NotSent,
    /// The box may have received the request.
    Failed(SendError),
}

/// A peer that carries requests.
#[derive(Clone, Debug)]
pub(crate) struct CarrierPeer {
    pub(crate) node: NodeId,
    address: SocketAddr,
}

impl CarrierPeer {
    pub(crate) fn new(peer: &Heartbeat) -> Option<Self> {
        Some(Self { node: peer.node.clone(), address: peer.changes? })
    }
}

/// The connections of one thread to peers that carry requests.
pub(crate) struct CarrierClient {
    cx: DutyContext,
    /// For requests that are carried.
    pool: AnswerPool<Driver>,
    /// For questions.
    queries: AnswerPool<CallIds>,
}

impl CarrierClient {
    pub(crate) fn new(cx: DutyContext) -> Self {
        Self { cx, pool: AnswerPool::default(), queries: AnswerPool::default() }
    }

    /// Returns how many connections to peers are open.
    pub(crate) fn open_connections(&self) -> u32 {
        self.pool.open_connections() + self.queries.open_connections()
    }

    /// Chooses a peer that is known to reach boxes, other than those in `tried`.
    pub(crate) fn choose(&self, id: &BoxId, tried: &[NodeId]) -> Option<CarrierPeer> {
        let view = self.cx.current_view();
        let zone = self.zone_of(id);
        let allowed = self.allowed_peers(&view, zone.as_ref());
        let now = self.cx.clock.now();
        let mut paths = self.cx.paths();
        let chosen = paths.choose_carrier(&view.own, &allowed, id, zone.as_ref(), tried, now);
        chosen.and_then(CarrierPeer::new)
    }

    /// Returns the peers to ask next in a search for one that reaches a box.
    pub(crate) fn next_round(&self, id: &BoxId, search: &mut PathSearch) -> Vec<CarrierPeer> {
        let view = self.cx.current_view();
        let allowed = self.allowed_peers(&view, self.zone_of(id).as_ref());
        let peers = self.cx.paths().next_round(search, &view.own, &allowed);
        peers.into_iter().filter_map(CarrierPeer::new).collect()
    }

    fn zone_of(&self, id: &BoxId) -> Option<ZoneId> {
        self.cx.site.borrow().boxes.get(id).map(|known| known.zone.clone())
    }

    /// Returns the peers that may carry requests to a box in a zone.
    fn allowed_peers<'v>(&self, view: &'v View, zone: Option<&ZoneId>) -> Vec<&'v Heartbeat> {
        let regions = CarrierRegions {
            regions: self.cx.settings.regions(),
            own_zone: &view.own.zone,
            endpoint_zone: zone,
        };
        regions.filter(view.alive())
    }

    /// Has a peer carry a request, and waits for the head of the box's answer.
    pub(crate) async fn send(
        &self,
        carrier: &CarrierPeer,
        id: &BoxId,
        mut req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<IdentifiedAnswer, CarryFailure> {
        let Ok(target) = HeaderValue::from_str(id.as_str()) else {
            return Err(CarryFailure::NotSent);
        };
        req.headers_mut().insert(CARRY_TO, target);
        if !tries.is_empty() {
            req.headers_mut().insert(CARRY_AGAIN, HeaderValue::from_static("1"));
        }
        let sent = self.pool.send(MAX_IDLE, carrier.address, req, CONNECT_TIMEOUT, tries);
        let outcome = match sent.await {
            Ok(answer) => self.read_end(carrier, id, answer),
            Err(
                SendError::ConnectionLost(_) | SendError::Malformed(_) | SendError::ForeignAnswer,
            ) => {
                self.record_failure(carrier, id, CarrierFailure::Unavailable);
                Err(CarryFailure::Failed(SendError::CarrierLost(carrier.address)))
            }
            Err(_) => {
                self.record_failure(carrier, id, CarrierFailure::Unavailable);
                Err(CarryFailure::NotSent)
            }
        };
        let result = match &outcome {
            Ok(_) => "answered",
            Err(CarryFailure::NotSent) => "not-sent",
            Err(CarryFailure::Failed(_)) => "lost",
        };
        self.cx.metrics.carried_requests.with_label_values(&["out", result]).inc();
        outcome
    }

    /// Tells the box's answer from a peer's own. A peer that doesn't carry requests says nothing of
    /// how it ended, and has sent nothing.
    ///
    /// Of an answer that ends with the peer's connection nobody can tell whether it is whole: the box or
    /// the peer may have broken it off.
    fn read_end(
        &self,
        carrier: &CarrierPeer,
        id: &BoxId,
        mut answer: IdentifiedAnswer,
    ) -> Result<IdentifiedAnswer, CarryFailure> {
        let end = answer.head.remove(CARRY_END);
        let end = end.and_then(|end| CarryEnd::parse(end.to_str().ok()?));
        match end {
            Some(CarryEnd::Answered) if answer.body.end() == BodyEnd::Connection => {
                self.record_failure(carrier, id, CarrierFailure::Unavailable);
                Err(CarryFailure::Failed(SendError::CarrierLost(carrier.address)))
            }
            Some(CarryEnd::Answered) => {
                self.cx.paths().record_reached(&carrier.node, id, self.cx.clock.now());
                Ok(answer)
            }
            Some(CarryEnd::Lost) => Err(CarryFailure::Failed(SendError::LostBehindCarrier)),
            Some(CarryEnd::Missed | CarryEnd::Unlisted) => {
                self.record_failure(carrier, id, CarrierFailure::EndpointMissed);
                Err(CarryFailure::NotSent)
            }
            Some(CarryEnd::Full) | None => {
                self.record_failure(carrier, id, CarrierFailure::Unavailable);
                Err(CarryFailure::NotSent)
            }
        }
    }

    fn record_failure(&self, carrier: &CarrierPeer, id: &BoxId, failure: CarrierFailure) {
        let now = self.cx.clock.now();
        self.cx.paths().record_carrier_failure(&carrier.node, id, failure, now);
        log::debug!(
            peer = carrier.node.as_str(), target_box = id.as_str();
            "a peer did not carry a request: {failure:?}"
        );
    }

    /// Asks a peer whether it reaches a box.
    pub(crate) async fn ask(&self, carrier: &CarrierPeer, id: &BoxId) -> ReachReport {
        let report = self.query(carrier, id).await.unwrap_or(ReachReport::Unknown);
        let now = self.cx.clock.now();
        match report {
            ReachReport::Reached => self.cx.paths().record_reached(&carrier.node, id, now),
            ReachReport::Missed => {
                self.record_failure(carrier, id, CarrierFailure::EndpointMissed);
            }
            ReachReport::Unknown => {}
        }
        report
    }

    async fn query(&self, carrier: &CarrierPeer, id: &BoxId) -> Option<ReachReport> {
        let query = encode(&ReachQuery { endpoint: id.clone() });
        let body = query.inspect_err(|err| log::error!("a query cannot be encoded: {err}")).ok()?;
        let answer = call_box(
            &self.queries,
            carrier.address,
            Method::POST,
            REACH_PATH,
            body.into(),
            REACH_TIMEOUT,
        );
        let answer = answer.await.inspect_err(|err| {
            log::debug!(peer = carrier.node.as_str(); "a peer did not say what it reaches: {err}");
        });
        let answer = answer.ok().filter(|answer| answer.status == StatusCode::OK)?;
        decode(&answer.body).ok()
    }

    /// Returns whether a peer still answers and reaches a box.
    pub(crate) async fn reaches(&self, carrier: &NodeId, id: &BoxId) -> bool {
        let view = self.cx.current_view();
        let peer = view.alive().find(|peer| &peer.node == carrier).and_then(CarrierPeer::new);
        let Some(peer) = peer else { return false };
        self.ask(&peer, id).await == ReachReport::Reached
    }
}
