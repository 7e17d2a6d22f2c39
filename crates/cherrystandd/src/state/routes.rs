//! Where requests can go, as follows from the records and the evidence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{
    Class, DomainRecord, Epoch, EvidenceTable, Fleet, GroupId, Millis, Phase, ReplicaId,
    WorkspaceRecord, ZoneId,
};

use crate::state::Versioned;

/// How many requests one node sends to a model replica at once at the most.
const MAX_REPLICA_REQUESTS: u32 = 256;

/// Describes a group that requests can go to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteGroup {
    /// The group.
    pub id: GroupId,
    /// The class of its requests.
    pub class: Class,
    /// What kind of group it is.
    pub kind: RouteKind,
    /// The endpoints in service.
    pub targets: Vec<RouteTarget>,
}

/// Says how requests find a group.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RouteKind {
    /// By the model that they ask for.
    Model {
        /// The model.
        model: String,
    },
    /// By their path.
    Service {
        /// The path's beginning.
        prefix: String,
        /// Methods whose calls must not be repeated.
        not_repeatable: Vec<String>,
    },
}

/// Describes an endpoint in service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteTarget {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in the node's own zone.
    pub near: bool,
    /// The replica and epoch that requests are meant for, at model engines.
    pub replica: Option<(ReplicaId, Epoch)>,
    /// What the endpoint reports to have in flight.
    pub load: Option<u32>,
    /// How many requests this node sends it at once at the most.
    pub max_limit: u32,
}

/// Works out where requests can go now.
///
/// A replica is among the targets only while its record says that it is ready and fresh evidence
/// says that every member acknowledged the very epoch of the record.
pub(crate) fn build_routes(
    own_zone: &ZoneId,
    workspaces: &BTreeMap<Arc<str>, Arc<Versioned<WorkspaceRecord>>>,
    domains: &BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    fleet: &Fleet,
    evidence: &EvidenceTable,
    now: Millis,
) -> Vec<RouteGroup> {
    let builder = RouteBuilder { own_zone, domains, fleet, evidence, now };
    let records = workspaces.values().map(|held| &held.record);
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
        let records = self.domains.values().map(|held| &held.record);
        records.flat_map(|record| self.replicas_in(record, group)).collect()
    }

    fn replicas_in(&self, record: &DomainRecord, group: &GroupId) -> Vec<RouteTarget> {
        let formed = record.replicas.iter();
        let ready =
            formed.filter(|(replica, held)| &replica.group == group && held.phase == Phase::Ready);
        ready
            .filter_map(|(replica, held)| {
                let whole =
                    self.evidence.load_if_whole(&record.domain, replica, held.epoch, self.now);
                let leader = self.fleet.get(held.boxes.first()?)?;
                Some(RouteTarget {
                    address: leader.address,
                    near: &leader.zone == self.own_zone,
                    replica: Some((replica.clone(), held.epoch)),
                    load: Some(whole?),
                    max_limit: MAX_REPLICA_REQUESTS,
                })
            })
            .collect()
    }
}
