//! A domain whose boxes follow the published rules of the users' platform, on virtual time.
//!
//! It notes what must never happen: a box that joins while the leader of a replica that it has not
//! left serves, and a replica that serves though a member was never ready.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    BoxId, BoxStart, DomainId, Epoch, Member, MemberOrder, MemberState, MemberTask, Millis,
    OrderEnd, ServiceName, SiteBox, ZoneId,
};

use crate::site::site_box::FIRST_START_MS;

/// How long a box stays listed after it fell silent.
const ENTRY_TTL: Millis = Millis(3_600);

/// How long a replica stands still before it is broken.
const STALL_TIMEOUT: Millis = Millis(4_000);

/// How long a join takes that loads from the host.
const STAGED_JOIN_TIME: Millis = Millis(1_600);

/// How long a join takes of a box whose memory holds the model since its last one.
const LOADED_JOIN_TIME: Millis = Millis(200);

/// How long a load from the weight store takes.
const WEIGHT_LOAD_TIME: Millis = Millis(16_000);

/// How long a replica takes to open.
const OPEN_TIME: Millis = Millis(300);

/// A membership as the box itself knows it.
#[derive(Clone, Debug, PartialEq)]
struct Membership {
    replica: String,
    epoch: Epoch,
    members: Vec<BoxId>,
    rank: u32,
    state: MemberState,
    /// When it is ready, or open.
    due: Millis,
    /// Since when the replica has stood still.
    stalled_since: Option<Millis>,
}

/// A box and its engine.
#[derive(Clone, Debug)]
struct FakeMember {
    alive: bool,
    /// When its life started.
    start_ms: u64,
    /// How many orders it took in it.
    orders_taken: u64,
    /// Cut off from the store and from orders, while requests still reach it.
    disconnected: bool,
    /// Cut off from the store alone, while orders and requests reach it.
    disconnected_from_store: bool,
    /// When it was last heard by the store.
    last_heard: Millis,
    staged: Option<String>,
    /// The model of its last replica.
    loaded: Option<String>,
    staging: Option<(String, Millis)>,
    highest_epoch: Epoch,
    /// The highest fence seen.
    fence: u64,
    membership: Option<Membership>,
    /// What the store last heard.
    reported: Option<Member>,
}

/// A fabric domain on virtual time.
#[derive(Clone, Debug)]
pub struct FakeSiteDomain {
    domain: DomainId,
    now: Millis,
    boxes: BTreeMap<BoxId, FakeMember>,
    /// Which members have ever been ready, by replica, epoch and list.
    ever_ready: BTreeSet<(String, Epoch, Vec<BoxId>, BoxId)>,
    /// Orders that will be carried out later.
    delayed: Vec<(Millis, MemberOrder, u64)>,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// The longest time that a replica took requests though a member had started again.
    pub longest_incomplete: Millis,
    /// Whether boxes tell when they started.
    reports_starts: bool,
    /// Replicas of which a member started again, and since when.
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

    /// Returns the time.
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

    /// A box as it starts now, which holds and knows nothing.
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

    /// Has boxes tell when they started from now on.
    pub fn report_starts(&mut self) {
        self.reports_starts = true;
    }

    /// Lets a box start again under its name, empty; the last join that it took, carried out late, may
    /// reach it in its new life.
    pub fn restart(&mut self, number: usize, last_join_again: bool) {
        let fresh = self.new_box();
        let now = self.now;
        let Some(held) = self.box_mut(number).filter(|held| held.alive) else { return };
        let before = std::mem::replace(held, FakeMember { start_ms: fresh.start_ms + 1, ..fresh });
        let Some(belongs) = before.membership else { return };
        self.restarted.insert((belongs.replica.clone(), belongs.epoch), now);
        if let Some(held) = self.box_mut(number).filter(|_| last_join_again) {
            held.loaded = before.loaded;
            held.highest_epoch = belongs.epoch;
            held.orders_taken = 1;
            held.membership = Some(Membership {
                state: MemberState::Joining,
                due: now + LOADED_JOIN_TIME,
                ..belongs
            });
        }
    }

    /// Returns the id under which a box is listed.
    fn id_of(&self, name: &BoxId, held: &FakeMember) -> BoxId {
        if self.reports_starts { name.with_incarnation(held.start_ms) } else { name.clone() }
    }

    fn box_mut(&mut self, number: usize) -> Option<&mut FakeMember> {
        let count = self.boxes.len().max(1);
        self.boxes.values_mut().nth(number % count)
    }

    /// Lets a box die for good.
    pub fn kill(&mut self, number: usize) {
        if let Some(member) = self.box_mut(number) {
            member.alive = false;
        }
    }

    /// Cuts a box off from the store and from orders, or heals that.
    pub fn set_disconnected(&mut self, number: usize, disconnected: bool) {
        if let Some(member) = self.box_mut(number) {
            member.disconnected = disconnected;
        }
    }

