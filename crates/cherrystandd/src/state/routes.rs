//! The endpoints that requests can be sent to, derived from the records and the evidence of replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{
    Class, DomainRecord, Epoch, EvidenceTable, Fleet, GroupId, Millis, Phase, ReplicaId,
    WorkspaceRecord, ZoneId,
};

use crate::state::Versioned;

/// The upper bound of one daemon's concurrent requests to a model replica.
const MAX_REPLICA_REQUESTS: u32 = 256;

/// A group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteGroup {
    /// The group's id.
    pub id: GroupId,
    /// The class of its requests.
    pub class: Class,
    /// How requests are matched to the group.
    pub kind: RouteKind,
    /// The endpoints in service.
    pub targets: Vec<RouteTarget>,
}

/// How requests are matched to a group.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RouteKind {
    /// By the requested model.
    Model {
        /// The model's name.
        model: String,
    },
    /// By the request's path.
    Service {
        /// The prefix of the path.
        prefix: String,
        /// Methods whose calls must not be retried.
        not_repeatable: Vec<String>,
    },
}

/// An endpoint in service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteTarget {
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// Whether the endpoint is in the daemon's own availability zone.
    pub near: bool,
    /// The replica and the epoch of its assignment; `None` for the endpoints of services.
    pub replica: Option<(ReplicaId, Epoch)>,
    /// The number of requests in flight that the endpoint reported; `None` for the endpoints of services.
    pub load: Option<u32>,
    /// The upper bound of this daemon's concurrent requests to the endpoint.
    pub max_limit: u32,
}

/// Builds the groups and endpoints that requests can be sent to at a given time.
///
/// A replica is a target only while its record says that it is ready and recent evidence shows that
/// every member has acknowledged the epoch of the record.
pub(crate) fn build_routes(
    own_zone: &ZoneId,
    workspaces: &BTreeMap<Arc<str>, Arc<Versioned<WorkspaceRecord>>>,
    domains: &BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    fleet: &Fleet,
    evidence: &EvidenceTable,
    now: Millis,
) -> Vec<RouteGroup> {
    let builder = RouteBuilder { own_zone, domains, fleet, evidence, now };
    let records = workspaces.values().map(|versioned| &versioned.record);
    records.flat_map(|record| builder.groups(record)).collect()
}

struct RouteBuilder<'a> {
    own_zone: &'a ZoneId,
    domains: &'a BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    fleet: &'a Fleet,
    evidence: &'a EvidenceTable,
    now: Millis,
}

impl RouteBuilder<'_> {
    fn groups(&self, workspace: &WorkspaceRecord) -> Vec<RouteGroup> {
        let config = &workspace.config;
        let models = config.models.iter().map(|group| RouteGroup {
            id: config.group_id(&group.name),
            class: group.class,
            kind: RouteKind::Model { model: group.model.clone() },
            targets: self.replicas(&config.group_id(&group.name)),
        });
        let services = config.services.iter().map(|group| RouteGroup {
            id: config.group_id(&group.name),
            class: group.class,
            kind: RouteKind::Service {
                prefix: group.path_prefix.clone(),
                not_repeatable: group.not_repeatable.clone(),
            },
            targets: group
                .endpoints
                .iter()
                .map(|endpoint| RouteTarget {
                    address: endpoint.address,
                    near: &endpoint.zone == self.own_zone,
                    replica: None,
                    load: None,
                    max_limit: group.concurrency,
                })
                .collect(),
        });
        models.chain(services).collect()
    }

    fn replicas(&self, group: &GroupId) -> Vec<RouteTarget> {
        let records = self.domains.values().map(|versioned| &versioned.record);
        records.flat_map(|record| self.replicas_in(record, group)).collect()
    }

    fn replicas_in(&self, record: &DomainRecord, group: &GroupId) -> Vec<RouteTarget> {
        let replicas = record.replicas.iter();
        let ready = replicas.filter(|(replica, assignment)| {
            &replica.group == group && assignment.phase == Phase::Ready
        });
        ready
            .filter_map(|(replica, assignment)| {
                let load = self.evidence.load_if_whole(
                    &record.domain,
                    replica,
                    assignment.epoch,
                    self.now,
                );
                let leader = self.fleet.get(assignment.boxes.first()?)?;
                Some(RouteTarget {
                    address: leader.address,
                    near: &leader.zone == self.own_zone,
                    replica: Some((replica.clone(), assignment.epoch)),
                    load: Some(load?),
                    max_limit: MAX_REPLICA_REQUESTS,
                })
            })
            .collect()
    }
}
