//! The duty that follows the store and decides for this node's share of the domains.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::kernel::{Duty, DutyScope};
use crate::site::box_calls::{handle_hints, probe_unlisted};
use crate::site::catching_up::keep_knowledge_fresh;
use crate::site::control::Control;
use crate::site::operator_watch::watch_operator_keys;
use crate::site::peer_listener::serve_peers;
use crate::site::reader_list::publish_reader_list;
use crate::site::store_watch::{follow_store, track_awake_time};
use crate::site::suspect_writer::write_suspects;
use crate::{DutyContext, DutyError, StopPhase};

/// The time between two steps when nothing wakes the duty.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// How long changes are collected before a step.
const COALESCE_DELAY: Duration = Duration::from_millis(4);

inventory::submit! {
    Duty { name: "site-control", scope: DutyScope::Routes, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let Some(site) = &cx.settings.site else {
        return Ok(());
    };
    cx.run_local(async {
        let control = Rc::new(Control::new(cx.clone()));
        let address = site.changes;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| DutyError::Listen { address, source })?;
        tokio::task::spawn_local(serve_peers(control.clone(), listener));
        tokio::task::spawn_local(follow_store(control.clone()));
        tokio::task::spawn_local(keep_knowledge_fresh(control.clone()));
        tokio::task::spawn_local(track_awake_time(control.clone()));
        tokio::task::spawn_local(watch_operator_keys(control.clone()));
        tokio::task::spawn_local(handle_hints(control.clone()));
        tokio::task::spawn_local(control.boxes.clone().check_failed_paths());
        tokio::task::spawn_local(publish_reader_list(control.clone()));
        tokio::task::spawn_local(write_suspects(control.clone()));
        tokio::select! {
            () = run_steps(control.clone()) => {}
            () = cx.wait_for_stop(StopPhase::Stopped) => {}
        }
        Ok(())
    })?
}

async fn run_steps(control: Rc<Control>) {
    loop {
        let woken = tokio::time::timeout(STEP_INTERVAL, control.wake.notified()).await.is_ok();
        if woken {
            tokio::time::sleep(COALESCE_DELAY).await;
        }
        let view = control.cx.current_view();
        let has_expired = control.state.borrow_mut().remove_expired(control.now());
        // A node's share of the retries depends on the number of nodes.
        if has_expired || control.cx.site.borrow().live_nodes != view.alive().count() {
            control.publish();
        }
        probe_unlisted(&control);
        control.count_refused_values();
        control.announce_decides();
        control.exchange_documents(&view);
        if control.cx.stop_phase() == StopPhase::Running
            && control.update_reach(|reach| reach.may_decide(control.now()))
        {
            control.step_domains(&view).await;
        }
    }
}
