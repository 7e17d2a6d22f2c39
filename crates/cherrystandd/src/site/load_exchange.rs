//! Telling peers what this node has in flight, and hearing the same of them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, EndpointLimits, EndpointLoad, Heartbeat, LoadBalancer, Millis, PeerLoads, PeerProgress,
    RetryBounds, ServiceName, is_relay, relays_elsewhere, spread,
};
use cherrystand_peer::{LoadNews, decode, encode};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::site::Hint;
use crate::site::crash_watch::CrashWatch;
use crate::{DutyContext, clock};

/// The time between two tellings while requests are in flight.
const SEND_INTERVAL: Millis = Millis(200);

/// How many peers are told at a time, in turn; among more, each is told less often.
///
/// Where there are more, only those of the own zone are told, and relays carry the sums of zones.
const MAX_PEERS_PER_ROUND: usize = 12;

/// Within this time peers answer what they were asked.
const ANSWER_TIMEOUT: Millis = Millis(25);

/// After this time they are asked anew.
const ASK_INTERVAL: Millis = Millis(400);

/// For how long it is remembered that a leader serves no more; longer than a route lets a request
/// wait there.
const STOPPED_TTL: Millis = Millis(30_000);

/// To how many others one daemon passes news on, at the most: the root of a fleet far larger than any.
const MAX_FORWARDS: usize = 256;

/// The largest datagram there is, in bytes: a zone's sum names each replica that it sends to.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Keeps what peers told, and what is to be told to them at once.
#[derive(Default)]
pub(crate) struct LoadExchange {
    book: RefCell<PeerLoads>,
    stalled: RefCell<Vec<BoxId>>,
    stopped: RefCell<Vec<BoxId>>,
    /// When this node last learned that a leader serves no more, from its own word, a peer's, or by
    /// finding a member silent.
    stopped_at: RefCell<BTreeMap<BoxId, Millis>>,
    progress_queries: RefCell<Vec<BoxId>>,
    /// What all peers are told at once beside.
    to_broadcast: RefCell<Vec<LoadNews>>,
    /// When peers were last asked about a leader.
    asked_at: RefCell<BTreeMap<BoxId, Millis>>,
    /// When a peer last answered such a question, whatever it had seen.
    last_answer_at: Cell<Option<Millis>>,
    urgent: Notify,
    /// The repeats that daemons lend each other, by service.
    pub(super) lent_retries: RefCell<EndpointLimits<ServiceName>>,
    /// Wakes what keeps limits up.
    pub(super) limits_due: Notify,
    /// Wakes requests that wait for a permit.
    pub(super) permits: Notify,
}

