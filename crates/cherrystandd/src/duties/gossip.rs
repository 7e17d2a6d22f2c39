//! The duty that exchanges news with peers.

use std::net::SocketAddr;
use std::time::Duration;

use cherrystand_core::{Heartbeat, Liveness, SeededRng, choose_gossip_peer, hash_bytes};
use cherrystand_peer::{PeerDialer, PeerError, Question, Reply};
use tokio::sync::oneshot;

use crate::kernel::{Duty, DutyScope};
use crate::state::{StateEvent, View};
use crate::{DutyContext, DutyError, StopPhase, clock};

/// The time between two exchanges.
const ROUND: Duration = Duration::from_millis(250);

/// In one round of this many a seed or a dead daemon is tried, so that parted sides find each
/// other again.
const ROUNDS_TO_REUNITE: usize = 8;

inventory::submit! {
    Duty { name: "gossip", scope: DutyScope::All, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let own = cx.settings.listen.peers;
    let name = hash_bytes(cx.settings.node.as_str().as_bytes());
    let mut seed = SeededRng::new(name ^ clock::unix_millis());
    let mut dialer = PeerDialer::default();
    // Not all start with the same one.
    let mut round = seed.below(ROUNDS_TO_REUNITE);
    while cx.stop_phase() < StopPhase::Stopped {
        round += 1;
        let view = cx.current_view();
        dialer.keep_only(&known_addresses(&cx, &view));
        if let Some(peer) = pick_peer(&cx, &view, own, round, &mut seed)
            && let Err(err) = exchange(&cx, &mut dialer, peer)
        {
            cx.metrics.peer_failures.inc();
            log::debug!("no exchange with {peer}: {err}");
        }
        std::thread::sleep(ROUND);
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
    seed: &mut SeededRng,
) -> Option<SocketAddr> {
    let known: Vec<(&Heartbeat, Liveness)> =
        view.members.iter().map(|(beat, standing)| (beat, *standing)).collect();
    let chosen = choose_gossip_peer(&view.own, &known, round, seed).map(|beat| beat.address);
    if chosen.is_some() && !round.is_multiple_of(ROUNDS_TO_REUNITE) {
        return chosen;
    }
    let mut lost = known_addresses(cx, view);
    lost.retain(|address| *address != own && view.alive().all(|beat| beat.address != *address));
    let pick = seed.below(lost.len());
    lost.get(pick).copied().or(chosen)
}

fn exchange(cx: &DutyContext, dialer: &mut PeerDialer, peer: SocketAddr) -> Result<(), PeerError> {
    let asked = cx.clock.now();
    let Some(greeting) = ask_state(cx, StateEvent::GetGreeting) else {
        return Ok(());
    };
    let mut question = Some(Question::News(greeting));
    while let Some(next) = question {
        let reply = ask_peer(cx, dialer, peer, &next)?;
        question = match reply {
            Reply::News(news) => {
                ask_state(cx, |next| StateEvent::PeerNews { news, asked, next }).flatten()
            }
            Reply::Compared { newer, wanted } => {
                ask_state(cx, |to_send| StateEvent::PeerComparison { newer, wanted, to_send })
                    .flatten()
            }
            Reply::Taken => None,
        };
    }
    Ok(())
}

fn ask_peer(
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

fn ask_state<T>(
    cx: &DutyContext,
    event: impl FnOnce(oneshot::Sender<T>) -> StateEvent,
) -> Option<T> {
    let (tx, rx) = oneshot::channel();
    cx.send_to_state(event(tx));
    rx.blocking_recv().ok()
}
