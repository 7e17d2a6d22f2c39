//! An immutable snapshot of a daemon's state.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    Document, DomainRecord, Fleet, FormedReplicas, Heartbeat, Incarnation, Liveness, Millis,
    Revision, ServeBy, WorkspaceRecord,
};

use crate::state::RouteGroup;
use crate::{Settings, clock};

/// A parsed record and its revision in the store.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    /// The revision of the record in the store.
    pub revision: Revision,
    /// The record as parsed.
    pub record: T,
}

/// A snapshot of a daemon's state.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// When the snapshot was taken, on the daemon's clock.
    pub made_at: Millis,
    /// The daemon's own heartbeat.
    pub own: Heartbeat,
    /// What allows the daemon to serve, or why it may not.
    pub serve_by: ServeBy,
    /// Whether the daemon may try to get a change of configuration accepted.
    pub may_accept: bool,
    /// How many of the expected daemons recently held the same configurations as this one, itself
    /// included, and how many are expected.
    pub reachable_daemons: (usize, usize),
    /// Whether a majority of the daemons holds the same configurations as this one.
    pub majority_agrees: bool,
    /// The time since this daemon or a peer that it heard from last read the platform.
    pub platform_age: Option<Millis>,
    /// The known daemons, this one first.
    pub members: Vec<(Heartbeat, Liveness)>,
    /// The workspaces' records, by key.
    pub workspaces: BTreeMap<Arc<str>, Arc<Versioned<WorkspaceRecord>>>,
    /// The domains' records, by key.
    pub domains: BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    /// The boxes in the platform's list.
    pub fleet: Arc<Fleet>,
    /// The records that daemons exchange in deployments with configured routes.
    pub site_records: Vec<Document>,
    /// The endpoints that requests can be sent to.
    pub routes: Arc<Vec<RouteGroup>>,
}

impl View {
    /// Returns the view at the daemon's start, when it knows only itself.
    pub(crate) fn initial(settings: &Settings, now: Millis) -> Self {
        Self {
            made_at: now,
            own: initial_heartbeat(settings),
            serve_by: ServeBy::NotYet,
            may_accept: false,
            reachable_daemons: (1, 1),
            majority_agrees: false,
            platform_age: None,
            members: Vec::new(),
            workspaces: BTreeMap::new(),
            domains: BTreeMap::new(),
            fleet: Arc::default(),
            site_records: Vec::new(),
            routes: Arc::default(),
        }
    }

    /// Returns the formed replicas of all domains.
    pub(crate) fn formed_replicas(&self) -> FormedReplicas {
        FormedReplicas::new(self.domains.values().map(|versioned| &versioned.record))
    }

    /// Returns the heartbeats of the daemons that are alive.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Heartbeat> {
        let alive = self.members.iter().filter(|(_, liveness)| *liveness == Liveness::Alive);
        alive.map(|(heartbeat, _)| heartbeat)
    }
}

/// Returns the first heartbeat of a daemon that starts now.
///
/// The incarnation number is the wall-clock time, since a machine without a disk cannot store the number
/// of the last incarnation.
pub(crate) fn initial_heartbeat(settings: &Settings) -> Heartbeat {
    Heartbeat {
        node: settings.node.clone(),
        incarnation: Incarnation(clock::unix_millis()),
        beat: 0,
        zone: settings.zone.clone(),
        address: settings.listen.peers,
        serving: true,
        decides: true,
        link_mbps: settings.limits.link_mbps as u32,
        changes: settings.site.as_ref().map(|site| site.changes),
        config: 0,
    }
}
