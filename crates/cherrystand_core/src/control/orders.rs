//! The orders that follow from a domain's record.

use crate::{
    Assignment, BoxId, ControllerInput, EngineState, Order, Phase, ReplicaId, Task, fresh_report,
};

/// Lists the orders that the record calls for and that the boxes have not yet followed.
pub(crate) fn orders_of(at: ControllerInput<'_>) -> Vec<Order> {
    let mut orders = Vec::new();
    for (replica, assignment) in &at.record.replicas {
        match assignment.phase {
            Phase::Loading => orders.extend(join_orders(at, replica, assignment)),
            Phase::Draining => orders.extend(drain_order(at, assignment)),
            Phase::Reserved | Phase::Ready | Phase::Broken => {}
        }
    }
    orders.extend(release_orders(at));
    orders.extend(stray_orders(at));
    orders
}

fn join_orders(
    at: ControllerInput<'_>,
    replica: &ReplicaId,
    assignment: &Assignment,
) -> Vec<Order> {
    let addresses = assignment.boxes.iter().map(|id| at.fleet.get(id).map(|info| info.address));
    let Some(members) = addresses.collect::<Option<Vec<_>>>() else {
        return Vec::new();
    };
    let waits = |id: &BoxId| {
        let report = fresh_report(at.seen, id, at.now);
        report.is_some_and(|report| report.epoch < assignment.epoch)
    };
    let ranked = assignment.boxes.iter().enumerate().filter(|(_, id)| waits(id));
    ranked
        .map(|(rank, id)| Order {
            target: id.clone(),
            epoch: assignment.epoch,
            task: Task::Join {
                replica: replica.clone(),
                rank: rank as u32,
                members: members.clone(),
                load: assignment.load.clone(),
            },
        })
        .collect()
}

fn drain_order(at: ControllerInput<'_>, assignment: &Assignment) -> Option<Order> {
    let leader = assignment.boxes.first()?;
    let report = fresh_report(at.seen, leader, at.now)?;
    let serves = report.epoch == assignment.epoch && report.state == EngineState::Ready;
    serves.then(|| Order { target: leader.clone(), epoch: assignment.epoch, task: Task::Drain })
}

fn release_orders(at: ControllerInput<'_>) -> Vec<Order> {
    let busy = |id: &BoxId| {
        let report = fresh_report(at.seen, id, at.now);
        report.is_some_and(|report| report.state != EngineState::Idle)
    };
    let waiting = at.record.releasing.iter().filter(|(id, _)| busy(id));
    waiting
        .map(|(id, epoch)| Order { target: id.clone(), epoch: *epoch, task: Task::Release })
        .collect()
}

/// Releases engines that act although the record gives their boxes to nobody, as after an order
/// that arrived long after it was sent.
fn stray_orders(at: ControllerInput<'_>) -> Vec<Order> {
    let free = at.fleet.of_domain(&at.record.domain).filter(|info| at.record.is_free(&info.id));
    let stray = free.filter_map(|info| {
        let report = fresh_report(at.seen, &info.id, at.now)?;
        (report.state != EngineState::Idle).then(|| Order {
            target: info.id.clone(),
            epoch: report.epoch,
            task: Task::Release,
        })
    });
    stray.collect()
}
