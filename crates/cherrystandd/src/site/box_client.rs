//! Sends requests and calls to boxes, over this daemon's own link or through a peer that carries
//! them.
//!
//! Source: docs/design/0028-another-way-to-an-endpoint.md.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cherrystand_core::{BoxId, EndpointPaths, Millis, NodeId, SearchResult, SendPermit};
use cherrystand_platform::{
    Answer, BoxCall, CallError, HttpPool, IdleSend, OpenConnection, PooledBody, SendError,
    read_answer,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::DutyContext;
use crate::site::carrier_client::{CarrierClient, CarryFailure};
use crate::site::path_search::search_carriers;

/// How long a connection may take to open before peers are asked whether they reach the box. Nearly
/// all connections within a region open sooner.
const SEARCH_DELAY: Duration = Duration::from_millis(50);

/// How many peers are tried for one request.
const MAX_CARRIERS: usize = 3;

/// Connecting may take the timeout of a call divided by this.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// The timeout of a connection that only shows whether a path works.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// How many other boxes are connected to in order to show that the own link works.
const OWN_LINK_CHECKS: usize = 3;

/// The timeout of those connections.
const OWN_LINK_TIMEOUT: Duration = Duration::from_millis(120);

/// How often due checks of direct paths are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A box and how to connect to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoxAddress<'a> {
    pub(crate) id: &'a BoxId,
    pub(crate) address: SocketAddr,
    /// How many idle connections to it are kept.
    pub(crate) max_idle: usize,
    pub(crate) connect_timeout: Duration,
}

/// How a request reaches a box.
enum Path {
    /// Over the own link.
    Direct,
    /// Through a peer, which carries it until this is dropped.
    Carried(CarryGuard),
}

/// The way that a request takes, as far as it has been sent.
pub(crate) struct PathTaken(RefCell<Path>);

impl Default for PathTaken {
    fn default() -> Self {
        Self(RefCell::new(Path::Direct))
    }
}

impl PathTaken {
    /// Returns the peer that carries the request, if one does.
    pub(crate) fn carrier(&self) -> Option<NodeId> {
        match &*self.0.borrow() {
            Path::Direct => None,
            Path::Carried(guard) => Some(guard.carrier.clone()),
        }
    }
}

/// Counts a request as carried by a peer until it is dropped.
struct CarryGuard {
    paths: Arc<Mutex<EndpointPaths>>,
    carrier: NodeId,
}

impl CarryGuard {
    fn new(cx: &DutyContext, carrier: NodeId) -> Self {
        cx.paths().begin_carry(&carrier);
        Self { paths: cx.endpoint_paths.clone(), carrier }
    }
}

impl Drop for CarryGuard {
    fn drop(&mut self) {
        let paths = self.paths.lock();
        paths.unwrap_or_else(PoisonError::into_inner).end_carry(&self.carrier);
    }
}

/// What a check of the way to a box showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathCheck {
    /// The own link reaches it.
    Direct,
    /// Only peers reach it.
    Indirect,
    /// Its address refuses connections, also from where other boxes are reached.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// Why a request was not sent over the own link.
enum DirectFailure {
    /// No connection could be opened; nothing was sent.
    Unreachable(Box<Request<Full<Bytes>>>, SendError),
    /// The request may have been sent, or need not be sent elsewhere.
    Failed(SendError),
}

/// The connections of one thread to boxes and to the peers that carry requests.
pub(crate) struct BoxClient {
    cx: DutyContext,
    pool: HttpPool,
    carriers: CarrierClient,
    /// The searches that run now, by box.
    searches: RefCell<BTreeMap<BoxId, watch::Receiver<Option<SearchResult>>>>,
    /// When the last check began that showed that the own link works.
    own_link_worked_at: Cell<Option<Millis>>,
    weak_self: Weak<Self>,
}

