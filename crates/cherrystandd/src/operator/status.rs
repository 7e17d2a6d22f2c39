//! The status of the system for operators.

use cherrystand_core::{DomainRecord, Liveness, Millis, ReplicaId, WorkspaceRecord};
use serde_json::{Value, json};

use crate::state::{RouteGroup, RouteKind, View};

/// Describes the groups, replicas, boxes and daemons in this daemon's view.
pub(crate) fn status_of(view: &View) -> Value {
    let workspaces = view.workspaces.values().map(|versioned| workspace(view, &versioned.record));
    json!({
        "node": node(view),
        "workspaces": workspaces.collect::<Vec<_>>(),
        "replicas": replicas(view),
        "boxes": boxes(view),
        "nodes": nodes(view),
    })
}

fn node(view: &View) -> Value {
    let (reachable, expected) = view.reachable_daemons;
    json!({
        "node": view.own.node,
        "zone": view.own.zone,
        "incarnation": view.own.incarnation,
        "serves_by": format!("{:?}", view.serve_by),
        "may_accept": view.may_accept,
        "heard": reachable,
        "expected": expected,
        "platform_age_ms": view.platform_age.map(|age| age.0),
    })
}

fn workspace(view: &View, record: &WorkspaceRecord) -> Value {
    let in_workspace = |group: &&RouteGroup| group.id.workspace == record.config.workspace;
    let groups = view.routes.iter().filter(in_workspace).map(|group| {
        let kind = match group.kind {
            RouteKind::Model { .. } => "model",
            RouteKind::Service { .. } => "service",
        };
        let wanted = match record.config.model(&group.id.name) {
            Some(model) => model.replicas as usize,
            None => group.targets.len(),
        };
        json!({
            "group": group.id, "kind": kind, "class": group.class,
            "wanted": wanted, "serving": group.targets.len(),
        })
    });
    json!({
        "workspace": record.config.workspace,
        "generation": record.generation,
        "pending_plans": record.plans.len(),
        "groups": groups.collect::<Vec<_>>(),
    })
}

fn replicas(view: &View) -> Vec<Value> {
    let records = view.domains.values().map(|versioned| &versioned.record);
    let all = records.flat_map(|record| replicas_of(view, record));
    all.collect()
}

fn replicas_of(view: &View, record: &DomainRecord) -> Vec<Value> {
    let formed = record.replicas.iter();
    let describe = |(replica, assignment): (&ReplicaId, &cherrystand_core::Assignment)| {
        let last_explanation =
            record.explanations.iter().rev().find(|explanation| &explanation.replica == replica);
        json!({
            "replica": replica, "domain": record.domain, "epoch": assignment.epoch,
            "phase": assignment.phase, "serving": serves(view, replica), "boxes": assignment.boxes,
            "load": format!("{}@{}", assignment.load.model, assignment.load.version),
            "why": last_explanation.map(|explanation| explanation.evidence.to_string()),
        })
    };
    formed.map(describe).collect()
}

fn serves(view: &View, replica: &ReplicaId) -> bool {
    let targets = view.routes.iter().flat_map(|group| &group.targets);
    let mut replicas = targets.filter_map(|target| target.replica.as_ref());
    replicas.any(|(id, _)| id == replica)
}

fn boxes(view: &View) -> Vec<Value> {
    let formed = view.formed_replicas();
    let replica_name =
        |id: &cherrystand_core::BoxId| formed.replica_with_box(id).map(ToString::to_string);
    let describe = |info: &cherrystand_core::BoxInfo| {
        json!({
            "box": info.id, "domain": info.domain, "zone": info.zone,
            "address": info.address, "leaving": info.leaving, "replica": replica_name(&info.id),
        })
    };
    view.fleet.iter().map(describe).collect()
}

fn nodes(view: &View) -> Vec<Value> {
    let liveness_name = |liveness: Liveness| match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
    };
    let describe = |(beat, liveness): &(cherrystand_core::Heartbeat, Liveness)| {
        json!({
            "node": beat.node, "zone": beat.zone, "address": beat.address,
            "incarnation": beat.incarnation, "standing": liveness_name(*liveness),
            "serving": beat.serving,
        })
    };
    view.members.iter().map(describe).collect()
}

/// Lists the decisions on a replica, oldest first, or returns `None` if there is none.
pub(crate) fn explain_replica(view: &View, replica: &ReplicaId) -> Option<Value> {
    let records = view.domains.values().map(|versioned| &versioned.record);
    let decisions: Vec<Value> = records
        .flat_map(|record| &record.explanations)
        .filter(|explanation| &explanation.replica == replica)
        .map(|explanation| {
            json!({
                "at_unix_secs": explanation.at_unix_secs, "epoch": explanation.epoch,
                "phase": explanation.phase,
                "because": explanation.evidence.to_string(), "prices": explanation.prices,
            })
        })
        .collect();
    if decisions.is_empty() {
        return None;
    }
    let serving = serves(view, replica);
    let age = view.platform_age.unwrap_or(Millis(0));
    Some(json!({
        "replica": replica, "serving": serving, "known_as_of_ms_ago": age.0, "decisions": decisions,
    }))
}