    /// Cuts a box off from the store alone.
    pub fn disconnect_from_store(&mut self, number: usize) {
        if let Some(member) = self.box_mut(number) {
            member.disconnected_from_store = true;
        }
    }

    /// Heals every cut.
    pub fn reconnect_all(&mut self) {
        for member in self.boxes.values_mut() {
            member.disconnected = false;
            member.disconnected_from_store = false;
        }
    }

    /// Returns the boxes that are listed.
    pub fn listed(&self) -> Vec<SiteBox> {
        let listed =
            self.boxes.iter().filter(|(_, held)| self.now.since(held.last_heard) < ENTRY_TTL);
        listed.map(|(id, held)| self.entry(id, held)).collect()
    }

    /// Returns the boxes that are not listed any more.
    pub fn departed(&self) -> Vec<SiteBox> {
        let gone =
            self.boxes.iter().filter(|(_, held)| self.now.since(held.last_heard) >= ENTRY_TTL);
        gone.map(|(id, held)| self.entry(id, held)).collect()
    }

    /// Returns the boxes that do not answer when they are asked.
    pub fn silent(&self) -> BTreeSet<BoxId> {
        let silent = self.boxes.iter().filter(|(_, held)| !held.alive || held.disconnected);
        silent.map(|(name, held)| self.id_of(name, held)).collect()
    }

    /// Counts the boxes that live.
    pub fn alive_count(&self) -> usize {
        self.boxes.values().filter(|held| held.alive).count()
    }

    /// Counts the replicas that serve with all their members.
    pub fn serving_count(&self) -> usize {
        let leaders = self.boxes.values().filter_map(|held| {
            let belongs = held.membership.as_ref().filter(|belongs| belongs.rank == 0)?;
            (held.alive && belongs.state == MemberState::Open).then_some(belongs)
        });
        leaders.filter(|belongs| self.is_complete(belongs)).count()
    }

    fn entry(&self, id: &BoxId, held: &FakeMember) -> SiteBox {
        SiteBox {
            id: self.id_of(id, held),
            start: if self.reports_starts {
                BoxStart::At(held.start_ms)
            } else {
                BoxStart::Unreported
            },
            orders_taken: held.orders_taken,
            service: ServiceName::new("captions"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneId::new("hall"),
            slots: 26,
            leaving: false,
            cold_remaining: None,
            domain: Some(self.domain.clone()),
            staged: held.staged.iter().cloned().collect(),
            loaded: held.loaded.iter().filter(|_| held.membership.is_some()).cloned().collect(),
            member: held.reported.clone(),
        }
    }

    fn is_complete(&self, belongs: &Membership) -> bool {
        let key = (belongs.replica.clone(), belongs.epoch);
        !self.restarted.contains_key(&key)
            && belongs.members.iter().all(|id| {
                let member = self.boxes.get(id).filter(|member| member.alive);
                let held = member.and_then(|member| member.membership.as_ref());
                held.is_some_and(|held| {
                    held.replica == belongs.replica && held.epoch == belongs.epoch
                })
            })
    }

    /// Lets time pass.
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
        let Some(mut held) = self.boxes.get(id).cloned() else { return };
        if !held.alive {
            return;
        }
        if let Some((model, at)) = held.staging.clone()
            && at <= now
        {
            held.staged = Some(model);
            held.staging = None;
        }
        if let Some(belongs) = held.membership.as_mut() {
            if belongs.state == MemberState::Joining && belongs.due <= now {
                belongs.state = MemberState::Ready;
                let list = belongs.members.clone();
                self.ever_ready.insert((belongs.replica.clone(), belongs.epoch, list, id.clone()));
            }
            let serves = matches!(belongs.state, MemberState::Open | MemberState::Closing);
            let torn = self.restarted.get(&(belongs.replica.clone(), belongs.epoch));
            if let Some(since) = torn.filter(|_| serves && belongs.rank == 0) {
                self.longest_incomplete = self.longest_incomplete.max(now.since(*since));
            }
            if serves && self.is_complete(belongs) {
                belongs.stalled_since = None;
            } else if serves
                && now.since(*belongs.stalled_since.get_or_insert(now)) >= STALL_TIMEOUT
            {
                belongs.state = MemberState::Broken;
            }
        }
        if !held.disconnected && !held.disconnected_from_store {
            held.last_heard = now;
            held.reported = held.membership.as_ref().map(|belongs| Member {
                replica: belongs.replica.clone(),
                epoch: belongs.epoch,
                rank: belongs.rank,
                state: belongs.state,
            });
        }
        self.boxes.insert(id.clone(), held);
    }

