//! Unique ids for this daemon's writes.

use std::sync::atomic::{AtomicU64, Ordering};

use cherrystand_core::WriteId;

use crate::state::View;

static SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// Returns a write id that no other write has.
pub(crate) fn next_write_id(view: &View) -> WriteId {
    WriteId {
        node: view.own.node.clone(),
        incarnation: view.own.incarnation,
        sequence: SEQUENCE.fetch_add(1, Ordering::Relaxed),
    }
}
