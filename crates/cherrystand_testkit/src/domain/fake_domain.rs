//! One fabric domain on virtual time: boxes, the record's compare-and-swap, and controllers that
//! can be paused, cut off or raced.
//!
//! It is a fake at the controller's interface: it models one record and a handful of boxes, no
//! network and no daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, BoxInfo, Controller, ControllerInput, DesiredReplica, DomainId, DomainRecord,
    EngineState, Epoch, Fleet, Millis, Observation, Observations, Order, Phase, RepairPolicy,
    ReplicaId, Revision, ZoneId,
};

use crate::FakeBox;

/// The time from one step of the domain to the next.
pub const DOMAIN_STEP: Millis = Millis(500);

/// Describes how a fake domain's boxes and weight store behave.
#[derive(Clone, Copy, Debug)]
pub struct DomainSetup {
    /// How many boxes it has.
    pub boxes: u32,
    /// Whether their engines refuse orders of an old epoch.
    pub checks_orders: bool,
    /// How long fetching one box's weights takes.
    pub load: Millis,
    /// How long a box with its weights in memory takes to join.
    pub rejoin: Millis,
    /// How many boxes the weight store serves at once.
    pub store_slots: usize,
}

impl Default for DomainSetup {
    fn default() -> Self {
        Self {
            boxes: 10,
            checks_orders: true,
            load: Millis(4_000),
            rejoin: Millis(500),
            store_slots: 8,
        }
    }
}

/// A write on its way to the record.
#[derive(Clone, Debug)]
struct PendingWrite {
    expected: Revision,
    record: DomainRecord,
}

/// One controller and its possibly stale knowledge.
#[derive(Clone, Debug)]
pub struct FakeController {
    controller: Controller,
    known_record: (Revision, DomainRecord),
    observations: Observations,
    /// Whether it does nothing.
    pub is_paused: bool,
    /// Whether it reaches neither boxes nor the record.
    pub is_partitioned: bool,
    pending_writes: Vec<PendingWrite>,
    pending_orders: Vec<Order>,
}

/// Counts what the users measure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Losses {
    /// Seconds in which a wanted replica could not serve.
    pub down_secs: f64,
    /// Seconds in which a healthy box stood idle since its replica was broken or half-formed.
    pub stranded_secs: f64,
}

/// A fabric domain with its controllers.
#[derive(Clone, Debug)]
pub struct FakeDomain {
    /// The time.
    pub now: Millis,
    /// The boxes.
    pub boxes: BTreeMap<BoxId, FakeBox>,
    /// The record as it stands.
    pub record: DomainRecord,
    /// Its revision.
    pub revision: Revision,
    /// The controllers.
    pub controllers: Vec<FakeController>,
    /// What is asked for.
    pub desired: Vec<DesiredReplica>,
    /// Whether the record's service is down.
    pub service_down: bool,
    /// How many of the next writes take effect without an answer.
    pub lose_answers: u32,
    /// How many of the next writes take effect a while later.
    pub delay_writes: u32,
    /// Boxes that the list marks as leaving.
    pub leaving: Vec<BoxId>,
    /// What was lost so far.
    pub losses: Losses,
    /// How many writes took effect.
    pub writes: u64,
    /// How many orders were sent.
    pub orders: u64,
    setup: DomainSetup,
    inventory: (Vec<BoxId>, Fleet),
}

impl FakeDomain {
    /// Creates a domain with one controller for each policy given.
    pub fn new(setup: DomainSetup, policies: &[RepairPolicy]) -> Self {
        let record = DomainRecord::empty(DomainId::new("d"));
        let names = (0..setup.boxes).map(|number| BoxId::new(format!("b{number:02}")));
        let boxes = names.map(|id| (id, FakeBox::new(setup.checks_orders))).collect();
        let controllers = policies.iter().map(|policy| FakeController {
            controller: Controller::new(*policy),
            known_record: (Revision::NONE, record.clone()),
            observations: Observations::new(),
            is_paused: false,
            is_partitioned: false,
            pending_writes: Vec::new(),
            pending_orders: Vec::new(),
        });
        Self {
            now: Millis(10_000),
            boxes,
            controllers: controllers.collect(),
            record,
            revision: Revision::NONE,
            desired: Vec::new(),
            service_down: false,
            lose_answers: 0,
            delay_writes: 0,
            leaving: Vec::new(),
            losses: Losses::default(),
            writes: 0,
            orders: 0,
            setup,
            inventory: (vec![BoxId::new("none")], Fleet::default()),
        }
    }

