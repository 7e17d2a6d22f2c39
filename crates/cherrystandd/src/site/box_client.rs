//! Sends requests and calls to boxes, over this daemon's own link or through a peer that carries
//! them.
//!
//! Source: docs/design/0028-another-way-to-an-endpoint.md.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{BoxId, DEFAULT_IDLE_CONNECTIONS, Millis, NodeId, SearchResult, SendPermit};
use cherrystand_platform::{
    AnswerPool, BoxCall, CallError, IdentifiedAnswer, IdleSend, OpenConnection, RequestTries,
    SendError, WholeAnswer, connect_timeout,
};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use tokio::sync::watch;

use crate::DutyContext;
use crate::site::Driver;
use crate::site::carrier_client::{CarrierClient, CarryFailure};
use crate::site::path_search::search_carriers;
use crate::site::path_taken::PathTaken;

/// How long a connection may take to open before peers are asked whether they reach the box. Nearly
/// all connections within a region open sooner.
const SEARCH_DELAY: Duration = Duration::from_millis(50);

/// How many peers are tried for one request.
const MAX_CARRIERS: usize = 3;

/// The timeout of a connection that only shows whether a path works.
pub(super) const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A box and how to connect to it.
#[derive(Clone, Debug)]
pub(crate) struct BoxAddress {
    pub(crate) id: BoxId,
    pub(crate) address: SocketAddr,
    /// How many idle connections to it are kept.
    pub(crate) max_idle: usize,
    pub(crate) connect_timeout: Duration,
}

impl BoxAddress {
    /// Returns how a box is connected to for calls and checks.
    fn new(id: &BoxId, address: SocketAddr, connect_timeout: Duration) -> Self {
        Self { id: id.clone(), address, max_idle: DEFAULT_IDLE_CONNECTIONS, connect_timeout }
    }

    /// Returns how a box is connected to in order to check the way to it.
    pub(super) fn for_check(id: &BoxId, address: SocketAddr) -> Self {
        Self::new(id, address, CHECK_TIMEOUT)
    }
}

/// Why a request was not sent over the own link.
enum DirectFailure {
    /// No connection could be opened; nothing was sent.
    Unreachable(Box<Request<Full<Bytes>>>, SendError),
    /// No connection has opened so far, and peers reach the box; nothing was sent.
    Slow(Box<Request<Full<Bytes>>>),
    /// The request may have been sent, or need not be sent elsewhere.
    Failed(SendError),
}

/// The connections of one thread to boxes and to the peers that carry requests.
pub(crate) struct BoxClient {
    pub(super) cx: DutyContext,
    pub(super) pool: AnswerPool<Driver>,
    carriers: CarrierClient,
    /// The searches that run now, by box.
    searches: RefCell<BTreeMap<BoxId, watch::Receiver<Option<SearchResult>>>>,
    /// When the last check began that showed that the own link works.
    pub(super) own_link_worked_at: Cell<Option<Millis>>,
}

impl BoxClient {
    pub(crate) fn new(cx: DutyContext) -> Rc<Self> {
        Rc::new(Self {
            carriers: CarrierClient::new(cx.clone()),
            cx,
            pool: AnswerPool::default(),
            searches: RefCell::default(),
            own_link_worked_at: Cell::default(),
        })
    }

    /// Returns how many connections to boxes and to peers that carry requests are open.
    pub(crate) fn open_connections(&self) -> u32 {
        self.pool.open_connections() + self.carriers.open_connections()
    }

