//! Exchanging with peers what is in flight, over UDP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, EndpointLoad, EndpointRateLimits, Heartbeat, LoadBalancer, Millis, PeerLoads,
    PeerProgress, ProgressQueries, RetryBounds, ServiceName, answer_progress_query, fan_out,
    is_relay, relays_elsewhere,
};
use cherrystand_peer::{LoadMessage, decode, encode};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::site::Hint;
use crate::site::crash_watch::CrashWatch;
use crate::{DutyContext, clock};

/// The time between two load reports while requests are in flight.
const SEND_INTERVAL: Millis = Millis(200);

/// How many peers a load report is sent to, in round-robin order; with more peers, each gets it
/// less often.
///
/// With more peers than this, reports go only to peers of the own zone, and relays exchange the
/// totals of zones.
const MAX_PEERS_PER_ROUND: usize = 12;

/// For how long it is remembered that a leader has stopped serving; longer than a route lets a
/// request wait there.
const STOPPED_TTL: Millis = Millis(30_000);

/// To how many peers one daemon forwards a message at most. A message to all daemons takes two hops,
/// so this is the square root of the size of a fleet far larger than any.
const MAX_FORWARDS: usize = 256;

/// The largest UDP datagram; the total of a zone names each replica that the zone sends to.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Keeps what peers reported, and what is to be sent to them at once.
#[derive(Default)]
pub(crate) struct LoadExchange {
    peer_loads: RefCell<PeerLoads>,
    stalled: RefCell<Vec<BoxId>>,
    stopped: RefCell<Vec<BoxId>>,
    /// When this node last learned that a leader stopped serving: from the leader, from a peer, or
    /// because a member doesn't respond.
    stopped_at: RefCell<BTreeMap<BoxId, Millis>>,
    progress_queries: RefCell<Vec<BoxId>>,
    /// Other messages that are to be sent to all peers at once.
    to_broadcast: RefCell<Vec<LoadMessage>>,
    /// What peers were asked about each leader, and answered.
    queries: RefCell<ProgressQueries>,
    urgent: Notify,
    /// The retries that daemons lend each other, by service.
    pub(super) lent_retries: RefCell<EndpointRateLimits<ServiceName>>,
    /// Wakes the task that maintains rate limits.
    pub(super) limits_due: Notify,
    /// Wakes requests that wait for a permit.
    pub(super) permits: Notify,
}

impl LoadExchange {
    /// Creates it; the bounds for all daemons together limit how many retries are lent at once.
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        let mut lent_retries = EndpointRateLimits::with_burst(bounds.max_loan());
        lent_retries.set_last_request_number(clock::unix_millis());
        Self { lent_retries: RefCell::new(lent_retries), ..Self::default() }
    }

    /// Reports to peers at once that a replica is stalled.
    pub(crate) fn announce_stalled(&self, leader: BoxId) {
        self.stalled.borrow_mut().push(leader);
        self.urgent.notify_one();
    }

    /// Reports to peers at once that a leader has stopped serving, before they learn it from the
    /// store.
    pub(crate) fn announce_stopped(&self, leader: BoxId, now: Millis) {
        self.record_stopped(&leader, now);
        self.stopped.borrow_mut().push(leader);
        self.urgent.notify_one();
    }

    /// Sends a message to all peers at once.
    pub(crate) fn broadcast(&self, message: LoadMessage) {
        self.to_broadcast.borrow_mut().push(message);
        self.urgent.notify_one();
    }

    /// Records that a leader has stopped serving.
    fn record_stopped(&self, leader: &BoxId, now: Millis) {
        let mut stopped_at = self.stopped_at.borrow_mut();
        stopped_at.retain(|_, at| now.since(*at) < STOPPED_TTL);
        stopped_at.insert(leader.clone(), now);
    }

    /// Records that something arrived from a leader, which therefore has not stopped.
    pub(crate) fn record_heard(&self, leader: &BoxId) {
        let mut stopped_at = self.stopped_at.borrow_mut();
        if !stopped_at.is_empty() {
            stopped_at.remove(leader);
        }
    }

    /// Returns whether a leader was found to have stopped serving after `sent`.
    pub(crate) fn stopped_since(&self, leader: &BoxId, sent: Millis) -> bool {
        self.stopped_at.borrow().get(leader).is_some_and(|at| *at > sent)
    }

    /// Gives the loads of peers to the load balancer if they changed since the last call.
    pub(crate) fn update_balancer(&self, balancer: &mut LoadBalancer) {
        if let Some(totals) = self.peer_loads.borrow_mut().changed_totals() {
            balancer.set_peer_loads(&totals);
        }
    }

    /// Returns how long ago a peer last answered a progress query, whatever it said.
    pub(crate) fn last_peer_answer_age(&self, now: Millis) -> Option<Millis> {
        self.queries.borrow().last_answer_age(now)
    }

    /// Returns what peers know of an endpoint's progress since `since`, and queries them if
    /// necessary.
    ///
    /// Silence on this node alone says little, as all its own requests there may be waiting behind
    /// others.
    pub(crate) fn peer_progress(&self, id: &BoxId, since: Millis, now: Millis) -> PeerProgress {
        if self.peer_loads.borrow().last_progress(id).is_some_and(|seen| seen > since) {
            return PeerProgress::Seen;
        }
        let mut queries = self.queries.borrow_mut();
        queries.state(id, now).unwrap_or_else(|| {
            queries.record_asked(id, now);
            self.progress_queries.borrow_mut().push(id.clone());
            self.urgent.notify_one();
            PeerProgress::AskedJustNow
        })
    }
}

