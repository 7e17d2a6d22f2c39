//! Checks of ways to boxes, by connections that carry no request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{BoxId, Millis, SearchResult};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;

use crate::site::box_client::{BoxAddress, BoxClient, CHECK_TIMEOUT};

/// How many other boxes are connected to in order to show that the own link works.
const OWN_LINK_CHECKS: usize = 3;

/// The timeout of those connections.
const OWN_LINK_TIMEOUT: Duration = Duration::from_millis(120);

/// How often due checks of direct paths are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

impl BoxClient {
    /// Finds out by a connection that carries no request whether the own link reaches a box, and if
    /// not, whether peers do.
    pub(crate) async fn check_path(self: &Rc<Self>, id: &BoxId, address: SocketAddr) -> PathCheck {
        let began = self.now();
        match self.open(&BoxAddress::for_check(id, address)).await {
            Ok(conn) => {
                self.pool.keep(conn);
                PathCheck::Direct
            }
            Err(_) if !self.cx.paths().is_direct(id) => PathCheck::Indirect,
            Err(err) if err.is_refused() => match self.may_judge_since(id, began).await {
                true => PathCheck::Refused,
                false => PathCheck::Unknown,
            },
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
                        let client = self.clone();
                        tokio::task::spawn_local(async move {
                            client.reach(&id, address, CHECK_TIMEOUT).await;
                        });
                    }
                }
            }
            self.cx.metrics.endpoints_indirect.set(self.cx.paths().indirect_count() as i64);
            if self.cx.paths().has_no_carriers() {
                continue;
            }
            let view = self.cx.current_view();
            let alive: Vec<_> = view.alive().collect();
            self.cx.paths().retain_carriers(&alive);
        }
    }
}