    /// Lists the boxes anew where those that will leave have changed.
    fn refresh_inventory(&mut self) {
        if self.inventory.0 != self.leaving {
            self.inventory = (self.leaving.clone(), self.fleet());
        }
    }

    fn fleet(&self) -> Fleet {
        let info = |(number, id): (usize, &BoxId)| BoxInfo {
            id: id.clone(),
            domain: self.record.domain.clone(),
            zone: ZoneId::new("z"),
            address: SocketAddr::from(([127, 0, 0, 1], number as u16 + 1)),
            accelerators: 1,
            leaving: self.leaving.contains(id),
            checks_orders: self.setup.checks_orders,
        };
        Fleet::new(self.boxes.keys().enumerate().map(info))
    }

    /// Goes one step on: boxes work, then each controller observes, decides, writes and orders.
    pub fn step(&mut self) {
        self.now = self.now + DOMAIN_STEP;
        self.run_boxes();
        for index in 0..self.controllers.len() {
            self.run_controller(index);
        }
        self.count_losses();
    }

    /// Goes on for a while.
    pub fn run_for(&mut self, span: Millis) {
        for _ in 0..span.0 / DOMAIN_STEP.0 {
            self.step();
        }
    }

    /// Takes a box down; it comes back after a while, or never.
    pub fn kill(&mut self, id: &BoxId, restart_after: Option<Millis>) {
        let restarts_at = restart_after.map(|span| self.now + span);
        if let Some(fake) = self.boxes.get_mut(id) {
            fake.kill(restarts_at);
        }
    }

    /// Lets what a paused controller had on its way arrive, and the controller go on.
    pub fn resume(&mut self, index: usize) {
        let Some(controller) = self.controllers.get_mut(index) else {
            return;
        };
        controller.is_paused = false;
        let orders = std::mem::take(&mut controller.pending_orders);
        let writes = std::mem::take(&mut controller.pending_writes);
        for write in writes {
            self.swap(&write);
        }
        for order in orders {
            self.deliver(&order);
        }
    }

    /// Pauses a controller between its decision and its effects: they arrive when it goes on.
    pub fn pause_before_effects(&mut self, index: usize) {
        if self.controllers.get(index).is_none_or(|controller| controller.is_paused) {
            return;
        }
        self.observe(index);
        let (write, orders) = self.decide(index);
        let controller = &mut self.controllers[index];
        controller.is_paused = true;
        controller.pending_writes.extend(write);
        controller.pending_orders.extend(orders);
    }

    /// Tells whether a replica can truly serve: every member runs and is ready for its epoch.
    pub fn is_serving(&self, replica: &ReplicaId) -> bool {
        let Some(held) = self.record.replicas.get(replica) else {
            return false;
        };
        let ready = |id: &BoxId| {
            let fake = &self.boxes[id];
            fake.is_running && fake.epoch == held.epoch && fake.state == EngineState::Ready
        };
        held.phase == Phase::Ready && held.boxes.iter().all(ready)
    }

    fn run_boxes(&mut self) {
        for fake in self.boxes.values_mut() {
            fake.restart_if_due(self.now);
        }
        let mut slots = self.setup.store_slots;
        for fake in self.boxes.values_mut() {
            if fake.is_fetching_weights() {
                if slots == 0 {
                    continue;
                }
                slots -= 1;
            }
            fake.advance_load(DOMAIN_STEP);
        }
        self.break_incomplete_replicas();
    }

