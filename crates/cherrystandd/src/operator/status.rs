//! What operators see of the system.

use cherrystand_core::{DomainRecord, Liveness, Millis, ReplicaId, WorkspaceRecord};
use serde_json::{Value, json};

use crate::state::{RouteGroup, RouteKind, View};

/// Describes groups, replicas, boxes and daemons as this one knows them.
pub(crate) fn status_of(view: &View) -> Value {
    let workspaces = view.workspaces.values().map(|held| workspace(view, &held.record));
    json!({
        "node": node(view),
        "workspaces": workspaces.collect::<Vec<_>>(),
        "replicas": replicas(view),
        "boxes": boxes(view),
        "nodes": nodes(view),
    })
}

fn node(view: &View) -> Value {
    let (heard, expected) = view.heard_of_expected;
    json!({
        "node": view.own.node,
        "zone": view.own.zone,
        "incarnation": view.own.incarnation,
        "serves_by": format!("{:?}", view.serve_by),
        "may_accept": view.may_accept,
        "heard": heard,
        "expected": expected,
        "platform_age_ms": view.platform_age.map(|age| age.0),
    })
}

fn workspace(view: &View, record: &WorkspaceRecord) -> Value {
    let own = |group: &&RouteGroup| group.id.workspace == record.config.workspace;
    let groups = view.routes.iter().filter(own).map(|group| {
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
    let records = view.domains.values().map(|held| &held.record);
    let all = records.flat_map(|record| replicas_of(view, record));
    all.collect()
}

fn replicas_of(view: &View, record: &DomainRecord) -> Vec<Value> {
    let formed = record.replicas.iter();
    let one = |(replica, held): (&ReplicaId, &cherrystand_core::Assignment)| {
        let last = record.explanations.iter().rev().find(|past| &past.replica == replica);
        json!({
            "replica": replica, "domain": record.domain, "epoch": held.epoch,
            "phase": held.phase, "serving": serves(view, replica), "boxes": held.boxes,
            "load": format!("{}@{}", held.load.model, held.load.version),
            "why": last.map(|past| past.evidence.to_string()),
        })
    };
    formed.map(one).collect()
}

fn serves(view: &View, replica: &ReplicaId) -> bool {
    let targets = view.routes.iter().flat_map(|group| &group.targets);
    let mut replicas = targets.filter_map(|target| target.replica.as_ref());
    replicas.any(|(id, _)| id == replica)
}

fn boxes(view: &View) -> Vec<Value> {
    let formed = view.formed_replicas();
    let holder =
        |id: &cherrystand_core::BoxId| formed.replica_with_box(id).map(ToString::to_string);
    let one = |info: &cherrystand_core::BoxInfo| {
        json!({
            "box": info.id, "domain": info.domain, "zone": info.zone,
            "address": info.address, "leaving": info.leaving, "replica": holder(&info.id),
        })
    };
    view.fleet.iter().map(one).collect()
}

fn nodes(view: &View) -> Vec<Value> {
    let standing = |standing: Liveness| match standing {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
    };
    let one = |(beat, now): &(cherrystand_core::Heartbeat, Liveness)| {
        json!({
            "node": beat.node, "zone": beat.zone, "address": beat.address,
            "incarnation": beat.incarnation, "standing": standing(*now),
            "serving": beat.serving,
        })
    };
    view.members.iter().map(one).collect()
}

/// Lists the decisions about one replica, oldest first.
pub(crate) fn explain_replica(view: &View, replica: &ReplicaId) -> Option<Value> {
    let records = view.domains.values().map(|held| &held.record);
    let past: Vec<Value> = records
        .flat_map(|record| &record.explanations)
        .filter(|past| &past.replica == replica)
        .map(|past| {
            json!({
                "at_unix_secs": past.at_unix_secs, "epoch": past.epoch, "phase": past.phase,
                "because": past.evidence.to_string(), "prices": past.prices,
            })
        })
        .collect();
    if past.is_empty() {
        return None;
    }
    let serving = serves(view, replica);
    let age = view.platform_age.unwrap_or(Millis(0));
    Some(json!({
        "replica": replica, "serving": serving, "known_as_of_ms_ago": age.0, "decisions": past,
    }))
}
