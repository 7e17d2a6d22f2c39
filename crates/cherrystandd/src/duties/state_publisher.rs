//! The duty that owns the daemon's state and publishes it.

use std::sync::Arc;
use std::time::Duration;

use crate::kernel::{Duty, DutyScope};
use crate::state::NodeState;
use crate::state::StateEvent;
use crate::{DutyContext, DutyError, StopPhase};

/// The interval of heartbeats, and the longest time between two published views.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// How many events are applied at most before the state is published.
const MAX_EVENTS_PER_VIEW: usize = 64;

inventory::submit! {
    Duty { name: "state", scope: DutyScope::All, run }
}

fn run(cx: DutyContext) -> Result<(), DutyError> {
    let result = cx.run_local(run_state(&cx));
    // Dropping the events closes their reply channels, so that nobody waits for an answer.
    cx.state_events.close();
    while cx.state_events.try_recv().is_ok() {}
    result
}

async fn run_state(cx: &DutyContext) {
    let own = cx.current_view().own.clone();
    let mut state = NodeState::new(own, cx.config_versions.clone(), cx.clock.now());
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = cx.state_events.recv() => match event {
                Ok(event) => apply_events(cx, &mut state, event),
                Err(_) => return,
            },
            _ = interval.tick() => tick(cx, &mut state),
            () = cx.wait_for_stop(StopPhase::Stopped) => return,
        }
        if state.take_changed() {
            publish(cx, &state);
        }
    }
}

fn apply_events(cx: &DutyContext, state: &mut NodeState, first: StateEvent) {
    let now = cx.clock.now();
    state.apply(first, now);
    for _ in 1..MAX_EVENTS_PER_VIEW {
        match cx.state_events.try_recv() {
            Ok(event) => state.apply(event, now),
            Err(_) => return,
        }
    }
}

fn tick(cx: &DutyContext, state: &mut NodeState) {
    if cx.stop_phase() >= StopPhase::Draining {
        state.apply(StateEvent::Draining, cx.clock.now());
    }
    if state.tick(cx.clock.now()) {
        cx.metrics.pauses.inc();
        log::warn!("this process was paused and continues as a new incarnation");
    }
}

fn publish(cx: &DutyContext, state: &NodeState) {
    let view = state.view(cx.clock.now());
    for versioned in view.workspaces.values() {
        let workspace = versioned.record.config.workspace.as_str();
        let generation = versioned.record.generation.0 as i64;
        cx.metrics.generation.with_label_values(&[workspace]).set(generation);
    }
    let serving = view.routes.iter().flat_map(|group| &group.targets);
    let replicas = serving.filter(|target| target.replica.is_some()).count();
    cx.metrics.serving_replicas.set(replicas as i64);
    let age = view.platform_age.map_or(-1.0, |age| age.as_secs_f64());
    cx.metrics.platform_age.set(age as i64);
    cx.publish_view.send_replace(Arc::new(view));
}
