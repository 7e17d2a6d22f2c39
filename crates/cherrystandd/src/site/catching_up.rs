//! Asks further sources beside the own one while what this daemon knows of the store is old.

use std::net::SocketAddr;
use std::rc::Rc;

use cherrystand_core::{CatchUp, Millis, NodeId};
use cherrystand_platform::{KeyValue, PlatformError};

use crate::site::change_reading::read_changes_since;
use crate::site::control::Control;
use crate::site::open_reads::OpenReads;
use crate::site::peer_selector::CatchUpSource;
use crate::site::store_reads::read_store_at_once;

/// How long a question to the store is left open at least before another one is asked beside it.
const MIN_PATIENCE: Millis = Millis(1_000);

/// Watches the age of what this daemon knows until the duty stops, if the policy uses readers.
pub(crate) async fn keep_knowledge_fresh(control: Rc<Control>) {
    if !control.cx.settings.policy.readers {
        return;
    }
    let mut catch_up = CatchUp::new(control.budget());
    let mut reads = OpenReads::new(control.cx.clock);
    loop {
        catch_up.set_budget(control.budget());
        reads.forget_ends();
        // A daemon that has just started knows nothing yet that could be old.
        let age = control.store_age().unwrap_or_default();
        for source in control.peers.catch_up_round(&mut catch_up, age) {
            match source {
                // A late one stays open and tells all that another one would.
                CatchUpSource::Store if reads.has_punctual() => {}
                CatchUpSource::Store => {
                    let patience = control.store.answer_time().patience() + MIN_PATIENCE;
                    reads.begin(patience, ask_store(control.clone()));
                }
                CatchUpSource::Peer(node, address) => {
                    tokio::task::spawn_local(ask_peer(control.clone(), node, address, age));
                }
            }
        }
        let now = control.now();
        let age = control.store_age().unwrap_or_default();
        control.cx.clock.sleep_until(catch_up.check_at(age, now).max(now + Millis(1))).await;
    }
}

async fn ask_store(control: Rc<Control>) -> Result<(), PlatformError> {
    log::info!("the store is asked, as what is known of it is old");
    read_store_at_once(&control)
        .await
        .inspect_err(|err| log::info!("the store did not help to catch up: {err}"))
}

/// Asks a peer for knowledge that is newer than what this daemon had at an age of `age`.
async fn ask_peer(control: Rc<Control>, node: NodeId, address: SocketAddr, age: Millis) {
    let max_age = age - control.budget().min_catch_up_gain();
    match read_changes_since(&control, &node, address, max_age).await {
        Ok(()) => log::info!(peer = node.as_str(); "a peer helped to catch up with the store"),
        Err(err) => {
            log::debug!(peer = node.as_str(); "a peer did not help to catch up: {err}");
        }
    }
}
