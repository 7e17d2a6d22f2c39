//! The orders that follow from a domain's record.

use crate::{
    Assignment, BoxId, ControllerInput, EngineState, Order, Phase, ReplicaId, Task, fresh_report,
};

/// Returns the orders that the record requires and the boxes haven't carried out yet.
pub(crate) fn orders_of(input: ControllerInput<'_>) -> Vec<Order> {
    let mut orders = Vec::new();
    for (replica, assignment) in &input.record.replicas {
        match assignment.phase {
            Phase::Loading => orders.extend(join_orders(input, replica, assignment)),
            Phase::Draining => orders.extend(drain_order(input, assignment)),
            Phase::Reserved | Phase::Ready | Phase::Broken => {}
        }
    }
    orders.extend(release_orders(input));
    orders.extend(orphan_orders(input));
    orders
}

fn join_orders(
    input: ControllerInput<'_>,
    replica: &ReplicaId,
    assignment: &Assignment,
) -> Vec<Order> {
    let addresses = assignment.boxes.iter().map(|id| input.fleet.get(id).map(|info| info.address));
    let Some(members) = addresses.collect::<Option<Vec<_>>>() else {
        return Vec::new();
    };
    let needs_join = |id: &BoxId| {
        let report = fresh_report(input.observations, id, input.now);
        report.is_some_and(|report| report.epoch < assignment.epoch)
    };
    let ranked = assignment.boxes.iter().enumerate().filter(|(_, id)| needs_join(id));
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

fn drain_order(input: ControllerInput<'_>, assignment: &Assignment) -> Option<Order> {
    let leader = assignment.boxes.first()?;
    let report = fresh_report(input.observations, leader, input.now)?;
    let serves = report.epoch == assignment.epoch && report.state == EngineState::Ready;
    serves.then(|| Order { target: leader.clone(), epoch: assignment.epoch, task: Task::Drain })
}

fn release_orders(input: ControllerInput<'_>) -> Vec<Order> {
    let is_busy = |id: &BoxId| {
        let report = fresh_report(input.observations, id, input.now);
        report.is_some_and(|report| report.state != EngineState::Idle)
    };
    let busy = input.record.releasing.iter().filter(|(id, _)| is_busy(id));
    busy.map(|(id, epoch)| Order { target: id.clone(), epoch: *epoch, task: Task::Release })
        .collect()
}

/// Releases engines that act on an epoch although the record assigns their boxes to no replica, as
/// after an order that arrived long after it was sent.
fn orphan_orders(input: ControllerInput<'_>) -> Vec<Order> {
    let free =
        input.fleet.of_domain(&input.record.domain).filter(|info| input.record.is_free(&info.id));
    let orphans = free.filter_map(|info| {
        let report = fresh_report(input.observations, &info.id, input.now)?;
        (report.state != EngineState::Idle).then(|| Order {
            target: info.id.clone(),
            epoch: report.epoch,
            task: Task::Release,
        })
    });
    orphans.collect()
}
