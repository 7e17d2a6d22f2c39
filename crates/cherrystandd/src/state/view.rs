//! What a daemon knows, as one immutable value.

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    Document, DomainRecord, Fleet, FormedReplicas, Heartbeat, Incarnation, Liveness, Millis,
    Revision, ServeBy, WorkspaceRecord,
};

use crate::state::RouteGroup;
use crate::{Settings, clock};

/// Holds a record and the revision at which it was read.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: T,
}

/// Holds what a daemon knows at one moment.
#[derive(Clone, Debug)]
pub(crate) struct View {
    /// When the view was made, on the daemon's clock.
    pub made_at: Millis,
    /// The daemon's own heartbeat.
    pub own: Heartbeat,
    /// By what right the daemon serves.
    pub serve_by: ServeBy,
    /// Whether the daemon may try to have a change accepted.
    pub may_accept: bool,
    /// How many daemons were heard from lately, and how many there should be.
    pub heard_of_expected: (usize, usize),
    /// Whether a majority of the daemons holds the configurations that this one holds.
    pub majority_holds: bool,
    /// How long ago the platform was last read by anyone heard from.
    pub platform_age: Option<Millis>,
    /// The daemons known, this one first.
    pub members: Vec<(Heartbeat, Liveness)>,
    /// The workspaces' records, by key.
    pub workspaces: BTreeMap<Arc<str>, Arc<Versioned<WorkspaceRecord>>>,
    /// The domains' records, by key.
    pub domains: BTreeMap<Arc<str>, Arc<Versioned<DomainRecord>>>,
    /// The listed boxes.
    pub fleet: Arc<Fleet>,
    /// The copies passed on where routes are configured.
    pub site_records: Vec<Document>,
    /// Where requests can go.
    pub routes: Arc<Vec<RouteGroup>>,
}

impl View {
    /// Returns what a daemon knows at its start: itself.
    pub(crate) fn initial(settings: &Settings, now: Millis) -> Self {
        Self {
            made_at: now,
            own: initial_heartbeat(settings),
            serve_by: ServeBy::NotYet,
            may_accept: false,
            heard_of_expected: (1, 1),
            majority_holds: false,
            platform_age: None,
            members: Vec::new(),
            workspaces: BTreeMap::new(),
            domains: BTreeMap::new(),
            fleet: Arc::default(),
            site_records: Vec::new(),
            routes: Arc::default(),
        }
    }

    /// Returns the assignments of all domains.
    pub(crate) fn formed_replicas(&self) -> FormedReplicas {
        FormedReplicas::new(self.domains.values().map(|held| &held.record))
    }

    /// Returns the heartbeats of the daemons that are alive.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Heartbeat> {
        let alive = self.members.iter().filter(|(_, standing)| *standing == Liveness::Alive);
        alive.map(|(beat, _)| beat)
    }
}

/// Returns the first heartbeat of a daemon that starts now.
///
/// Its life is numbered by the clock, which is all that a box without a disk has to number by.
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
