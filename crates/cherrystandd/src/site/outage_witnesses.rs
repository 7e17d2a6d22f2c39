//! Asks peers whether the store was out, as this daemon alone can't tell.

use std::rc::Rc;

use cherrystand_core::Millis;

use crate::site::change_reading::ask_witness;
use crate::site::control::Control;

/// How many peers are asked to confirm an outage of the store.
const MAX_WITNESSES: usize = 2;

/// Asks peers, beside everything else, whether the store was out, if its answer came after a silence
/// that counts as an outage.
pub(super) fn confirm_any_outage(control: &Rc<Control>) {
    let silence = control.state.borrow_mut().take_unconfirmed_outage();
    if let Some(silence) = silence {
        tokio::task::spawn_local(confirm_outage(control.clone(), silence));
    }
}

/// Asks peers whether the store was out at all. This daemon can't distinguish an outage from its
/// own loss of connection.
async fn confirm_outage(control: Rc<Control>, silence: Millis) {
    for _ in 0..MAX_WITNESSES {
        let Some((node, peer)) = control.peers.random_peer() else { return };
        match ask_witness(&control, node.clone(), peer, silence).await {
            Ok(true) => {
                log::info!(
                    silence_ms = silence.0, witness = node.as_str();
                    "the store was not out; this daemon had lost its connection to it"
                );
                return;
            }
            Ok(false) => {}
            Err(err) => log::debug!("a peer could not confirm whether the store was out: {err}"),
        }
    }
}
