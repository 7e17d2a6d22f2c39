//! A simulated domain whose boxes follow the published rules of the users' platform, on virtual time.
//!
//! It records violations: a box that joins another replica while the leader of a replica that it has not left serves,
//! and a replica that opens although a member was never ready.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    BoxId, BoxStart, DomainId, Epoch, Member, MemberOrder, MemberState, MemberTask, Millis,
    OrderEnd, ServiceName, SiteBox, ZoneId,
};

use crate::site::site_box::FIRST_START_MS;

/// How long a box stays listed after the store last heard from it.
const ENTRY_TTL: Millis = Millis(3_600);

/// How long a replica is stalled before it breaks.
const STALL_TIMEOUT: Millis = Millis(4_000);

/// How long a join takes if the model is staged on the host.
const STAGED_JOIN_TIME: Millis = Millis(1_600);

/// How long a join takes if the box still has the model in memory.
const LOADED_JOIN_TIME: Millis = Millis(200);

/// How long it takes to load a model from the weight store.
const WEIGHT_LOAD_TIME: Millis = Millis(16_000);

/// How long a replica takes to open.
const OPEN_TIME: Millis = Millis(300);

/// A membership in a replica, as the box itself knows it.
#[derive(Clone, Debug, PartialEq)]
struct Membership {
    replica: String,
    epoch: Epoch,
    members: Vec<BoxId>,
    rank: u32,
    state: MemberState,
    /// When the current transition, joining or opening, ends.
    due: Millis,
    /// Since when the replica has been stalled.
    stalled_since: Option<Millis>,
}

/// The state of a box and its engine.
#[derive(Clone, Debug)]
struct FakeMember {
    alive: bool,
    /// Its incarnation: when it started, in Unix milliseconds.
    start_ms: u64,
    /// Number of orders that it took in this incarnation.
    orders_taken: u64,
    /// Whether it is partitioned from the store and gets no orders, while requests still reach it.
    disconnected: bool,
    /// Whether it is partitioned from the store alone.
    disconnected_from_store: bool,
    /// When the store last heard from it.
    last_heard: Millis,
    staged: Option<String>,
    /// The model of its last replica.
    loaded: Option<String>,
    staging: Option<(String, Millis)>,
    highest_epoch: Epoch,
    /// The highest fence token that it has seen.
    fence: u64,
    membership: Option<Membership>,
    /// The membership that it last reported to the store.
    reported: Option<Member>,
}

/// A simulated fabric domain on virtual time.
#[derive(Clone, Debug)]
pub struct FakeSiteDomain {
    domain: DomainId,
    now: Millis,
    boxes: BTreeMap<BoxId, FakeMember>,
    /// Which members have ever been ready, by replica, epoch and list of members.
    ever_ready: BTreeSet<(String, Epoch, Vec<BoxId>, BoxId)>,
    /// Delayed orders, with the time of execution and the fence token.
    delayed: Vec<(Millis, MemberOrder, u64)>,
    /// Descriptions of violated rules of the platform.
    pub violations: Vec<String>,
    /// The longest time for which a replica accepted requests although a member had restarted.
    pub longest_incomplete: Millis,
    /// Whether boxes report when they started.
    reports_starts: bool,
    /// Replicas a member of which has restarted, and when.
    restarted: BTreeMap<(String, Epoch), Millis>,
    boxes_added: usize,
}