impl LoadExchange {
    /// Creates it with repeats that are lent by the bounds of all daemons together.
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        let mut lent_retries = EndpointLimits::with_at_once(bounds.max_loan());
        lent_retries.number_from(clock::unix_millis());
        Self { lent_retries: RefCell::new(lent_retries), ..Self::default() }
    }

    /// Tells peers at once that a replica stands still.
    pub(crate) fn announce_stalled(&self, leader: BoxId) {
        self.stalled.borrow_mut().push(leader);
        self.urgent.notify_one();
    }

    /// Tells peers at once that a leader serves no more, before the store tells them.
    pub(crate) fn announce_stopped(&self, leader: BoxId, now: Millis) {
        self.record_stopped(&leader, now);
        self.stopped.borrow_mut().push(leader);
        self.urgent.notify_one();
    }

    /// Tells all peers something at once.
    pub(crate) fn broadcast(&self, news: LoadNews) {
        self.to_broadcast.borrow_mut().push(news);
        self.urgent.notify_one();
    }

    /// Notes that a leader serves no more.
    fn record_stopped(&self, leader: &BoxId, now: Millis) {
        let mut stopped_at = self.stopped_at.borrow_mut();
        stopped_at.retain(|_, at| now.since(*at) < STOPPED_TTL);
        stopped_at.insert(leader.clone(), now);
    }

    /// Tells whether a leader was found to serve no more after `sent`.
    pub(crate) fn stopped_since(&self, leader: &BoxId, sent: Millis) -> bool {
        self.stopped_at.borrow().get(leader).is_some_and(|at| *at > sent)
    }

    /// Hands over what peers have in flight, where they told anything new since the last time.
    pub(crate) fn update_balancer(&self, balancer: &mut LoadBalancer) {
        if let Some(sums) = self.book.borrow_mut().changed_totals() {
            balancer.set_peer_loads(&sums);
        }
    }

    /// Returns how long ago a peer last answered what it saw of an endpoint, whatever that was.
    pub(crate) fn last_peer_answer_age(&self, now: Millis) -> Option<Millis> {
        self.last_answer_at.get().map(|at| now.since(at))
    }

    /// Says what peers tell of the progress of an endpoint since `since`, asking them first.
    ///
    /// Silence on this node alone says little: its own requests may all wait for others.
    pub(crate) fn peer_progress(&self, id: &BoxId, since: Millis, now: Millis) -> PeerProgress {
        if self.book.borrow().last_progress(id).is_some_and(|seen| seen > since) {
            return PeerProgress::Seen;
        }
        let asked = self.asked_at.borrow().get(id).copied();
        match asked.filter(|asked| now.since(*asked) < ASK_INTERVAL) {
            Some(asked) if now.since(asked) < ANSWER_TIMEOUT => PeerProgress::AskedJustNow,
            Some(asked) if self.last_answer_at.get().is_some_and(|at| at >= asked) => {
                PeerProgress::NotSeen
            }
            Some(_) => PeerProgress::NoAnswer,
            None => {
                self.asked_at.borrow_mut().insert(id.clone(), now);
                self.progress_queries.borrow_mut().push(id.clone());
                self.urgent.notify_one();
                PeerProgress::AskedJustNow
            }
        }
    }
}

/// Exchanges loads with peers for as long as the front runs.
pub(crate) async fn exchange_loads(
    cx: DutyContext,
    balancer: Rc<RefCell<LoadBalancer>>,
    loads: Rc<LoadExchange>,
    crashes: Rc<CrashWatch>,
) {
    let address = cx.settings.listen.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        // Loads only make the choice better.
        Err(err) => return log::error!("no loads are exchanged, {address} cannot be bound: {err}"),
    };
    let exchange = Exchange { cx, balancer, loads, crashes, socket };
    tokio::join!(exchange.receive_loop(), exchange.send_loop(), exchange.limit_loop());
}