impl BoxClient {
    pub(crate) fn new(cx: DutyContext) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Self {
            carriers: CarrierClient::new(cx.clone()),
            cx,
            pool: HttpPool::default(),
            searches: RefCell::default(),
            own_link_worked_at: Cell::default(),
            weak_self: weak_self.clone(),
        })
    }

    fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Sends a request to a box and waits for the head of the answer.
    ///
    /// While the own link doesn't reach the box, peers carry the request. A connection that could not
    /// be opened has carried nothing, so the same request goes another way at once.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that tells whether the box may have received the request.
    pub(crate) async fn send(
        &self,
        to: BoxAddress<'_>,
        req: Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<Response<PooledBody>, SendError> {
        let is_direct = self.cx.paths().is_direct(to.id);
        let (req, failure) = match is_direct {
            false => (req, None),
            true => match self.send_directly(to, req).await {
                Ok(answer) => return Ok(answer),
                Err(DirectFailure::Failed(err)) => return Err(err),
                Err(DirectFailure::Unreachable(_, err)) if self.cx.paths().is_direct(to.id) => {
                    return Err(err);
                }
                Err(DirectFailure::Unreachable(req, err)) => (*req, Some(err)),
            },
        };
        match self.send_carried(to, &req, path).await {
            Ok(answer) => return Ok(answer),
            Err(CarryFailure::Failed(err)) => return Err(err),
            Err(CarryFailure::NotSent) => {}
        }
        // No peer carries it, so its own link is the last resort unless that has just failed.
        match failure {
            Some(err) => Err(err),
            None => {
                path.0.replace(Path::Direct);
                self.send_directly(to, req).await.map_err(|failure| match failure {
                    DirectFailure::Failed(err) | DirectFailure::Unreachable(_, err) => err,
                })
            }
        }
    }

    /// Sends a caller's request as [`BoxClient::send`] does; it consumes the permit that allows it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`BoxClient::send`].
    pub(crate) async fn send_permitted(
        &self,
        _permit: SendPermit,
        to: BoxAddress<'_>,
        req: Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send(to, req, path).await
    }

    async fn send_directly(
        &self,
        to: BoxAddress<'_>,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>, DirectFailure> {
        let answer = match self.pool.send_on_idle(to.max_idle, to.address, req).await {
            IdleSend::Sent(answer) => answer,
            IdleSend::NoneIdle(req) => match self.open(to).await {
                Ok(conn) => self.pool.send_on(conn, req).await,
                Err(err) => return Err(DirectFailure::Unreachable(Box::new(req), err)),
            },
        };
        if answer.is_ok() {
            self.cx.endpoint_contact.record(self.now());
        }
        answer.map_err(DirectFailure::Failed)
    }

    /// Opens a connection over the own link. If that fails or takes long, finds out whether peers
    /// reach the box.
    async fn open(&self, to: BoxAddress<'_>) -> Result<OpenConnection, SendError> {
        let opening = self.pool.open(to.max_idle, to.address, to.connect_timeout);
        tokio::pin!(opening);
        let opened = match tokio::time::timeout(SEARCH_DELAY, &mut opening).await {
            Ok(opened) => opened,
            Err(_) => tokio::select! {
                opened = &mut opening => opened,
                SearchResult::Reached = self.search(to.id) => {
                    Err(SendError::ConnectTimedOut(to.address))
                }
            },
        };
        match opened {
            Ok(conn) => {
                self.record_direct(to.id);
                Ok(conn)
            }
            Err(err) => {
                if self.search(to.id).await == SearchResult::Reached {
                    self.record_indirect(to, &err);
                }
                Err(err)
            }
        }
    }

    fn record_direct(&self, id: &BoxId) {
        let now = self.now();
        self.cx.endpoint_contact.record(now);
        if self.cx.paths().record_direct(id, now) {
            log::info!(target_box = id.as_str(); "a box is reached over the own link again");
        }
    }

    fn record_indirect(&self, to: BoxAddress<'_>, err: &SendError) {
        let mut paths = self.cx.paths();
        let was_cut_off = paths.is_cut_off();
        let is_new = paths.record_indirect(to.id, self.now());
        let (count, is_cut_off) = (paths.indirect_count(), paths.is_cut_off());
        drop(paths);
        if !is_new {
            return;
        }
        self.pool.close_idle_to(to.address);
        self.cx.metrics.endpoints_indirect.set(count as i64);
        log::info!(
            target_box = to.id.as_str(), reason = err.connect_failure().unwrap_or_default(),
            indirect = count;
            "a box that peers reach does not answer over the own link; peers carry its requests"
        );
        if is_cut_off && !was_cut_off {
            log::warn!("the own link to endpoints seems to be cut");
        }
    }

    async fn send_carried(
        &self,
        to: BoxAddress<'_>,
        req: &Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<Response<PooledBody>, CarryFailure> {
        // Connections from before the cut may be dead.
        match self.cx.paths().is_cut_off() {
            true => self.pool.close_idle(),
            false => self.pool.close_idle_to(to.address),
        }
        let mut tried = Vec::new();
        for _ in 0..MAX_CARRIERS {
            let mut carrier = self.carriers.choose(to.id, &tried);
            if carrier.is_none() && self.search(to.id).await == SearchResult::Reached {
                carrier = self.carriers.choose(to.id, &tried);
            }
            let Some(carrier) = carrier else { break };
            path.0.replace(Path::Carried(CarryGuard::new(&self.cx, carrier.node.clone())));
            tried.push(carrier.node.clone());
            match self.carriers.send(&carrier, to.id, req.clone()).await {
                Err(CarryFailure::NotSent) => {}
                sent => return sent,
            }
        }
        Err(CarryFailure::NotSent)
    }

    /// Makes a call to a box and reads the whole answer within a timeout.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]. Only a failure to connect guarantees that the call had no effect.
    pub(crate) async fn call(
        &self,
        id: &BoxId,
        address: SocketAddr,
        call: BoxCall,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let req = call.into_request(address)?;
        let to =
            BoxAddress { connect_timeout: timeout / CONNECT_TIMEOUT_DIVISOR, ..check(id, address) };
        let path = PathTaken::default();
        let exchange = async { read_answer(self.send(to, req, &path).await?).await };
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.unwrap_or(Err(CallError::TimedOut(timeout)))
    }

    /// Returns what peers report of their way to a box.
    async fn search(&self, id: &BoxId) -> SearchResult {
        if !self.cx.settings.policy.carry {
            return SearchResult::Unknown;
        }
        let last = self.cx.paths().last_vain_search(id, self.now());
        if let Some(result) = last {
            return result;
        }
        let running = self.searches.borrow().get(id).cloned();
        let mut running = match running {
            Some(running) => running,
            None => self.start_search(id),
        };
        // The sender is dropped without a result only as the thread ends.
        let found = running.wait_for(Option::is_some).await;
        found.ok().and_then(|found| *found).unwrap_or(SearchResult::Unknown)
    }

    fn start_search(&self, id: &BoxId) -> watch::Receiver<Option<SearchResult>> {
        let (tx, rx) = watch::channel(None);
        self.searches.borrow_mut().insert(id.clone(), rx.clone());
        let (client, id) = (self.weak_self.clone(), id.clone());
        tokio::task::spawn_local(async move {
            let Some(client) = client.upgrade() else { return };
            let result = search_carriers(&client.cx, &client.carriers, &id).await;
            if result != SearchResult::Reached {
                client.cx.paths().record_vain_search(&id, result, client.now());
            }
            client.cx.metrics.path_searches.with_label_values(&[search_label(result)]).inc();
            client.searches.borrow_mut().remove(&id);
            tx.send_replace(Some(result));
        });
        rx
    }

    /// Finds out by a connection that carries no request whether the own link reaches a box, and if
    /// not, whether peers do.
    pub(crate) async fn check_path(&self, id: &BoxId, address: SocketAddr) -> PathCheck {
        let began = self.now();
        match self.open(check(id, address)).await {
            Ok(conn) => {
                self.pool.keep(conn);
                PathCheck::Direct
            }
            Err(_) if !self.cx.paths().is_direct(id) => PathCheck::Indirect,
            Err(err) if err.connect_failure() == Some("refused") => {
                match self.may_judge_since(id, began).await {
                    true => PathCheck::Refused,
                    false => PathCheck::Unknown,
                }
            }
            Err(_) => PathCheck::Unknown,
        }
    }

    /// Returns whether a failure to reach a box since `since` says something of the box: peers that
    /// reach others miss it as well, or the own link is shown to reach others.
    pub(crate) async fn may_judge_since(&self, id: &BoxId, since: Millis) -> bool {
        if !self.cx.settings.policy.carry {
            return true;
        }
        let searched = self.cx.paths().last_vain_search(id, self.now());
        if searched == Some(SearchResult::Missed) {
            return true;
        }
        let is_direct = self.cx.paths().is_direct(id);
        is_direct && self.own_link_works_since(id, since).await
    }

    /// Connects to other boxes, and returns whether any of them accepts. A check that began after
    /// `since` counts as well.
    pub(crate) async fn own_link_works_since(&self, doubted: &BoxId, since: Millis) -> bool {
        if self.own_link_worked_at.get().is_some_and(|at| at >= since) {
            return true;
        }
        let began = self.now();
        let others = self.other_boxes(doubted);
        let checks = others.into_iter().map(|address| async move {
            let opened = tokio::time::timeout(OWN_LINK_TIMEOUT, TcpStream::connect(address)).await;
            matches!(opened, Ok(Ok(_)))
        });
        let mut checks: FuturesUnordered<_> = checks.collect();
        while let Some(works) = checks.next().await {
            if works {
                self.own_link_worked_at.set(self.own_link_worked_at.get().max(Some(began)));
                return true;
            }
        }
        false
    }

    /// Returns the addresses of some boxes that are not known to be silent, of other domains first,
    /// as the boxes of a domain may fail together.
    fn other_boxes(&self, doubted: &BoxId) -> Vec<SocketAddr> {
        let site = self.cx.site.borrow().clone();
        let domain = site.boxes.get(doubted).and_then(|site_box| site_box.domain.clone());
        let others = site
            .boxes
            .values()
            .filter(|other| &other.id != doubted && !site.silent.contains(&other.id));
        let mut others: Vec<_> = others.collect();
        let offset = (self.now().0 as usize).checked_rem(others.len()).unwrap_or_default();
        others.rotate_left(offset);
        others.sort_by_key(|other| other.domain == domain);
        others.into_iter().take(OWN_LINK_CHECKS).map(|other| other.address).collect()
    }

    /// Checks the direct paths that failed, so that requests return to them.
    pub(crate) async fn check_failed_paths(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let due = self.cx.paths().due_checks(self.now());
            for id in due {
                let address = self.cx.site.borrow().boxes.get(&id).map(|known| known.address);
                match address {
                    None => self.cx.paths().forget(&id),
                    Some(address) => {
                        _ = tokio::task::spawn_local(self.clone().check_failed(id, address))
                    }
                }
            }
            self.cx.metrics.endpoints_indirect.set(self.cx.paths().indirect_count() as i64);
            let view = self.cx.current_view();
            let alive: Vec<_> = view.alive().collect();
            self.cx.paths().retain_carriers(&alive);
        }
    }

    async fn check_failed(self: Rc<Self>, id: BoxId, address: SocketAddr) {
        let to = check(&id, address);
        if let Ok(conn) = self.pool.open(to.max_idle, to.address, to.connect_timeout).await {
            self.pool.keep(conn);
            self.record_direct(&id);
        }
    }

    /// Returns whether a peer still answers and reaches a box.
    pub(crate) async fn carrier_reaches(&self, carrier: &NodeId, id: &BoxId) -> bool {
        self.carriers.reaches(carrier, id).await
    }

    /// Opens a connection to a box for a peer that asks, without looking for another way.
    pub(crate) async fn reach(&self, id: &BoxId, address: SocketAddr, timeout: Duration) -> bool {
        let to = check(id, address);
        let opened = self.pool.open(to.max_idle, to.address, timeout).await;
        let Ok(conn) = opened else { return false };
        self.pool.keep(conn);
        self.record_direct(id);
        true
    }

    /// Sends a peer's request to a box over the own link only.
    pub(crate) async fn send_for_peer(
        &self,
        to: BoxAddress<'_>,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>, SendError> {
        let answer = self.pool.send_with_max_idle(to.max_idle, to.address, req, to.connect_timeout);
        answer.await.inspect(|_| self.cx.endpoint_contact.record(self.now()))
    }
}

/// Returns how a box is connected to for calls and checks.
fn check(id: &BoxId, address: SocketAddr) -> BoxAddress<'_> {
    let max_idle = cherrystand_core::DEFAULT_IDLE_CONNECTIONS;
    BoxAddress { id, address, max_idle, connect_timeout: CHECK_TIMEOUT }
}

fn search_label(result: SearchResult) -> &'static str {
    match result {
        SearchResult::Reached => "reached",
        SearchResult::Missed => "missed",
        SearchResult::Unknown => "unknown",
    }
}
