//! A domain whose boxes follow the published rules of the users' platform, on virtual time.
//!
//! It notes what must never happen: a box that joins while the leader of a replica that it has not
//! left serves, and a replica that serves though a member was never ready.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    BoxId, BoxStart, DomainId, Epoch, Member, MemberOrder, MemberState, MemberTask, Millis,
    OrderEnd, ServiceName, SiteBox, ZoneId,
};

use crate::site::site_box::FIRST_START;

/// How long a box stays listed after it fell silent.
const LISTED_FOR: Millis = Millis(3_600);

/// How long a replica stands still before it is broken.
const STALL: Millis = Millis(4_000);

/// How long a join takes that loads from the host.
const WARM: Millis = Millis(1_600);

/// How long a join takes of a box whose memory holds the model since its last one.
const AGAIN: Millis = Millis(200);

/// How long a load from the weight store takes.
const LOAD: Millis = Millis(16_000);

/// How long a replica takes to open.
const FORM: Millis = Millis(300);

/// A membership as the box itself knows it.
#[derive(Clone, Debug, PartialEq)]
struct Belongs {
    replica: String,
    epoch: Epoch,
    members: Vec<BoxId>,
    rank: u32,
    state: MemberState,
    /// When it is ready, or open.
    due: Millis,
    /// Since when the replica has stood still.
    still: Option<Millis>,
}

/// A box and its engine.
#[derive(Clone, Debug)]
struct FakeMember {
    alive: bool,
    /// When its life started.
    start: u64,
    /// How many orders it took in it.
    taken: u64,
    /// Cut off from the store and from orders, while requests still reach it.
    cut: bool,
    /// Cut off from the store alone, while orders and requests reach it.
    unheard: bool,
    /// When it was last heard by the store.
    heard: Millis,
    staged: Option<String>,
    /// The model of its last replica.
    loaded: Option<String>,
    staging: Option<(String, Millis)>,
    highest: Epoch,
    /// The highest fence seen.
    fence: u64,
    belongs: Option<Belongs>,
    /// What the store last heard.
    told: Option<Member>,
}

/// A fabric domain on virtual time.
#[derive(Clone, Debug)]
pub struct FakeSiteDomain {
    domain: DomainId,
    now: Millis,
    boxes: BTreeMap<BoxId, FakeMember>,
    /// Which members have ever been ready, by replica, epoch and list.
    ready: BTreeSet<(String, Epoch, Vec<BoxId>, BoxId)>,
    /// Orders that will be carried out later.
    late: Vec<(Millis, MemberOrder, u64)>,
    /// What must never happen and did.
    pub faults: Vec<String>,
    /// The longest time that a replica took requests though a member had started again.
    pub longest_torn: Millis,
    /// Whether boxes tell when they started.
    tells_starts: bool,
    /// Replicas of which a member started again, and since when.
    torn: BTreeMap<(String, Epoch), Millis>,
    made: usize,
}