/// The parts of the exchange, over one socket.
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
            match decode::<LoadNews>(&buf[..length]) {
                Ok(news) => {
                    self.count("in", &news, length);
                    self.handle_and_forward(news, from).await;
                }
                Err(err) => {
                    self.cx.metrics.peer_failures.inc();
                    log::debug!("a peer's news cannot be read: {err}");
                }
            }
        }
    }

    /// Takes news in, and passes on to others what is for them as well.
    async fn handle_and_forward(&self, news: LoadNews, sender: SocketAddr) {
        let LoadNews::PassOn { from, news, to } = news else {
            return self.handle(news, sender).await;
        };
        self.forward(from, &news, &to[..to.len().min(MAX_FORWARDS)]).await;
        self.handle(*news, from).await;
    }

    async fn handle(&self, news: LoadNews, sender: SocketAddr) {
        let now = self.cx.clock.now();
        let own_zone = &self.cx.settings.zone;
        let book = &self.loads.book;
        match news {
            LoadNews::InFlight { from, zone, loads, zones } => {
                let mut book = book.borrow_mut();
                book.record_node(from, zone, loads, now);
                for zone_loads in zones {
                    book.record_zone(zone_loads, own_zone, now);
                }
            }
            LoadNews::Zone(zone_loads) => book.borrow_mut().record_zone(zone_loads, own_zone, now),
            LoadNews::Asked(leaders) => self.answer_progress(&leaders, sender).await,
            LoadNews::Seen(loads) => {
                self.loads.last_answer_at.set(Some(now));
                book.borrow_mut().record_progress(&loads, now);
            }
            LoadNews::Stalled(leaders) => self.handle_stalled(leaders, now),
            LoadNews::Left(leaders) => {
                leaders.iter().for_each(|leader| self.loads.record_stopped(leader, now));
                self.avoid(&leaders, now);
            }
            LoadNews::Ended(incarnation, requests) => {
                let served = self.crashes.peer_reported_crash(&incarnation, &requests);
                if !served.is_empty() {
                    self.send(&LoadNews::Served(served), &[sender]).await;
                }
            }
            LoadNews::Served(requests) => self.crashes.peer_reported_served(&requests),
            LoadNews::Leaves(id) => self.cx.hint(Hint::Leaves(id)),
            LoadNews::Limit(id, news) => {
                self.balancer.borrow_mut().limits_mut().hear(sender, &id, news, now);
                self.loads.limits_due.notify_one();
            }
            LoadNews::Repeats(service, news) => {
                self.loads.lent_retries.borrow_mut().hear(sender, &service, news, now);
                self.loads.limits_due.notify_one();
            }
            // It was passed on already.
            LoadNews::PassOn { .. } => {}
        }
    }

    fn handle_stalled(&self, leaders: Vec<BoxId>, now: Millis) {
        self.avoid(&leaders, now);
        for leader in leaders {
            self.cx.hint(Hint::Stalled(leader));
        }
    }

    fn avoid(&self, leaders: &[BoxId], now: Millis) {
        for leader in leaders {
            self.balancer.borrow_mut().eject_box(leader, now);
        }
    }

    /// Tells one that asks when this node saw leaders make progress; that it saw none is an answer
    /// as well, by which the asker learns that answers reach it.
    async fn answer_progress(&self, leaders: &[BoxId], asker: SocketAddr) {
        let mut seen = self.own_loads();
        seen.retain(|load| leaders.contains(&load.id));
        self.send(&LoadNews::Seen(seen), &[asker]).await;
    }

    async fn send_loop(&self) {
        let (mut sent_any, mut next_peer) = (false, 0);
        let clock = self.cx.clock;
        let mut due = clock.now() + SEND_INTERVAL;
        loop {
            let woken = self.loads.urgent.notified();
            let _ = clock.by(due, woken).await;
            self.send_urgent().await;
            if clock.now() < due {
                continue;
            }
            due = clock.now() + SEND_INTERVAL;
            self.publish_model_loads();
            let loads = self.own_loads();
            let any = !loads.is_empty();
            if self.cx.settings.policy.tell_loads && (any || sent_any) {
                self.send_loads(loads, &mut next_peer).await;
            }
            sent_any = any;
        }
    }

    /// Publishes what all daemons have in flight by model, for those that plan by it.
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
        let view = self.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let others = alive.iter().filter(|beat| beat.node != view.own.node);
        let all: Vec<SocketAddr> = others.clone().map(|beat| beat.address).collect();
        if !stalled.is_empty() {
            self.broadcast(LoadNews::Stalled(stalled), &all).await;
        }
        if !stopped.is_empty() {
            self.broadcast(LoadNews::Left(stopped), &all).await;
        }
        for news in to_broadcast {
            self.broadcast(news, &all).await;
        }
        if !queries.is_empty() {
            // Those that are near, and of other zones the relays, which know their peers' loads.
            let near = others.filter(|beat| beat.zone == view.own.zone).map(|beat| beat.address);
            let far = relays_elsewhere(&view.own.zone, &alive);
            let all: Vec<SocketAddr> = near.chain(far.iter().map(|beat| beat.address)).collect();
            self.send(&LoadNews::Asked(queries), &all).await;
        }
    }

    /// Tells what is in flight: to everybody where they are few, else to some of the own zone in
    /// turn, and from relay to relay as the sum of the zone.
    async fn send_loads(&self, loads: Vec<EndpointLoad>, next_peer: &mut usize) {
        let now = self.cx.clock.now();
        let view = self.cx.view_now();
        let alive: Vec<&Heartbeat> = view.alive().collect();
        let (from, zone) = (view.own.node.clone(), view.own.zone.clone());
        let others: Vec<&Heartbeat> =
            alive.iter().copied().filter(|beat| beat.node != from).collect();
        let near = others.iter().filter(|beat| beat.zone == zone).map(|beat| beat.address);
        let near: Vec<SocketAddr> = near.collect();
        let book = &self.loads.book;
        book.borrow_mut().remove_expired(near.len().div_ceil(MAX_PEERS_PER_ROUND), now);
        if others.len() <= MAX_PEERS_PER_ROUND {
            let all: Vec<SocketAddr> = others.iter().map(|beat| beat.address).collect();
            let news = LoadNews::InFlight { from, zone, loads, zones: Vec::new() };
            return self.send(&news, &all).await;
        }
        let mut zones = Vec::new();
        if is_relay(&view.own, &alive) {
            let sum = book.borrow().zone_total(&zone, &loads, now);
            let relays = relays_elsewhere(&zone, &alive);
            let relays: Vec<SocketAddr> = relays.iter().map(|beat| beat.address).collect();
            self.send(&LoadNews::Zone(sum), &relays).await;
            zones = book.borrow().other_zone_totals(now);
        }
        let news = LoadNews::InFlight { from, zone, loads, zones };
        self.send(&news, &next_peers(&near, next_peer)).await;
    }

    /// Returns what this node has in flight itself.
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

    /// Tells all others, by way of some of them where they are many.
    pub(super) async fn broadcast(&self, news: LoadNews, others: &[SocketAddr]) {
        let from = self.cx.settings.listen.peers;
        for hop in spread(others) {
            match hop.pass_on_to.is_empty() {
                true => self.send(&news, &[hop.to]).await,
                false => {
                    let (news, to) = (Box::new(news.clone()), hop.pass_on_to);
                    self.send(&LoadNews::PassOn { from, news, to }, &[hop.to]).await;
                }
            }
        }
    }

    /// Passes news of another daemon on, which those that hear it know as that one's.
    async fn forward(&self, from: SocketAddr, news: &LoadNews, to: &[SocketAddr]) {
        let news = Box::new(news.clone());
        self.send(&LoadNews::PassOn { from, news, to: Vec::new() }, to).await;
    }

    pub(super) async fn send(&self, news: &LoadNews, peers: &[SocketAddr]) {
        let bytes = match encode(news) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("news for peers cannot be written: {err}"),
        };
        for peer in peers {
            // One that is lost is made up for by the next.
            if let Err(err) = self.socket.send_to(&bytes, peer).await {
                self.cx.metrics.peer_failures.inc();
                log::debug!("no news could be sent to {peer}: {err}");
            }
            self.count("out", news, bytes.len());
        }
    }

    fn count(&self, direction: &str, news: &LoadNews, bytes: usize) {
        let kind = match news {
            LoadNews::InFlight { .. } => "loads",
            LoadNews::Zone(_) => "zone-loads",
            LoadNews::Asked(_) | LoadNews::Seen(_) => "progress",
            LoadNews::Stalled(_) | LoadNews::Left(_) | LoadNews::Leaves(_) => "out-of-service",
            LoadNews::Ended(..) | LoadNews::Served(_) => "ends-with-requests",
            LoadNews::Limit(..) => "limits",
            LoadNews::Repeats(..) => "repeats",
            LoadNews::PassOn { .. } => "passed-on",
        };
        self.cx.metrics.peer_bytes.with_label_values(&[direction, kind]).inc_by(bytes as u64);
    }
}

/// Returns the peers that are told this time: the next few in turn.
fn next_peers(peers: &[SocketAddr], next_peer: &mut usize) -> Vec<SocketAddr> {
    if peers.len() <= MAX_PEERS_PER_ROUND {
        return peers.to_vec();
    }
    let first = *next_peer % peers.len();
    *next_peer = first + MAX_PEERS_PER_ROUND;
    peers.iter().cycle().skip(first).take(MAX_PEERS_PER_ROUND).copied().collect()
}
