//! Telling peers what this node has in flight, and hearing the same of them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{BoxId, EngineLoad, Millis, NodeId};
use cherrystand_peer::{EndpointLoad, LoadNews, decode, encode};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::DutyContext;
use crate::site::Hint;
use crate::site::front::Front;

/// The time between two tellings while requests are in flight.
const TELL_EVERY: Duration = Duration::from_millis(200);

/// How many peers are told at a time, in turn; among more, each is told less often.
const TOLD_AT_ONCE: usize = 12;

/// For how long what a peer told counts, where all are told at a time.
const NEWS_LIFE: Millis = Millis(1_000);

/// Within this time peers answer what they were asked.
const ANSWERED_WITHIN: Millis = Millis(25);

/// After this time they are asked anew.
const ASKED_FOR: Millis = Millis(400);

/// The largest datagram that is read, in bytes.
const LARGEST_NEWS: usize = 8 << 10;

/// Keeps what peers told, and what is to be told to them at once.
#[derive(Default)]
pub(crate) struct LoadExchange {
    heard: RefCell<BTreeMap<NodeId, (Millis, Vec<EndpointLoad>)>>,
    stalled: RefCell<Vec<BoxId>>,
    to_ask: RefCell<Vec<BoxId>>,
    /// When peers were last asked about a leader.
    asked: RefCell<BTreeMap<BoxId, Millis>>,
    urgent: Notify,
}

impl LoadExchange {
    /// Tells peers at once that a replica stands still.
    pub(crate) fn tell_stalled(&self, leader: BoxId) {
        self.stalled.borrow_mut().push(leader);
        self.urgent.notify_one();
    }

    /// Tells whether no peer has seen progress of an endpoint since `since`, asking them first.
    ///
    /// Silence on this node alone says little: its own requests may all wait for others.
    pub(crate) fn peers_see_none(&self, id: &BoxId, since: Millis, now: Millis) -> bool {
        if self.seen_by_peers(id).is_some_and(|seen| seen > since) {
            return false;
        }
        let asked = self.asked.borrow().get(id).copied();
        match asked.filter(|asked| now.since(*asked) < ASKED_FOR) {
            Some(asked) => now.since(asked) >= ANSWERED_WITHIN,
            None => {
                self.asked.borrow_mut().insert(id.clone(), now);
                self.to_ask.borrow_mut().push(id.clone());
                self.urgent.notify_one();
                false
            }
        }
    }

    /// Returns when a peer last saw an endpoint make progress.
    fn seen_by_peers(&self, id: &BoxId) -> Option<Millis> {
        let heard = self.heard.borrow();
        let seen = heard.values().flat_map(|(at, loads)| {
            let of_endpoint = loads.iter().filter(|load| &load.id == id);
            of_endpoint.map(|load| *at - Millis(u64::from(load.silent_ms)))
        });
        seen.max()
    }

    /// Sums what peers have in flight, by endpoint.
    fn sums(&self, now: Millis) -> BTreeMap<BoxId, EngineLoad> {
        let mut heard = self.heard.borrow_mut();
        let life = Millis(NEWS_LIFE.0 * heard.len().div_ceil(TOLD_AT_ONCE).max(1) as u64);
        heard.retain(|_, (at, _)| now.since(*at) < life);
        let mut sums: BTreeMap<BoxId, EngineLoad> = BTreeMap::new();
        for load in heard.values().flat_map(|(_, loads)| loads) {
            let sum = sums.entry(load.id.clone()).or_default();
            sum.requests += f64::from(load.requests);
            sum.unread += f64::from(load.unread);
        }
        sums
    }
}

/// Exchanges loads with peers for as long as the front runs.
pub(crate) async fn exchange_loads(front: Rc<Front>, cx: DutyContext) {
    let address = cx.settings.listen.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        // Loads only make the choice better.
        Err(err) => return log::error!("no loads are exchanged, {address} cannot be bound: {err}"),
    };
    tokio::join!(hear(&front, &cx, &socket), tell(&front, &cx, &socket));
}

async fn hear(front: &Rc<Front>, cx: &DutyContext, socket: &UdpSocket) {
    let mut buf = vec![0; LARGEST_NEWS];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buf).await else {
            tokio::time::sleep(TELL_EVERY).await;
            continue;
        };
        cx.metrics.peer_bytes.with_label_values(&["in"]).inc_by(length as u64);
        match decode::<LoadNews>(&buf[..length]) {
            Ok(news) => take(front, news),
            Err(err) => {
                cx.metrics.peer_failures.inc();
                log::debug!("a peer's news cannot be read: {err}");
            }
        }
    }
}

fn take(front: &Rc<Front>, news: LoadNews) {
    let now = front.now();
    front.loads.heard.borrow_mut().insert(news.from, (now, news.loads));
    if !news.asked.is_empty() {
        front.loads.urgent.notify_one();
    }
    for leader in news.stalled {
        front.chooser.borrow_mut().avoid_box(&leader, now);
        front.hint(Hint::Stalled(leader));
    }
    front.chooser.borrow_mut().follow_others(&front.loads.sums(now));
}

async fn tell(front: &Rc<Front>, cx: &DutyContext, socket: &UdpSocket) {
    let (mut told_any, mut turn) = (false, 0);
    loop {
        // Woken early or not, there is something to tell or it is time to.
        let _ = tokio::time::timeout(TELL_EVERY, front.loads.urgent.notified()).await;
        let stalled = std::mem::take(&mut *front.loads.stalled.borrow_mut());
        let asked = std::mem::take(&mut *front.loads.to_ask.borrow_mut());
        let loads = own_loads(front);
        if loads.is_empty() && stalled.is_empty() && asked.is_empty() && !told_any {
            continue;
        }
        told_any = !loads.is_empty();
        let news = LoadNews { from: cx.settings.node.clone(), loads, asked, stalled };
        let Ok(bytes) = encode(&news) else { continue };
        let urgent = !news.asked.is_empty() || !news.stalled.is_empty();
        for peer in told_now(&peers(cx), &mut turn, urgent) {
            // One that is lost is made up for by the next.
            let _ = socket.send_to(&bytes, peer).await;
            cx.metrics.peer_bytes.with_label_values(&["out"]).inc_by(bytes.len() as u64);
        }
    }
}

fn own_loads(front: &Front) -> Vec<EndpointLoad> {
    let now = front.now();
    let chooser = front.chooser.borrow();
    let own = chooser.own().map(|(id, load, progress)| EndpointLoad {
        id: id.clone(),
        requests: load.requests as u32,
        unread: load.unread as u32,
        silent_ms: now.since(progress).0 as u32,
    });
    own.collect()
}

/// Returns the peers that are told this time: all where it is urgent, else the next few in turn.
fn told_now(peers: &[SocketAddr], turn: &mut usize, urgent: bool) -> Vec<SocketAddr> {
    if urgent || peers.len() <= TOLD_AT_ONCE {
        return peers.to_vec();
    }
    let first = *turn % peers.len();
    *turn = first + TOLD_AT_ONCE;
    peers.iter().cycle().skip(first).take(TOLD_AT_ONCE).copied().collect()
}

fn peers(cx: &DutyContext) -> Vec<SocketAddr> {
    let view = cx.view.borrow();
    let others = view.alive().filter(|beat| beat.node != view.own.node);
    others.map(|beat| beat.address).collect()
}