    pub(super) fn now(&self) -> Millis {
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
        self: &Rc<Self>,
        to: &BoxAddress,
        req: Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<IdentifiedAnswer, SendError> {
        if !self.cx.paths().is_direct(&to.id) {
            return self.send_around(to, req, path).await;
        }
        let (req, failure) = match self.send_directly(to, req, &path.tries).await {
            Ok(answer) => return Ok(answer),
            Err(DirectFailure::Failed(err)) => return Err(err),
            Err(DirectFailure::Unreachable(_, err)) if self.cx.paths().is_direct(&to.id) => {
                return Err(err);
            }
            Err(DirectFailure::Unreachable(req, err)) => (req, err),
            Err(DirectFailure::Slow(req)) => (req, SendError::ConnectTimedOut(to.address)),
        };
        match self.send_carried(to, &req, path).await {
            Ok(answer) => Ok(answer),
            Err(CarryFailure::Failed(err)) => Err(err),
            Err(CarryFailure::NotSent) => Err(failure),
        }
    }

    /// Sends a request through peers, or over the own link as the last resort.
    async fn send_around(
        self: &Rc<Self>,
        to: &BoxAddress,
        req: Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<IdentifiedAnswer, SendError> {
        match self.send_carried(to, &req, path).await {
            Ok(answer) => return Ok(answer),
            Err(CarryFailure::Failed(err)) => return Err(err),
            Err(CarryFailure::NotSent) => path.set_direct(),
        }
        self.send_directly(to, req, &path.tries).await.map_err(|failure| match failure {
            DirectFailure::Failed(err) | DirectFailure::Unreachable(_, err) => err,
            DirectFailure::Slow(_) => SendError::ConnectTimedOut(to.address),
        })
    }

    /// Sends a caller's request as [`BoxClient::send`] does; it consumes the permit that allows it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`BoxClient::send`].
    pub(crate) async fn send_permitted(
        self: &Rc<Self>,
        _permit: SendPermit,
        to: &BoxAddress,
        req: Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<IdentifiedAnswer, SendError> {
        self.send(to, req, path).await
    }

    async fn send_directly(
        self: &Rc<Self>,
        to: &BoxAddress,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<IdentifiedAnswer, DirectFailure> {
        let answer = match self.pool.send_on_idle(to.max_idle, to.address, req, tries).await {
            IdleSend::Sent(answer) => answer,
            IdleSend::NoneIdle(req) => self.send_on_new(to, req, tries).await?,
        };
        if answer.is_ok() {
            self.cx.endpoint_contact.record(self.now());
        }
        answer.map_err(DirectFailure::Failed)
    }

    /// Sends a request on a new connection. If that doesn't open soon and peers reach the box, the
    /// request is given back; a connection that opens later is kept.
    async fn send_on_new(
        self: &Rc<Self>,
        to: &BoxAddress,
        req: Box<Request<Full<Bytes>>>,
        tries: &RequestTries,
    ) -> Result<Result<IdentifiedAnswer, SendError>, DirectFailure> {
        let (client, address) = (self.clone(), to.clone());
        let mut opening = Box::pin(async move { client.open(&address).await });
        let opened = tokio::select! {
            opened = &mut opening => opened,
            SearchResult::Reached = self.search_after_delay(&to.id) => {
                let pool = self.pool.clone();
                tokio::task::spawn_local(async move {
                    if let Ok(conn) = opening.await {
                        pool.keep(conn);
                    }
                });
                return Err(DirectFailure::Slow(req));
            }
        };
        match opened {
            Ok(conn) => Ok(self.pool.send_on(conn, *req, tries).await),
            Err(err) => Err(DirectFailure::Unreachable(req, err)),
        }
    }

    /// Opens a connection over the own link. If that fails, finds out whether peers reach the box;
    /// they are asked meanwhile if it takes long.
    pub(super) async fn open(
        self: &Rc<Self>,
        to: &BoxAddress,
    ) -> Result<OpenConnection, SendError> {
        let opening = self.pool.open(to.max_idle, to.address, to.connect_timeout);
        tokio::pin!(opening);
        let opened = tokio::select! {
            opened = &mut opening => opened,
            _ = self.search_after_delay(&to.id) => opening.await,
        };
        match opened {
            Ok(conn) => {
                self.record_direct(&to.id);
                Ok(conn)
            }
            Err(err) => {
                if self.search(&to.id).await == SearchResult::Reached {
                    self.record_indirect(to, &err);
                }
                Err(err)
            }
        }
    }

    async fn search_after_delay(self: &Rc<Self>, id: &BoxId) -> SearchResult {
        tokio::time::sleep(SEARCH_DELAY).await;
        self.search(id).await
    }

    pub(super) fn record_direct(&self, id: &BoxId) {
        let now = self.now();
        self.cx.endpoint_contact.record(now);
        if self.cx.paths().record_direct(id, now) {
            log::info!(target_box = id.as_str(); "a box is reached over the own link again");
        }
    }

    fn record_indirect(&self, to: &BoxAddress, err: &SendError) {
        let mut paths = self.cx.paths();
        let was_cut_off = paths.is_cut_off();
        let is_new = paths.record_indirect(&to.id, self.now());
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
        self: &Rc<Self>,
        to: &BoxAddress,
        req: &Request<Full<Bytes>>,
        path: &PathTaken,
    ) -> Result<IdentifiedAnswer, CarryFailure> {
        // Connections from before the cut may be dead.
        match self.cx.paths().is_cut_off() {
            true => self.pool.close_idle(),
            false => self.pool.close_idle_to(to.address),
        }
        let mut tried = Vec::new();
        for _ in 0..MAX_CARRIERS {
            let mut carrier = self.carriers.choose(&to.id, &tried);
            if carrier.is_none() && self.search(&to.id).await == SearchResult::Reached {
                carrier = self.carriers.choose(&to.id, &tried);
            }
            let Some(carrier) = carrier else { break };
            path.set_carried(&self.cx, carrier.node.clone());
            tried.push(carrier.node.clone());
            match self.carriers.send(&carrier, &to.id, req.clone(), &path.tries).await {
                Err(CarryFailure::NotSent) => {}
                sent => return sent,
            }
        }
        Err(CarryFailure::NotSent)
    }

    /// Makes a call to a box and reads the whole answer within a timeout.
    ///
    /// A call has no name to be carried back, so it has a connection to itself.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`]. Only a failure to connect guarantees that the call had no effect.
    pub(crate) async fn call(
        self: &Rc<Self>,
        id: &BoxId,
        address: SocketAddr,
        call: BoxCall,
        timeout: Duration,
    ) -> Result<WholeAnswer, CallError> {
        let req = call.into_request(address)?;
        let to = BoxAddress::new(id, address, connect_timeout(timeout));
        let path = PathTaken::new(Rc::default());
        let exchange = async { self.send(&to, req, &path).await?.read_whole().await };
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.unwrap_or(Err(CallError::TimedOut(timeout)))
    }

    /// Returns what peers report of their way to a box.
    async fn search(self: &Rc<Self>, id: &BoxId) -> SearchResult {
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

    fn start_search(self: &Rc<Self>, id: &BoxId) -> watch::Receiver<Option<SearchResult>> {
        let (tx, rx) = watch::channel(None);
        self.searches.borrow_mut().insert(id.clone(), rx.clone());
        let (client, id) = (self.clone(), id.clone());
        tokio::task::spawn_local(async move {
            let result = search_carriers(&client.cx, &client.carriers, &id).await;
            if result != SearchResult::Reached {
                client.cx.paths().record_vain_search(&id, result, client.now());
            }
            client.cx.metrics.path_searches.with_label_values(&[result.as_str()]).inc();
            client.searches.borrow_mut().remove(&id);
            tx.send_replace(Some(result));
        });
        rx
    }

    /// Returns whether a peer still answers and reaches a box.
    pub(crate) async fn carrier_reaches(&self, carrier: &NodeId, id: &BoxId) -> bool {
        self.carriers.reaches(carrier, id).await
    }

    /// Opens a connection to a box over the own link, without looking for another way, and keeps it.
    /// Returns whether it opened.
    pub(super) async fn reach(&self, id: &BoxId, address: SocketAddr, timeout: Duration) -> bool {
        let to = BoxAddress::new(id, address, timeout);
        let opened = self.pool.open(to.max_idle, to.address, to.connect_timeout).await;
        let Ok(conn) = opened else { return false };
        self.pool.keep(conn);
        self.record_direct(id);
        true
    }

    /// Sends a peer's request to a box over the own link only.
    pub(crate) async fn send_for_peer(
        &self,
        to: &BoxAddress,
        req: Request<Full<Bytes>>,
        tries: &RequestTries,
    ) -> Result<IdentifiedAnswer, SendError> {
        let answer = self.pool.send(to.max_idle, to.address, req, to.connect_timeout, tries);
        answer.await.inspect(|_| self.cx.endpoint_contact.record(self.now()))
    }
}