/// Exchanges loads with peers for as long as the daemon serves callers.
pub(crate) async fn exchange_loads(
    cx: DutyContext,
    balancer: Rc<RefCell<LoadBalancer>>,
    loads: Rc<LoadExchange>,
    crashes: Rc<CrashWatch>,
) {
    let address = cx.settings.listen.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        // The exchange only improves the choice of endpoints, so the daemon runs without it.
        Err(err) => return log::error!("load exchange is off, cannot bind {address}: {err}"),
    };
    let exchange = Exchange { cx, balancer, loads, crashes, socket };
    tokio::join!(exchange.receive_loop(), exchange.send_loop(), exchange.limit_loop());
}

/// The tasks of the exchange, which share one socket.
pub(super) struct Exchange {
    pub(super) cx: DutyContext,
    pub(super) balancer: Rc<RefCell<LoadBalancer>>,
    pub(super) loads: Rc<LoadExchange>,
    crashes: Rc<CrashWatch>,
    socket: Rc<UdpSocket>,
}

impl Exchange {
    async fn receive_loop(&self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buf).await else {
                tokio::time::sleep(Duration::from_millis(SEND_INTERVAL.0)).await;
                continue;
            };
            match decode::<LoadMessage>(&buf[..length]) {
                Ok(message) => {
                    self.count("in", &message, length);
                    self.handle_and_forward(message, from).await;
                }
                Err(err) => {
                    self.cx.metrics.peer_failures.inc();
                    log::debug!("failed to decode a message from a peer: {err}");
                }
            }
        }
    }

    /// Handles a message, and first forwards it if it is to be passed on.
    async fn handle_and_forward(&self, message: LoadMessage, sender: SocketAddr) {
        let LoadMessage::Forward { from, message, to } = message else {
            return self.handle(message, sender).await;
        };
        self.forward(from, &message, &to[..to.len().min(MAX_FORWARDS)]).await;
        self.handle(*message, from).await;
    }

    async fn handle(&self, message: LoadMessage, sender: SocketAddr) {
        let now = self.cx.clock.now();
        let own_zone = &self.cx.settings.zone;
        let peer_loads = &self.loads.peer_loads;
        match message {
            LoadMessage::InFlight { from, zone, loads, zones } => {
                let mut peer_loads = peer_loads.borrow_mut();
                peer_loads.record_node(from, zone, loads, now);
                for zone_loads in zones {
                    peer_loads.record_zone(zone_loads, own_zone, now);
                }
            }
            LoadMessage::Zone(loads) => peer_loads.borrow_mut().record_zone(loads, own_zone, now),
            LoadMessage::ProgressQuery(leaders) => self.answer_progress(&leaders, sender).await,
            LoadMessage::Progress(loads) => {
                self.loads.queries.borrow_mut().record_answer(&loads, now);
                peer_loads.borrow_mut().record_progress(&loads, now);
            }
            LoadMessage::Stalled(leaders) => self.handle_stalled(leaders, now),
            LoadMessage::Stopped(leaders) => {
                leaders.iter().for_each(|leader| self.loads.record_stopped(leader, now));
                self.eject(&leaders, now);
            }
            LoadMessage::Crashed(incarnation, requests) => {
                let served = self.crashes.peer_reported_crash(&incarnation, &requests);
                if !served.is_empty() {
                    self.send(&LoadMessage::Served(served), &[sender]).await;
                }
            }
            LoadMessage::Served(requests) => self.crashes.peer_reported_served(&requests),
            LoadMessage::Leaving(id) => self.cx.hint(Hint::Leaving(id)),
            LoadMessage::RateLimit(id, message) => {
                self.balancer
                    .borrow_mut()
                    .rate_limits_mut()
                    .handle_message(sender, &id, message, now);
                self.loads.limits_due.notify_one();
            }
            LoadMessage::LentRetries(service, message) => {
                self.loads.lent_retries.borrow_mut().handle_message(sender, &service, message, now);
                self.loads.limits_due.notify_one();
            }
            LoadMessage::CrashEvidence { times, outlived } => {
                self.crashes.peer_reported_evidence(&times, &outlived);
            }
            LoadMessage::Refusing(refused) => {
                let served = self.crashes.peer_refuses(&refused, sender);
                if !served.is_empty() {
                    self.send(&LoadMessage::Served(served), &[sender]).await;
                }
            }
            LoadMessage::Trying(_) => self.crashes.peer_tries(),
            // `handle_and_forward` has forwarded it; a nested one is ignored.
            LoadMessage::Forward { .. } => {}
        }
    }

    fn handle_stalled(&self, leaders: Vec<BoxId>, now: Millis) {
        self.eject(&leaders, now);
        for leader in leaders {
            self.cx.hint(Hint::Stalled(leader));
        }
    }

    fn eject(&self, leaders: &[BoxId], now: Millis) {
        for leader in leaders {
            self.balancer.borrow_mut().eject_box(leader, now);
        }
    }

    /// Answers a peer's query when this node saw leaders make progress. Leaders that it saw none of are
    /// named too, since that shows the peer that an answer about them reached it.
    async fn answer_progress(&self, leaders: &[BoxId], asker: SocketAddr) {
        let answer = answer_progress_query(leaders, self.own_loads());
        self.send(&LoadMessage::Progress(answer), &[asker]).await;
    }

    async fn send_loop(&self) {
        let (mut had_loads, mut next_peer) = (false, 0);
        let clock = self.cx.clock;
        let mut due = clock.now() + SEND_INTERVAL;
        loop {
            let woken = self.loads.urgent.notified();
            let _ = clock.timeout_at(due, woken).await;
            self.send_urgent().await;
            if clock.now() < due {
                continue;
            }
            due = clock.now() + SEND_INTERVAL;
            self.publish_model_loads();
            let loads = self.own_loads();
            let has_loads = !loads.is_empty();
            if self.cx.settings.policy.tell_loads && (has_loads || had_loads) {
                self.send_loads(loads, &mut next_peer).await;
            }
            had_loads = has_loads;
        }
    }

    /// Publishes what all daemons have in flight by model, for capacity planning.
    fn publish_model_loads(&self) {
        let mut balancer = self.balancer.borrow_mut();
        self.loads.update_balancer(&mut balancer);
        self.cx.publish_model_loads.send_replace(Arc::new(balancer.model_loads()));
    }

    async fn send_urgent(&self) {
        let stalled = std::mem::take(&mut *self.loads.stalled.borrow_mut());
        let stopped = std::mem::take(&mut *self.loads.stopped.borrow_mut());
        let queries = std::mem::take(&mut *self.loads.progress_queries.borrow_mut());
        let to_broadcast = std::mem::take(&mut *self.loads.to_broadcast.borrow_mut());
        let view = self.cx.current_view();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let others = alive.iter().filter(|beat| beat.node != view.own.node);
        let all: Vec<SocketAddr> = others.clone().map(|beat| beat.address).collect();
        if !stalled.is_empty() {
            self.broadcast(LoadMessage::Stalled(stalled), &all).await;
        }
        if !stopped.is_empty() {
            self.broadcast(LoadMessage::Stopped(stopped), &all).await;
        }
        for message in to_broadcast {
            self.broadcast(message, &all).await;
        }
        if !queries.is_empty() {
            // The peers of the own zone, and of other zones the relays, which know the loads of
            // their zones.
            let near = others.filter(|beat| beat.zone == view.own.zone).map(|beat| beat.address);
            let far = relays_elsewhere(&view.own.zone, &alive);
            let all: Vec<SocketAddr> = near.chain(far.iter().map(|beat| beat.address)).collect();
            self.send(&LoadMessage::ProgressQuery(queries), &all).await;
        }
    }

    /// Reports what is in flight: to all peers if they are few, otherwise to some peers of the own
    /// zone in turn, and between relays as the total of the zone.
    async fn send_loads(&self, loads: Vec<EndpointLoad>, next_peer: &mut usize) {
        let now = self.cx.clock.now();
        let view = self.cx.current_view();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let (from, zone) = (view.own.node.clone(), view.own.zone.clone());
        let others: Vec<&Heartbeat> =
            alive.iter().copied().filter(|beat| beat.node != from).collect();
        let near = others.iter().filter(|beat| beat.zone == zone).map(|beat| beat.address);
        let near: Vec<SocketAddr> = near.collect();
        let peer_loads = &self.loads.peer_loads;
        peer_loads.borrow_mut().remove_expired(near.len().div_ceil(MAX_PEERS_PER_ROUND), now);
        if others.len() <= MAX_PEERS_PER_ROUND {
            let all: Vec<SocketAddr> = others.iter().map(|beat| beat.address).collect();
            let message = LoadMessage::InFlight { from, zone, loads, zones: Vec::new() };
            return self.send(&message, &all).await;
        }
        let mut zones = Vec::new();
        if is_relay(&view.own, &alive) {
            let total = peer_loads.borrow().zone_total(&zone, &loads, now);
            let relays = relays_elsewhere(&zone, &alive);
            let relays: Vec<SocketAddr> = relays.iter().map(|beat| beat.address).collect();
            self.send(&LoadMessage::Zone(total), &relays).await;
            zones = peer_loads.borrow().other_zone_totals(now);
        }
        let message = LoadMessage::InFlight { from, zone, loads, zones };
        self.send(&message, &next_peers(&near, next_peer)).await;
    }

    /// Returns what this node itself has in flight.
    fn own_loads(&self) -> Vec<EndpointLoad> {
        let now = self.cx.clock.now();
        let balancer = self.balancer.borrow();
        let own = balancer.own_loads().map(|(id, load, progress)| EndpointLoad {
            id: id.clone(),
            requests: load.requests as u32,
            unread: load.unread as u32,
            silent_ms: now.since(progress).0 as u32,
        });
        own.collect()
    }

    /// Sends a message to all others, through some of them if there are many.
    pub(super) async fn broadcast(&self, message: LoadMessage, others: &[SocketAddr]) {
        let from = self.cx.settings.listen.peers;
        for hop in fan_out(others) {
            match hop.forward_to.is_empty() {
                true => self.send(&message, &[hop.to]).await,
                false => {
                    let (message, to) = (Box::new(message.clone()), hop.forward_to);
                    self.send(&LoadMessage::Forward { from, message, to }, &[hop.to]).await;
                }
            }
        }
    }

    /// Forwards another daemon's message in that daemon's name.
    async fn forward(&self, from: SocketAddr, message: &LoadMessage, to: &[SocketAddr]) {
        let message = Box::new(message.clone());
        self.send(&LoadMessage::Forward { from, message, to: Vec::new() }, to).await;
    }

    pub(super) async fn send(&self, message: &LoadMessage, peers: &[SocketAddr]) {
        let bytes = match encode(message) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("failed to encode a message for peers: {err}"),
        };
        for peer in peers {
            // A lost message is made up for by the next one.
            if let Err(err) = self.socket.send_to(&bytes, peer).await {
                self.cx.metrics.peer_failures.inc();
                log::debug!("failed to send a message to {peer}: {err}");
            }
            self.count("out", message, bytes.len());
        }
    }

    fn count(&self, direction: &str, message: &LoadMessage, bytes: usize) {
        let kind = match message {
            LoadMessage::InFlight { .. } => "loads",
            LoadMessage::Zone(_) => "zone-loads",
            LoadMessage::ProgressQuery(_) | LoadMessage::Progress(_) => "progress",
            LoadMessage::Stalled(_) | LoadMessage::Stopped(_) | LoadMessage::Leaving(_) => {
                "out-of-service"
            }
            LoadMessage::Crashed(..)
            | LoadMessage::Served(_)
            | LoadMessage::CrashEvidence { .. }
            | LoadMessage::Refusing(_)
            | LoadMessage::Trying(_) => "ends-with-requests",
            LoadMessage::RateLimit(..) => "limits",
            LoadMessage::LentRetries(..) => "repeats",
            LoadMessage::Forward { .. } => "passed-on",
        };
        self.cx.metrics.peer_bytes.with_label_values(&[direction, kind]).inc_by(bytes as u64);
    }
}

/// Returns the peers that are sent this round's report: the next ones in round-robin order.
fn next_peers(peers: &[SocketAddr], next_peer: &mut usize) -> Vec<SocketAddr> {
    if peers.len() <= MAX_PEERS_PER_ROUND {
        return peers.to_vec();
    }
    let first = *next_peer % peers.len();
    *next_peer = first + MAX_PEERS_PER_ROUND;
    peers.iter().cycle().skip(first).take(MAX_PEERS_PER_ROUND).copied().collect()
}