impl FakeSiteDomain {
    /// Creates a domain of idle boxes with nothing staged.
    pub fn new(boxes: usize) -> Self {
        let mut domain = Self {
            domain: DomainId::new("hall-d0"),
            now: Millis(0),
            boxes: BTreeMap::new(),
            ready: BTreeSet::new(),
            late: Vec::new(),
            faults: Vec::new(),
            longest_torn: Millis(0),
            tells_starts: false,
            torn: BTreeMap::new(),
            made: 0,
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
        let id = BoxId::new(format!("box-{:03}", self.made));
        self.made += 1;
        self.boxes.insert(id, self.fresh());
    }

    /// A box as it starts now, which holds and knows nothing.
    fn fresh(&self) -> FakeMember {
        FakeMember {
            alive: true,
            start: FIRST_START + self.now.0,
            taken: 0,
            cut: false,
            unheard: false,
            heard: self.now,
            staged: None,
            loaded: None,
            staging: None,
            highest: Epoch(0),
            fence: 0,
            belongs: None,
            told: None,
        }
    }

    /// Has boxes tell when they started from now on.
    pub fn tell_starts(&mut self) {
        self.tells_starts = true;
    }

    /// Lets a box start again under its name, empty; the last join that it took, carried out late, may
    /// reach it in its new life.
    pub fn restart(&mut self, number: usize, last_join_again: bool) {
        let fresh = self.fresh();
        let now = self.now;
        let Some(held) = self.nth(number).filter(|held| held.alive) else { return };
        let before = std::mem::replace(held, FakeMember { start: fresh.start + 1, ..fresh });
        let Some(belongs) = before.belongs else { return };
        self.torn.insert((belongs.replica.clone(), belongs.epoch), now);
        if let Some(held) = self.nth(number).filter(|_| last_join_again) {
            held.loaded = before.loaded;
            held.highest = belongs.epoch;
            held.taken = 1;
            held.belongs =
                Some(Belongs { state: MemberState::Joining, due: now + AGAIN, ..belongs });
        }
    }

    /// Returns the id under which a box is listed.
    fn id_of(&self, name: &BoxId, held: &FakeMember) -> BoxId {
        if self.tells_starts { name.with_incarnation(held.start) } else { name.clone() }
    }

    fn nth(&mut self, number: usize) -> Option<&mut FakeMember> {
        let count = self.boxes.len().max(1);
        self.boxes.values_mut().nth(number % count)
    }

    /// Lets a box die for good.
    pub fn kill(&mut self, number: usize) {
        if let Some(member) = self.nth(number) {
            member.alive = false;
        }
    }

    /// Cuts a box off from the store and from orders, or heals that.
    pub fn cut(&mut self, number: usize, cut: bool) {
        if let Some(member) = self.nth(number) {
            member.cut = cut;
        }
    }

    /// Cuts a box off from the store alone.
    pub fn unhear(&mut self, number: usize) {
        if let Some(member) = self.nth(number) {
            member.unheard = true;
        }
    }

    /// Heals every cut.
    pub fn heal(&mut self) {
        for member in self.boxes.values_mut() {
            member.cut = false;
            member.unheard = false;
        }
    }

    /// Returns the boxes that are listed.
    pub fn listed(&self) -> Vec<SiteBox> {
        let listed = self.boxes.iter().filter(|(_, held)| self.now.since(held.heard) < LISTED_FOR);
        listed.map(|(id, held)| self.entry(id, held)).collect()
    }

    /// Returns the boxes that are not listed any more.
    pub fn departed(&self) -> Vec<SiteBox> {
        let gone = self.boxes.iter().filter(|(_, held)| self.now.since(held.heard) >= LISTED_FOR);
        gone.map(|(id, held)| self.entry(id, held)).collect()
    }

    /// Returns the boxes that do not answer when they are asked.
    pub fn silent(&self) -> BTreeSet<BoxId> {
        let silent = self.boxes.iter().filter(|(_, held)| !held.alive || held.cut);
        silent.map(|(name, held)| self.id_of(name, held)).collect()
    }

    /// Counts the boxes that live.
    pub fn alive(&self) -> usize {
        self.boxes.values().filter(|held| held.alive).count()
    }

    /// Counts the replicas that serve with all their members.
    pub fn serving(&self) -> usize {
        let leaders = self.boxes.values().filter_map(|held| {
            let belongs = held.belongs.as_ref().filter(|belongs| belongs.rank == 0)?;
            (held.alive && belongs.state == MemberState::Open).then_some(belongs)
        });
        leaders.filter(|belongs| self.is_whole(belongs)).count()
    }

    fn entry(&self, id: &BoxId, held: &FakeMember) -> SiteBox {
        SiteBox {
            id: self.id_of(id, held),
            start: if self.tells_starts { BoxStart::At(held.start) } else { BoxStart::Unreported },
            orders_taken: held.taken,
            service: ServiceName::new("captions"),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneId::new("hall"),
            slots: 26,
            leaving: false,
            cold_remaining: None,
            domain: Some(self.domain.clone()),
            staged: held.staged.iter().cloned().collect(),
            loaded: held.loaded.iter().filter(|_| held.belongs.is_some()).cloned().collect(),
            member: held.told.clone(),
        }
    }

    fn is_whole(&self, belongs: &Belongs) -> bool {
        let key = (belongs.replica.clone(), belongs.epoch);
        !self.torn.contains_key(&key)
            && belongs.members.iter().all(|id| {
                let member = self.boxes.get(id).filter(|member| member.alive);
                let held = member.and_then(|member| member.belongs.as_ref());
                held.is_some_and(|held| {
                    held.replica == belongs.replica && held.epoch == belongs.epoch
                })
            })
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|(at, _, _)| *at <= now);
        self.late = later;
        for (_, order, fence) in due {
            self.carry_out(&order, fence);
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
        if let Some(belongs) = held.belongs.as_mut() {
            if belongs.state == MemberState::Joining && belongs.due <= now {
                belongs.state = MemberState::Ready;
                let list = belongs.members.clone();
                self.ready.insert((belongs.replica.clone(), belongs.epoch, list, id.clone()));
            }
            let serves = matches!(belongs.state, MemberState::Open | MemberState::Closing);
            let torn = self.torn.get(&(belongs.replica.clone(), belongs.epoch));
            if let Some(since) = torn.filter(|_| serves && belongs.rank == 0) {
                self.longest_torn = self.longest_torn.max(now.since(*since));
            }
            if serves && self.is_whole(belongs) {
                belongs.still = None;
            } else if serves && now.since(*belongs.still.get_or_insert(now)) >= STALL {
                belongs.state = MemberState::Broken;
            }
        }
        if !held.cut && !held.unheard {
            held.heard = now;
            held.told = held.belongs.as_ref().map(|belongs| Member {
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
        let order = &as_sent(order);
        let reached = self.boxes.get(&order.target).is_some_and(|held| held.alive && !held.cut);
        if !reached {
            return OrderEnd::Dark;
        }
        if let Some(delay) = delay {
            self.late.push((self.now + delay, order.clone(), fence));
            return OrderEnd::Silent;
        }
        self.carry_out(order, fence)
    }

    fn carry_out(&mut self, order: &MemberOrder, fence: u64) -> OrderEnd {
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
        held.taken += 1;
        let end = match &order.task {
            MemberTask::Join { model, members } => self.join(&mut held, order, model, members),
            MemberTask::Open => self.open(&mut held, order),
            MemberTask::Close => match held.belongs.as_mut() {
                Some(belongs) if is_meant(belongs, order) => {
                    belongs.state = MemberState::Ready;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Leave => match &held.belongs {
                Some(belongs) if is_meant(belongs, order) => {
                    held.belongs = None;
                    OrderEnd::Taken
                }
                _ => OrderEnd::Unfit,
            },
            MemberTask::Stage { model } => {
                if held.staging.is_some() {
                    return OrderEnd::Unfit;
                }
                held.staging = Some((model.clone(), self.now + LOAD));
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
        let same = held.belongs.as_ref().filter(|belongs| is_meant(belongs, order));
        let other_list = same.is_some_and(|belongs| belongs.members != members);
        if order.epoch < held.highest || other_list {
            return OrderEnd::Fenced;
        }
        if same.is_some() {
            return OrderEnd::Taken;
        }
        if let Some(left) = &held.belongs
            && (left.replica != order.replica || left.epoch != order.epoch)
            && self.leader_serves(left)
        {
            self.faults.push(format!(
                "{} joined {} under {} out of {} under {}",
                order.target, order.replica, order.epoch, left.replica, left.epoch
            ));
        }
        let took = if held.loaded.as_deref() == Some(model) {
            AGAIN
        } else if held.staged.as_deref() == Some(model) {
            WARM
        } else {
            LOAD
        };
        held.loaded = Some(model.to_owned());
        held.staged = Some(model.to_owned());
        held.highest = order.epoch;
        let rank = members.iter().position(|id| *id == order.target).unwrap_or_default();
        held.belongs = Some(Belongs {
            replica: order.replica.clone(),
            epoch: order.epoch,
            members: members.to_vec(),
            rank: rank as u32,
            state: MemberState::Joining,
            due: self.now + took,
            still: None,
        });
        OrderEnd::Taken
    }

    /// Tells whether the leader of a replica is open or closing, or stands still unbroken.
    fn leader_serves(&self, left: &Belongs) -> bool {
        self.boxes.values().filter(|held| held.alive).any(|held| {
            held.belongs.as_ref().is_some_and(|belongs| {
                belongs.replica == left.replica
                    && belongs.epoch == left.epoch
                    && belongs.rank == 0
                    && matches!(belongs.state, MemberState::Open | MemberState::Closing)
            })
        })
    }

    fn open(&mut self, held: &mut FakeMember, order: &MemberOrder) -> OrderEnd {
        let Some(belongs) = held.belongs.as_mut().filter(|belongs| is_meant(belongs, order)) else {
            return OrderEnd::Unfit;
        };
        if belongs.state != MemberState::Ready || belongs.rank != 0 {
            return OrderEnd::Unfit;
        }
        let never = belongs.members.iter().find(|id| {
            let list = belongs.members.clone();
            let key = (belongs.replica.clone(), belongs.epoch, list, (*id).clone());
            !self.ready.contains(&key)
        });
        if let Some(id) = never {
            self.faults.push(format!("{} opened though {id} was never ready", belongs.replica));
        }
        belongs.state = MemberState::Open;
        belongs.due = self.now + FORM;
        OrderEnd::Taken
    }
}

/// Returns an order as the wire carries it, which names boxes and no lives.
fn as_sent(order: &MemberOrder) -> MemberOrder {
    let name = |id: &BoxId| BoxId::new(id.name());
    let mut sent = order.clone();
    sent.target = name(&order.target);
    if let MemberTask::Join { members, .. } = &mut sent.task {
        members.iter_mut().for_each(|id| *id = name(id));
    }
    sent
}

fn is_meant(belongs: &Belongs, order: &MemberOrder) -> bool {
    belongs.replica == order.replica && belongs.epoch == order.epoch
}
