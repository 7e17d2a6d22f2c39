//! The duty that answers requests of peers.

use cherrystand_peer::{PeerListener, Question, Reply};
use tokio::sync::oneshot;

use crate::kernel::{Duty, DutyScope};
use crate::state::StateEvent;
use crate::{DutyContext, DutyError, StopPhase};

inventory::submit! {
    Duty { name: "peer-answers", scope: DutyScope::All, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let address = cx.settings.listen.peers;
    let listener =
        PeerListener::bind(address).map_err(|source| DutyError::ListenPeers { address, source })?;
    while cx.stop_phase() < StopPhase::Stopped {
        match listener.serve_one(|question| answer(&cx, question)) {
            Ok(Some((received, sent))) => {
                cx.metrics
                    .peer_bytes
                    .with_label_values(&["in", "gossip-answers"])
                    .inc_by(received as u64);
                cx.metrics
                    .peer_bytes
                    .with_label_values(&["out", "gossip-answers"])
                    .inc_by(sent as u64);
            }
            Ok(None) => {}
            Err(err) => {
                cx.metrics.peer_failures.inc();
                log::warn!("a request of a peer could not be answered: {err}");
            }
        }
    }
    Ok(())
}

fn answer(cx: &DutyContext, question: Question) -> Reply {
    let (tx, rx) = oneshot::channel();
    cx.send_to_state(StateEvent::PeerQuestion(question, tx));
    // If the state duty has ended, the peer gets an answer without data.
    rx.blocking_recv().unwrap_or(Reply::Stored)
}
