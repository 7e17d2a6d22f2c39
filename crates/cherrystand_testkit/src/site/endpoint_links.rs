//! The links of one daemon to all endpoints, which can be cut together.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::{Link, LinkCut};

/// Returns a loopback address that no daemon, stand-in or other daemon's links listen on: while a link is cut, nobody
/// else may take its port.
fn own_address() -> IpAddr {
    /// Keeps the addresses of links apart from 127.0.0.0/16.
    const FIRST_BLOCK: u8 = 64;
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let block = FIRST_BLOCK | (high & (FIRST_BLOCK - 1));
    IpAddr::V4(Ipv4Addr::new(127, block, low, NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// One daemon's links to the endpoints. The store shows that daemon their addresses in place of those of the endpoints.
#[derive(Clone)]
pub struct EndpointLinks {
    address: IpAddr,
    links: Rc<RefCell<BTreeMap<SocketAddr, Link>>>,
}

impl Default for EndpointLinks {
    fn default() -> Self {
        Self { address: own_address(), links: Rc::default() }
    }
}

impl EndpointLinks {
    /// Opens a link to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback address can be listened on.
    pub async fn add(&self, endpoint: SocketAddr) -> std::io::Result<()> {
        let link = Link::open_on(self.address, endpoint).await?;
        self.links.borrow_mut().insert(endpoint, link);
        Ok(())
    }

    fn all(&self) -> Vec<Link> {
        self.links.borrow().values().cloned().collect()
    }

    /// Returns how many connections were opened over all links so far.
    pub fn opened(&self) -> u64 {
        self.links.borrow().values().map(Link::opened).sum()
    }

    /// Cuts all links.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Link::cut`].
    pub async fn cut(&self, cut: LinkCut) -> std::io::Result<()> {
        let all = self.all();
        futures_util::future::try_join_all(all.iter().map(|link| link.cut(cut))).await.map(drop)
    }

    /// Ends the cut of all links.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Link::restore`].
    pub async fn restore(&self) -> std::io::Result<()> {
        let all = self.all();
        futures_util::future::try_join_all(all.iter().map(Link::restore)).await.map(drop)
    }

    /// Replaces the address in the encoded entry of an endpoint. Any other value is returned as it is.
    pub(crate) fn show(&self, value: &str) -> String {
        self.replace_address(value).unwrap_or_else(|| value.to_owned())
    }

    fn replace_address(&self, value: &str) -> Option<String> {
        let mut entry: Value = serde_json::from_slice(&STANDARD.decode(value).ok()?).ok()?;
        let address: SocketAddr = entry.get("address")?.as_str()?.parse().ok()?;
        let link = self.links.borrow().get(&address)?.address();
        entry["address"] = json!(link.to_string());
        Some(STANDARD.encode(entry.to_string()))
    }
}