    /// A replica that was formed comes apart at its leader when a member is gone.
    fn break_incomplete_replicas(&mut self) {
        for held in self.record.replicas.values() {
            let gone = |id: &BoxId| {
                let fake = &self.boxes[id];
                !fake.is_running || fake.epoch != held.epoch
            };
            let is_broken = held.phase == Phase::Ready && held.boxes.iter().any(gone);
            let leader = held.boxes.first().and_then(|id| self.boxes.get_mut(id));
            if let Some(leader) = leader.filter(|_| is_broken)
                && leader.epoch == held.epoch
            {
                leader.state = EngineState::Broken;
                leader.in_flight = 0;
            }
        }
    }

    fn run_controller(&mut self, index: usize) {
        if self.controllers[index].is_paused {
            return;
        }
        self.observe(index);
        let (write, orders) = self.decide(index);
        if self.controllers[index].is_partitioned {
            return;
        }
        for order in orders {
            self.deliver(&order);
        }
        if let Some(write) = write {
            self.write(index, write);
        }
    }

    /// Reads the boxes and the record, as far as the controller reaches them.
    fn observe(&mut self, index: usize) {
        let is_partitioned = self.controllers[index].is_partitioned;
        let now = self.now;
        for (id, fake) in &self.boxes {
            let first = Observation { last_heard: now, report: None };
            let observations = &mut self.controllers[index].observations;
            let observation = observations.entry(id.clone()).or_insert(first);
            if fake.is_running && !is_partitioned && fake.unreachable_until <= now {
                observation.last_heard = now;
                observation.report = Some(fake.report());
            }
        }
        if !is_partitioned && !self.service_down {
            self.controllers[index].known_record = (self.revision, self.record.clone());
        }
    }

    fn decide(&mut self, index: usize) -> (Option<PendingWrite>, Vec<Order>) {
        self.refresh_inventory();
        let fleet = &self.inventory.1;
        let controller = &mut self.controllers[index];
        let (expected, record) = controller.known_record.clone();
        let step = controller.controller.step(ControllerInput {
            record: &record,
            desired: &self.desired,
            fleet,
            observations: &controller.observations,
            now: self.now,
            unix_secs: self.now.0 / 1_000,
        });
        (step.write.map(|record| PendingWrite { expected, record }), step.orders)
    }

    fn write(&mut self, index: usize, write: PendingWrite) {
        if self.service_down {
            return;
        }
        if self.delay_writes > 0 {
            self.delay_writes -= 1;
            self.controllers[index].pending_writes.push(write);
            return;
        }
        let pending_writes = std::mem::take(&mut self.controllers[index].pending_writes);
        let done = self.swap(&write);
        for pending_write in pending_writes {
            self.swap(&pending_write);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
        } else if done {
            self.controllers[index].known_record = (self.revision, self.record.clone());
        }
    }

    fn swap(&mut self, write: &PendingWrite) -> bool {
        let fits = write.expected == self.revision;
        if fits {
            self.revision = Revision::new(self.revision.number() + 1);
            self.record = write.record.clone();
            self.writes += 1;
        }
        fits
    }

    fn deliver(&mut self, order: &Order) {
        self.orders += 1;
        if let Some(fake) = self.boxes.get_mut(&order.target) {
            fake.execute_order(order, self.setup.load, self.setup.rejoin);
        }
    }

    fn count_losses(&mut self) {
        let step = DOMAIN_STEP.as_secs_f64();
        for desired in &self.desired {
            if self.is_serving(&desired.replica) {
                continue;
            }
            self.losses.down_secs += step;
            if let Some(held) = self.record.replicas.get(&desired.replica) {
                let healthy = held.boxes.iter().filter(|id| self.boxes[*id].is_running).count();
                self.losses.stranded_secs += step * healthy as f64;
            }
        }
    }
}

/// Returns the epochs that engines act on, with the replica of each.
pub fn epochs_in_use(domain: &FakeDomain) -> Vec<(Epoch, ReplicaId)> {
    let acting = domain.boxes.values().filter(|fake| fake.is_running && fake.epoch > Epoch(0));
    acting.filter_map(|fake| Some((fake.epoch, fake.replica.clone()?))).collect()
}
