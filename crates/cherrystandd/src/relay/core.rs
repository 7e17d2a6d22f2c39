//! The relay's groups and endpoints, updated from the published view.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use cherrystand_core::{
    Admission, AdmissionLimits, AttemptEnd, Class, EndpointKey, EndpointSpec, Epoch, GroupId,
    GroupKey, Millis, NoEndpoint, ReplicaId, RetryBudget, Router, SeededRng, SendPermit,
    TypicalLatency, WaitQueue,
};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::state::{RouteGroup, RouteKind, RouteTarget};

/// The initial concurrency limit of a new endpoint, in requests.
const INITIAL_LIMIT: u32 = 32;

/// Identifies an endpoint; a replica under a new epoch is a new endpoint.
type TargetId = (SocketAddr, Option<(ReplicaId, Epoch)>);

/// A group and the relay's state for it.
pub(crate) struct GroupState {
    /// The group's id.
    pub(crate) id: GroupId,
    /// Its class.
    pub(crate) class: Class,
    /// The model name or path prefix that requests are matched by.
    pub(crate) kind: RouteKind,
    /// The requests that wait for one of its endpoints.
    pub(crate) queue: WaitQueue,
    /// Wakes the request that has waited longest when an endpoint has capacity.
    pub(crate) capacity_freed: Rc<Notify>,
    /// Limits its retries to a share of its requests.
    pub(crate) retry_budget: RetryBudget,
    /// The typical time until its answers begin.
    pub(crate) typical_latency: TypicalLatency,
    key: GroupKey,
    targets: BTreeMap<TargetId, EndpointKey>,
}

/// The address of an endpoint and the replica behind it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The replica and epoch that requests are addressed to; `None` for an endpoint of a service.
    pub(crate) replica: Option<(ReplicaId, Epoch)>,
}

/// An endpoint chosen for a request, which is already counted as in flight there.
pub(crate) struct ChosenEndpoint {
    /// The endpoint's key in the router.
    pub(crate) endpoint: EndpointKey,
    /// Its address and replica.
    pub(crate) target: Target,
    /// The permit to send the request.
    pub(crate) permit: SendPermit,
}

/// The routing, queueing and admission state of the relay, used on its thread only.
pub(crate) struct RelayCore {
    /// The node's admission limits.
    pub(crate) admission: Admission,
    router: Router,
    groups: BTreeMap<GroupId, GroupState>,
    group_ids: SecondaryMap<GroupKey, GroupId>,
    targets: SecondaryMap<EndpointKey, Target>,
    routes: Arc<Vec<RouteGroup>>,
    rng: SeededRng,
}

impl RelayCore {
    /// Creates the state of a relay without groups.
    pub(crate) fn new(limits: AdmissionLimits, seed: u64) -> Self {
        Self {
            admission: Admission::new(limits),
            router: Router::default(),
            groups: BTreeMap::new(),
            group_ids: SecondaryMap::new(),
            targets: SecondaryMap::new(),
            routes: Arc::default(),
            rng: SeededRng::new(seed),
        }
    }

    /// Updates the groups and endpoints to the routes of a newer view.
    pub(crate) fn apply_routes(&mut self, routes: &Arc<Vec<RouteGroup>>, now: Millis) {
        if Arc::ptr_eq(&self.routes, routes) {
            return;
        }
        self.routes = routes.clone();
        self.remove_missing_groups(routes);
        for group in routes.iter() {
            self.apply_group(group, now);
        }
    }

    /// Returns a group's state.
    pub(crate) fn group(&self, key: GroupKey) -> Option<&GroupState> {
        self.groups.get(self.group_ids.get(key)?)
    }

    /// Returns a group's state for modification.
    pub(crate) fn group_mut(&mut self, key: GroupKey) -> Option<&mut GroupState> {
        self.groups.get_mut(self.group_ids.get(key)?)
    }