impl FakeSiteDomain {
    /// Creates a domain of idle boxes with nothing staged.
    pub fn new(boxes: usize) -> Self {
        let mut domain = Self {
            domain: DomainId::new("hall-d0"),
            now: Millis(0),
            boxes: BTreeMap::new(),
            ever_ready: BTreeSet::new(),
            delayed: Vec::new(),
            violations: Vec::new(),
            longest_incomplete: Millis(0),
            reports_starts: false,
            restarted: BTreeMap::new(),
            boxes_added: 0,
        };
        for _ in 0..boxes {
            domain.add_box();
        }
        domain
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the domain's name.
    pub fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// Adds a box that has nothing staged.
    pub fn add_box(&mut self) {
        let id = BoxId::new(format!("box-{:03}", self.boxes_added));
        self.boxes_added += 1;
        self.boxes.insert(id, self.new_box());
    }

    /// Creates the state of a box that starts now.
    fn new_box(&self) -> FakeMember {
        FakeMember {
            alive: true,
            start_ms: FIRST_START_MS + self.now.0,
            orders_taken: 0,
            disconnected: false,
            disconnected_from_store: false,
            last_heard: self.now,
            staged: None,
            loaded: None,
            staging: None,
            highest_epoch: Epoch(0),
            fence: 0,
            membership: None,
            reported: None,
        }
    }

    /// Has boxes report when they started from now on.
    pub fn report_starts(&mut self) {
        self.reports_starts = true;
    }

    /// Restarts a box under its name without state. With `repeat_last_join` the last join that it had taken is carried
    /// out late, in the new incarnation.
    pub fn restart(&mut self, number: usize, repeat_last_join: bool) {
        let new_box = self.new_box();
        let now = self.now;
        let Some(member) = self.box_mut(number).filter(|member| member.alive) else { return };
        let before =
            std::mem::replace(member, FakeMember { start_ms: new_box.start_ms + 1, ..new_box });
        let Some(membership) = before.membership else { return };
        self.restarted.insert((membership.replica.clone(), membership.epoch), now);
        if let Some(member) = self.box_mut(number).filter(|_| repeat_last_join) {
            member.loaded = before.loaded;
            member.highest_epoch = membership.epoch;
            member.orders_taken = 1;
            member.membership = Some(Membership {
                state: MemberState::Joining,
                due: now + LOADED_JOIN_TIME,
                ..membership
            });
        }
    }

    /// Returns the id under which a box is listed.
    fn id_of(&self, name: &BoxId, member: &FakeMember) -> BoxId {
        if self.reports_starts { name.with_incarnation(member.start_ms) } else { name.clone() }
    }

    fn box_mut(&mut self, number: usize) -> Option<&mut FakeMember> {
        let count = self.boxes.len().max(1);
        self.boxes.values_mut().nth(number % count)
    }

    /// Stops a box for good.
    pub fn kill(&mut self, number: usize) {
        if let Some(member) = self.box_mut(number) {
            member.alive = false;
        }
    }

    /// Partitions a box from the store and from orders, or ends the partition.
    pub fn set_disconnected(&mut self, number: usize, disconnected: bool) {
        if let Some(member) = self.box_mut(number) {
            member.disconnected = disconnected;
        }
    }

    /// Partitions a box from the store alone.
    pub fn disconnect_from_store(&mut self, number: usize) {
        if let Some(member) = self.box_mut(number) {
            member.disconnected_from_store = true;
        }
    }

    /// Ends all partitions.
    pub fn reconnect_all(&mut self) {
        for member in self.boxes.values_mut() {
            member.disconnected = false;
            member.disconnected_from_store = false;
        }
    }

    /// Returns the boxes that are listed.
    pub fn listed(&self) -> Vec<SiteBox> {
        let listed =
            self.boxes.iter().filter(|(_, member)| self.now.since(member.last_heard) < ENTRY_TTL);
        listed.map(|(id, member)| self.entry(id, member)).collect()
    }

    /// Returns the boxes that are not listed any more.
    pub fn departed(&self) -> Vec<SiteBox> {
        let departed =
            self.boxes.iter().filter(|(_, member)| self.now.since(member.last_heard) >= ENTRY_TTL);
        departed.map(|(id, member)| self.entry(id, member)).collect()
    }

    /// Returns the boxes that do not answer probes.
    pub fn silent(&self) -> BTreeSet<BoxId> {
        let silent = self.boxes.iter().filter(|(_, member)| !member.alive || member.disconnected);
        silent.map(|(name, member)| self.id_of(name, member)).collect()
    }

    /// Returns the number of boxes that run.
    pub fn alive_count(&self) -> usize {
        self.boxes.values().filter(|member| member.alive).count()
    }

    /// Returns the number of replicas that serve with all their members.
    pub fn serving_count(&self) -> usize {
        let leaders = self.boxes.values().filter_map(|member| {
            let membership =
                member.membership.as_ref().filter(|membership| membership.rank == 0)?;
            (member.alive && membership.state == MemberState::Open).then_some(membership)
        });
        leaders.filter(|membership| self.is_complete(membership)).count()
    }

    fn entry(&self, id: &BoxId, member: &FakeMember) -> SiteBox {
        SiteBox {
            id: self.id_of(id, member),
            start: if self.reports_starts {
                BoxStart::At(member.start_ms)
            } else {
                BoxStart::Unreported
            },
            orders_taken: member.orders_taken,
            service: ServiceName::new("captions"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneId::new("hall"),
            slots: 26,
            leaving: false,
            cold_remaining: None,
            domain: Some(self.domain.clone()),
            staged: member.staged.iter().cloned().collect(),
            loaded: member.loaded.iter().filter(|_| member.membership.is_some()).cloned().collect(),
            member: member.reported.clone(),
        }
    }

    fn is_complete(&self, membership: &Membership) -> bool {
        let key = (membership.replica.clone(), membership.epoch);
        !self.restarted.contains_key(&key)
            && membership.members.iter().all(|id| {
                let member = self.boxes.get(id).filter(|member| member.alive);
                let current = member.and_then(|member| member.membership.as_ref());
                current.is_some_and(|current| {
                    current.replica == membership.replica && current.epoch == membership.epoch
                })
            })
    }

    /// Advances the virtual time.
    pub fn advance_time(&mut self, span: Millis) {
        self.now = self.now + span;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.delayed.drain(..).partition(|(at, _, _)| *at <= now);
        self.delayed = later;
        for (_, order, fence) in due {
            self.execute(&order, fence);
        }
        let ids: Vec<BoxId> = self.boxes.keys().cloned().collect();
        for id in ids {
            self.advance(&id);
        }
    }

    fn advance(&mut self, id: &BoxId) {
        let now = self.now;
        let Some(mut member) = self.boxes.get(id).cloned() else { return };
        if !member.alive {
            return;
        }
        if let Some((model, at)) = member.staging.clone()
            && at <= now
        {
            member.staged = Some(model);
            member.staging = None;
        }
        if let Some(membership) = member.membership.as_mut() {
            if membership.state == MemberState::Joining && membership.due <= now {
                membership.state = MemberState::Ready;
                let list = membership.members.clone();
                self.ever_ready.insert((
                    membership.replica.clone(),
                    membership.epoch,
                    list,
                    id.clone(),
                ));
            }
            let serves = matches!(membership.state, MemberState::Open | MemberState::Closing);
            let restarted = self.restarted.get(&(membership.replica.clone(), membership.epoch));
            if let Some(since) = restarted.filter(|_| serves && membership.rank == 0) {
                self.longest_incomplete = self.longest_incomplete.max(now.since(*since));
            }
            if serves && self.is_complete(membership) {
                membership.stalled_since = None;
            } else if serves
                && now.since(*membership.stalled_since.get_or_insert(now)) >= STALL_TIMEOUT
            {
                membership.state = MemberState::Broken;
            }
        }
        if !member.disconnected && !member.disconnected_from_store {
            member.last_heard = now;
            member.reported = member.membership.as_ref().map(|membership| Member {
                replica: membership.replica.clone(),
                epoch: membership.epoch,
                rank: membership.rank,
                state: membership.state,
            });
        }
        self.boxes.insert(id.clone(), member);
    }

    /// Sends an order with a fence token to its box. With a delay the order gets no answer and is executed that much
    /// later.
    pub fn order(&mut self, order: &MemberOrder, fence: u64, delay: Option<Millis>) -> OrderEnd {
        let order = &without_incarnations(order);
        let reached = self
            .boxes
            .get(&order.target)
            .is_some_and(|member| member.alive && !member.disconnected);
        if !reached {
            return OrderEnd::Dark;
        }
        if let Some(delay) = delay {
            self.delayed.push((self.now + delay, order.clone(), fence));
            return OrderEnd::Silent;
        }
        self.execute(order, fence)
    }

    fn execute(&mut self, order: &MemberOrder, fence: u64) -> OrderEnd {
        let Some(mut member) = self.boxes.get(&order.target).cloned() else {
            return OrderEnd::Dark;
        };
        if !member.alive {
            return OrderEnd::Dark;
        }
        if fence < member.fence {
            return OrderEnd::Fenced;
        }
        member.fence = fence;
        member.orders_taken += 1;
        let end = match &order.task {
            MemberTask::Join { model, members } => self.join(&mut member, order, model, members),
            MemberTask::Open => self.open(&mut member, order),
            MemberTask::Close => match member.membership.as_mut() {
                Some(membership) if is_for(membership, order) => {
                    membership.state = MemberState::Ready;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Leave => match &member.membership {
                Some(membership) if is_for(membership, order) => {
                    member.membership = None;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Stage { model } => {
                if member.staging.is_some() {
                    return OrderEnd::Unfit;
                }
                member.staging = Some((model.clone(), self.now + WEIGHT_LOAD_TIME));
                OrderEnd::Taken
            }
        };
        self.boxes.insert(order.target.clone(), member);
        end
    }

    fn join(
        &mut self,
        member: &mut FakeMember,
        order: &MemberOrder,
        model: &str,
        members: &[BoxId],
    ) -> OrderEnd {
        let current = member.membership.as_ref().filter(|membership| is_for(membership, order));
        let other_list = current.is_some_and(|membership| membership.members != members);
        if order.epoch < member.highest_epoch || other_list {
            return OrderEnd::Fenced;
        }
        if current.is_some() {
            return OrderEnd::Taken;
        }
        if let Some(left) = &member.membership
            && (left.replica != order.replica || left.epoch != order.epoch)
            && self.is_leader_serving(left)
        {
            self.violations.push(format!(
                "{} joined {} under {} without leaving {} under {}",
                order.target, order.replica, order.epoch, left.replica, left.epoch
            ));
        }
        let join_time = if member.loaded.as_deref() == Some(model) {
            LOADED_JOIN_TIME
        } else if member.staged.as_deref() == Some(model) {
            STAGED_JOIN_TIME
        } else {
            WEIGHT_LOAD_TIME
        };
        member.loaded = Some(model.to_owned());
        member.staged = Some(model.to_owned());
        member.highest_epoch = order.epoch;
        let rank = members.iter().position(|id| *id == order.target).unwrap_or_default();
        member.membership = Some(Membership {
            replica: order.replica.clone(),
            epoch: order.epoch,
            members: members.to_vec(),
            rank: rank as u32,
            state: MemberState::Joining,
            due: self.now + join_time,
            stalled_since: None,
        });
        OrderEnd::Taken
    }

    /// Tells whether the leader of a replica is open or closing, even if the replica is stalled but not yet broken.
    fn is_leader_serving(&self, left: &Membership) -> bool {
        self.boxes.values().filter(|member| member.alive).any(|member| {
            member.membership.as_ref().is_some_and(|membership| {
                membership.replica == left.replica
                    && membership.epoch == left.epoch
                    && membership.rank == 0
                    && matches!(membership.state, MemberState::Open | MemberState::Closing)
            })
        })
    }

    fn open(&mut self, member: &mut FakeMember, order: &MemberOrder) -> OrderEnd {
        let Some(membership) =
            member.membership.as_mut().filter(|membership| is_for(membership, order))
        else {
            return OrderEnd::Unfit;
        };
        if membership.state != MemberState::Ready || membership.rank != 0 {
            return OrderEnd::Unfit;
        }
        let missing = membership.members.iter().find(|id| {
            let list = membership.members.clone();
            let key = (membership.replica.clone(), membership.epoch, list, (*id).clone());
            !self.ever_ready.contains(&key)
        });
        if let Some(id) = missing {
            self.violations
                .push(format!("{} opened although {id} was never ready", membership.replica));
        }
        membership.state = MemberState::Open;
        membership.due = self.now + OPEN_TIME;
        OrderEnd::Taken
    }
}

/// Returns an order as it is sent, which names boxes without their incarnations.
fn without_incarnations(order: &MemberOrder) -> MemberOrder {
    let name = |id: &BoxId| BoxId::new(id.name());
    let mut sent = order.clone();
    sent.target = name(&order.target);
    if let MemberTask::Join { members, .. } = &mut sent.task {
        members.iter_mut().for_each(|id| *id = name(id));
    }
    sent
}

fn is_for(membership: &Membership, order: &MemberOrder) -> bool {
    membership.replica == order.replica && membership.epoch == order.epoch
}
