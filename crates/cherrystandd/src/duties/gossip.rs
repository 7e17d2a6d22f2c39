//! The duty that exchanges state with peers by gossip.

use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{Heartbeat, Liveness, SeededRng, choose_gossip_peer, hash_bytes};
use cherrystand_peer::{PeerDialer, PeerError, Question, Reply};
use tokio::sync::oneshot;

use crate::kernel::{Duty, DutyScope};
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase, clock};

/// The time between two gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// One round of this many contacts a seed or an unreachable daemon, so that the sides of a healed
/// partition find each other again.
const RECONNECT_ROUNDS: usize = 8;

inventory::submit! {
    Duty { name: "gossip", scope: DutyScope::All, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let own = cx.settings.listen.peers;
    let node_hash = hash_bytes(cx.settings.node.as_str().as_bytes());
    let mut rng = SeededRng::new(node_hash ^ clock::unix_millis());
    let mut dialer = PeerDialer::default();
    // Daemons that start together start at different rounds.
    let mut round = rng.below(RECONNECT_ROUNDS);
    while cx.stop_phase() < StopPhase::Stopped {
        round += 1;
        let view = cx.current_view();
        dialer.retain(&known_addresses(&cx, &view));
        if let Some(peer) = pick_peer(&cx, &view, own, round, &mut rng)
            && let Err(err) = exchange(&cx, &mut dialer, peer)
        {
            cx.metrics.peer_failures.inc();
            log::debug!("gossip exchange with {peer} failed: {err}");
        }
        std::thread::sleep(ROUND_INTERVAL);
    }
    Ok(())
}

fn known_addresses(cx: &DutyContext, view: &View) -> Vec<SocketAddr> {
    let members = view.members.iter().map(|(beat, _)| beat.address);
    members.chain(cx.settings.seeds.iter().copied()).collect()
}

fn pick_peer(
    cx: &DutyContext,
    view: &View,
    own: SocketAddr,
    round: usize,
    rng: &mut SeededRng,
) -> Option<SocketAddr> {
    let known: Vec<(&Heartbeat, Liveness)> =
        view.members.iter().map(|(beat, liveness)| (beat, *liveness)).collect();
    let chosen = choose_gossip_peer(&view.own, &known, round, rng).map(|beat| beat.address);
    if chosen.is_some() && !round.is_multiple_of(RECONNECT_ROUNDS) {
        return chosen;
    }
    let mut unreachable = known_addresses(cx, view);
    unreachable
        .retain(|address| *address != own && view.alive().all(|beat| beat.address != *address));
    let index = rng.below(unreachable.len());
    unreachable.get(index).copied().or(chosen)
}

fn exchange(cx: &DutyContext, dialer: &mut PeerDialer, peer: SocketAddr) -> Result<(), PeerError> {
    let asked_at = cx.clock.now();
    let Some(greeting) = query_state(cx, StateEvent::GetGreeting) else {
        return Ok(());
    };
    let mut question = Some(Question::News(greeting));
    while let Some(next) = question {
        let reply = call_peer(cx, dialer, peer, &next)?;
        question = match reply {
            Reply::News(news) => {
                query_state(cx, |next| StateEvent::PeerNews { news, asked_at, next }).flatten()
            }
            Reply::Compared { newer, wanted } => {
                query_state(cx, |to_send| StateEvent::PeerComparison { newer, wanted, to_send })
                    .flatten()
            }
            Reply::Stored => None,
        };
    }
    Ok(())
}

fn call_peer(
    cx: &DutyContext,
    dialer: &mut PeerDialer,
    peer: SocketAddr,
    question: &Question,
) -> Result<Reply, PeerError> {
    let (reply, sent, received) = dialer.ask(peer, question)?;
    cx.metrics.peer_bytes.with_label_values(&["out", "gossip"]).inc_by(sent as u64);
    cx.metrics.peer_bytes.with_label_values(&["in", "gossip"]).inc_by(received as u64);
    Ok(reply)
}

fn query_state<T>(
    cx: &DutyContext,
    event: impl FnOnce(oneshot::Sender<T>) -> StateEvent,
) -> Option<T> {
    let (tx, rx) = oneshot::channel();
    cx.send_to_state(event(tx));
    rx.blocking_recv().ok()
}