    /// Returns all groups.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &GroupState> {
        self.groups.values()
    }

    /// Finds the group that serves a model, named as `model` or `workspace/model`.
    pub(crate) fn find_model(&self, name: &str) -> Option<GroupKey> {
        let (workspace, model_name) = match name.split_once('/') {
            Some((workspace, model_name)) => (Some(workspace), model_name),
            None => (None, name),
        };
        let serves = |group: &&GroupState| {
            let workspace_matches = workspace.is_none_or(|id| id == group.id.workspace.as_str());
            workspace_matches
                && matches!(&group.kind, RouteKind::Model { model } if model == model_name)
        };
        self.groups.values().find(serves).map(|group| group.key)
    }

    /// Finds the service with the longest path prefix that matches a path.
    pub(crate) fn find_service(&self, path: &str) -> Option<GroupKey> {
        let prefix_length = |group: &GroupState| match &group.kind {
            RouteKind::Service { prefix, .. } if prefix_matches(prefix, path) => Some(prefix.len()),
            _ => None,
        };
        let matching =
            self.groups.values().filter_map(|group| Some((prefix_length(group)?, group.key)));
        matching.max_by_key(|(length, _)| *length).map(|(_, key)| key)
    }

    /// Chooses an endpoint and counts the request as in flight there.
    pub(crate) fn start_attempt(
        &mut self,
        group: GroupKey,
        prefix: Option<u64>,
        now: Millis,
    ) -> Result<ChosenEndpoint, NoEndpoint> {
        let key = self.router.choose(group, prefix, now, &mut self.rng)?;
        self.start_at(key, now).ok_or(NoEndpoint::NoneServing)
    }

    /// Does the same for a call that is in flight at `first`, if another endpoint can take it.
    pub(crate) fn start_other_attempt(
        &mut self,
        group: GroupKey,
        first: EndpointKey,
        now: Millis,
    ) -> Option<ChosenEndpoint> {
        let key = self.router.choose(group, None, now, &mut self.rng).ok()?;
        if key == first { None } else { self.start_at(key, now) }
    }

    fn start_at(&mut self, endpoint: EndpointKey, now: Millis) -> Option<ChosenEndpoint> {
        let target = self.targets.get(endpoint)?.clone();
        let permit = self.router.start(endpoint, now)?;
        Some(ChosenEndpoint { endpoint, target, permit })
    }

    /// Records the backoff that an endpoint asked for when it refused a request.
    pub(crate) fn record_backoff(&mut self, endpoint: EndpointKey, requested: Millis, now: Millis) {
        self.router.record_backoff(endpoint, requested, now);
    }

    /// Counts an attempt as ended at its endpoint and wakes the next queued request.
    pub(crate) fn finish_attempt(
        &mut self,
        group: GroupKey,
        endpoint: EndpointKey,
        end: AttemptEnd,
        now: Millis,
        first_byte: Option<Millis>,
    ) {
        self.router.finish(endpoint, end, now, first_byte);
        if let Some(group) = self.group_mut(group) {
            group.queue.record_completion(now);
            if let Some(latency) = first_byte {
                group.typical_latency.record(latency);
            }
            group.capacity_freed.notify_one();
        }
    }

    /// Returns whether the routes still contain an endpoint.
    pub(crate) fn has_endpoint(&self, endpoint: EndpointKey) -> bool {
        self.targets.contains_key(endpoint)
    }

    /// Returns the typical time until an endpoint's answer begins.
    pub(crate) fn typical_latency(&self, endpoint: EndpointKey) -> Millis {
        self.router.typical_latency(endpoint)
    }

    fn remove_missing_groups(&mut self, routes: &[RouteGroup]) {
        let removed: Vec<GroupId> = self
            .groups
            .keys()
            .filter(|id| !routes.iter().any(|group| &group.id == *id))
            .cloned()
            .collect();
        for id in removed {
            if let Some(group) = self.groups.remove(&id) {
                self.router.remove_group(group.key);
                self.group_ids.remove(group.key);
            }
        }
    }

    fn apply_group(&mut self, route: &RouteGroup, now: Millis) {
        let mut group = self.groups.remove(&route.id).unwrap_or_else(|| GroupState {
            id: route.id.clone(),
            class: route.class,
            kind: route.kind.clone(),
            queue: WaitQueue::default(),
            capacity_freed: Rc::default(),
            retry_budget: RetryBudget::default(),
            typical_latency: TypicalLatency::default(),
            key: self.router.add_group(),
            targets: BTreeMap::new(),
        });
        group.class = route.class;
        group.kind = route.kind.clone();
        self.group_ids.insert(group.key, route.id.clone());
        self.remove_missing_targets(&mut group, route);
        for target in &route.targets {
            self.apply_target(&mut group, target, now);
        }
        self.groups.insert(route.id.clone(), group);
    }

    fn remove_missing_targets(&mut self, group: &mut GroupState, route: &RouteGroup) {
        let is_listed = |id: &TargetId| route.targets.iter().any(|target| target_id(target) == *id);
        let (router, targets) = (&mut self.router, &mut self.targets);
        group.targets.retain(|id, key| {
            let keep = is_listed(id);
            if !keep {
                router.remove_endpoint(*key);
                targets.remove(*key);
            }
            keep
        });
    }

    fn apply_target(&mut self, group: &mut GroupState, target: &RouteTarget, now: Millis) {
        let (router, targets) = (&mut self.router, &mut self.targets);
        let key = *group.targets.entry(target_id(target)).or_insert_with(|| {
            let spec = EndpointSpec {
                near: target.near,
                initial_limit: INITIAL_LIMIT,
                max_limit: target.max_limit,
            };
            let key = router.add_endpoint(group.key, spec);
            let (address, replica) = target_id(target);
            targets.insert(key, Target { address, replica });
            group.capacity_freed.notify_one();
            key
        });
        if let Some(load) = target.load {
            router.report_load(key, now, load);
        }
    }
}

fn target_id(target: &RouteTarget) -> TargetId {
    (target.address, target.replica.clone())
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
