//! Watches the operators' keys of the store beside everything else.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{Millis, Revision};
use cherrystand_platform::{KeyValue, PlatformError, SiteDriver};

use crate::site::Driver;
use crate::site::control::Control;
use crate::site::open_reads::OpenReads;

/// How long a watch of the operators' keys alone waits for a change.
const OPERATOR_WATCH_WAIT: Duration = Duration::from_secs(15);

/// How long such a watch waits while the store is unreachable, so that an answer is noticed soon.
const OPERATOR_RETRY_WAIT: Duration = Duration::from_millis(500);

/// The first backoff of a node that cannot reach the store before it tries again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The longest such backoff. The node reads from peers in the meantime, and even a refused call is
/// paid for.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(8_000);

/// The minimum time between two watches of the operators' keys.
const OPERATOR_WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Watches the operators' keys in the store while everything else is read from a peer.
///
/// Only the readers of a zone do this, so that two of its nodes have their own connection to the
/// store; the other nodes rely on their readers and on what peers pass on. A node that cannot reach
/// the store retries now and then.
pub(crate) async fn watch_operator_keys(control: Rc<Control>) {
    let mut backoff = UNREACHABLE_BACKOFF;
    let mut watches = OpenReads::new(control.cx.clock);
    loop {
        tokio::time::sleep(OPERATOR_WATCH_INTERVAL).await;
        let after = control.state.borrow().revision();
        if control.peers.source().is_none() || after == Revision::NONE {
            continue;
        }
        let wait = if control.is_store_unreachable() {
            tokio::time::sleep(control.peers.jittered(backoff)).await;
            backoff = (backoff * 2).min(MAX_UNREACHABLE_BACKOFF);
            OPERATOR_RETRY_WAIT
        } else {
            backoff = UNREACHABLE_BACKOFF;
            OPERATOR_WATCH_WAIT
        };
        if control.is_store_unreachable() || control.peers.is_reader() {
            let patience = Millis(wait.as_millis() as u64) + control.store.answer_time().patience();
            watches.begin(patience, watch_operator_keys_once(control.clone(), after, wait));
            if watches.next_end().await.is_none() {
                log::warn!("a watch of the operators' keys is late; it stays open");
                control.record_store_miss();
            }
        }
    }
}

async fn watch_operator_keys_once(
    control: Rc<Control>,
    after: Revision,
    wait: Duration,
) -> Result<(), PlatformError> {
    match control.store.watch(Driver::OPERATOR_PREFIX, after, wait).await {
        Ok(changes) => {
            control.record_store_answer();
            let has_changes =
                control.state.borrow_mut().apply_operator_changes(&changes, control.now());
            if has_changes {
                control.publish_and_wake();
            }
        }
        // The tasks that read the whole store detect this themselves.
        Err(PlatformError::HistoryLost | PlatformError::EraChanged) => {}
        Err(err) => {
            log::warn!("the operators' keys could not be watched: {err}");
            control.record_store_miss();
        }
    }
    Ok(())
}