    /// Takes an order under a fence; with a delay it gets no answer and is carried out that much
    /// later.
    pub fn order(&mut self, order: &MemberOrder, fence: u64, delay: Option<Millis>) -> OrderEnd {
        let order = &without_incarnations(order);
        let reached =
            self.boxes.get(&order.target).is_some_and(|held| held.alive && !held.disconnected);
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
        let Some(mut held) = self.boxes.get(&order.target).cloned() else {
            return OrderEnd::Dark;
        };
        if !held.alive {
            return OrderEnd::Dark;
        }
        if fence < held.fence {
            return OrderEnd::Fenced;
        }
        held.fence = fence;
        held.orders_taken += 1;
        let end = match &order.task {
            MemberTask::Join { model, members } => self.join(&mut held, order, model, members),
            MemberTask::Open => self.open(&mut held, order),
            MemberTask::Close => match held.membership.as_mut() {
                Some(belongs) if is_for(belongs, order) => {
                    belongs.state = MemberState::Ready;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Leave => match &held.membership {
                Some(belongs) if is_for(belongs, order) => {
                    held.membership = None;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Stage { model } => {
                if held.staging.is_some() {
                    return OrderEnd::Unfit;
                }
                held.staging = Some((model.clone(), self.now + WEIGHT_LOAD_TIME));
                OrderEnd::Taken
            }
        };
        self.boxes.insert(order.target.clone(), held);
        end
    }

    fn join(
        &mut self,
        held: &mut FakeMember,
        order: &MemberOrder,
        model: &str,
        members: &[BoxId],
    ) -> OrderEnd {
        let same = held.membership.as_ref().filter(|belongs| is_for(belongs, order));
        let other_list = same.is_some_and(|belongs| belongs.members != members);
        if order.epoch < held.highest_epoch || other_list {
            return OrderEnd::Fenced;
        }
        if same.is_some() {
            return OrderEnd::Taken;
        }
        if let Some(left) = &held.membership
            && (left.replica != order.replica || left.epoch != order.epoch)
            && self.is_leader_serving(left)
        {
            self.violations.push(format!(
                "{} joined {} under {} out of {} under {}",
                order.target, order.replica, order.epoch, left.replica, left.epoch
            ));
        }
        let took = if held.loaded.as_deref() == Some(model) {
            LOADED_JOIN_TIME
        } else if held.staged.as_deref() == Some(model) {
            STAGED_JOIN_TIME
        } else {
            WEIGHT_LOAD_TIME
        };
        held.loaded = Some(model.to_owned());
        held.staged = Some(model.to_owned());
        held.highest_epoch = order.epoch;
        let rank = members.iter().position(|id| *id == order.target).unwrap_or_default();
        held.membership = Some(Membership {
            replica: order.replica.clone(),
            epoch: order.epoch,
            members: members.to_vec(),
            rank: rank as u32,
            state: MemberState::Joining,
            due: self.now + took,
            stalled_since: None,
        });
        OrderEnd::Taken
    }

    /// Tells whether the leader of a replica is open or closing, or stands still unbroken.
    fn is_leader_serving(&self, left: &Membership) -> bool {
        self.boxes.values().filter(|held| held.alive).any(|held| {
            held.membership.as_ref().is_some_and(|belongs| {
                belongs.replica == left.replica
                    && belongs.epoch == left.epoch
                    && belongs.rank == 0
                    && matches!(belongs.state, MemberState::Open | MemberState::Closing)
            })
        })
    }

    fn open(&mut self, held: &mut FakeMember, order: &MemberOrder) -> OrderEnd {
        let Some(belongs) = held.membership.as_mut().filter(|belongs| is_for(belongs, order))
        else {
            return OrderEnd::Unfit;
        };
        if belongs.state != MemberState::Ready || belongs.rank != 0 {
            return OrderEnd::Unfit;
        }
        let never = belongs.members.iter().find(|id| {
            let list = belongs.members.clone();
            let key = (belongs.replica.clone(), belongs.epoch, list, (*id).clone());
            !self.ever_ready.contains(&key)
        });
        if let Some(id) = never {
            self.violations.push(format!("{} opened though {id} was never ready", belongs.replica));
        }
        belongs.state = MemberState::Open;
        belongs.due = self.now + OPEN_TIME;
        OrderEnd::Taken
    }
}

/// Returns an order as the wire carries it, which names boxes and no lives.
fn without_incarnations(order: &MemberOrder) -> MemberOrder {
    let name = |id: &BoxId| BoxId::new(id.name());
    let mut sent = order.clone();
    sent.target = name(&order.target);
    if let MemberTask::Join { members, .. } = &mut sent.task {
        members.iter_mut().for_each(|id| *id = name(id));
    }
    sent
}

fn is_for(belongs: &Membership, order: &MemberOrder) -> bool {
    belongs.replica == order.replica && belongs.epoch == order.epoch
}
