//! The connections that watches of a store use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::HttpPool;

/// Keeps the connections of watches apart by what is watched.
///
/// A store's answers name nothing. On a connection that carried watches of one prefix only, a surplus
/// answer can only be that to an earlier watch of the same, which its revisions tell.
#[derive(Clone, Default)]
pub(crate) struct WatchPools(Rc<RefCell<BTreeMap<String, HttpPool>>>);

impl WatchPools {
    /// Returns the connections for watches of a prefix.
    pub(crate) fn of(&self, prefix: &str) -> HttpPool {
        let mut pools = self.0.borrow_mut();
        if let Some(pool) = pools.get(prefix) {
            return pool.clone();
        }
        pools.entry(prefix.to_owned()).or_default().clone()
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.0.borrow().values().for_each(HttpPool::close_idle);
    }
}
