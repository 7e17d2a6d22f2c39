//! One fabric domain in virtual time: boxes, a record that is written by compare-and-swap, and
//! controllers that can be paused, partitioned or run at the same time.
//!
//! This fake replaces what is outside the controller's interface. It models one record and a few
//! boxes, but no network and no daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, BoxInfo, Controller, ControllerInput, DesiredReplica, DomainId, DomainRecord,
    EngineState, Epoch, Fleet, Millis, Observation, Observations, Order, Phase, RepairPolicy,
    ReplicaId, Revision, ZoneId,
};

use crate::FakeBox;

/// The time between two steps of the domain.
pub const DOMAIN_STEP: Millis = Millis(500);

/// The setup of a fake domain's boxes and weight store.
#[derive(Clone, Copy, Debug)]
pub struct DomainSetup {
    /// The number of boxes.
    pub boxes: u32,
    /// Whether the engines refuse orders with an epoch lower than the highest that they have seen.
    pub checks_orders: bool,
    /// How long fetching the weights of one box takes.
    pub load: Millis,
    /// How long a box with its weights in memory takes to join.
    pub rejoin: Millis,
    /// The number of boxes that the weight store serves at the same time.
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

/// A write that has not yet reached the record.
#[derive(Clone, Debug)]
struct PendingWrite {
    expected: Revision,
    record: DomainRecord,
}

/// One controller with its view of the record and the boxes, which may be stale.
#[derive(Clone, Debug)]
pub struct FakeController {
    controller: Controller,
    known_record: (Revision, DomainRecord),
    observations: Observations,
    /// Whether the controller is paused and makes no decisions.
    pub is_paused: bool,
    /// Whether the controller can reach neither the boxes nor the record.
    pub is_partitioned: bool,
    pending_writes: Vec<PendingWrite>,
    pending_orders: Vec<Order>,
}

/// The losses that the users measure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Losses {
    /// The time in which a desired replica could not serve, in seconds, summed over replicas.
    pub down_secs: f64,
    /// The time in which a healthy box was idle because its replica was broken or not yet formed,
    /// in seconds, summed over boxes.
    pub stranded_secs: f64,
}

/// A fabric domain and its controllers.
#[derive(Clone, Debug)]
pub struct FakeDomain {
    /// The current virtual time.
    pub now: Millis,
    /// The boxes.
    pub boxes: BTreeMap<BoxId, FakeBox>,
    /// The current record.
    pub record: DomainRecord,
    /// The revision of the current record.
    pub revision: Revision,
    /// The controllers.
    pub controllers: Vec<FakeController>,
    /// The desired replicas.
    pub desired: Vec<DesiredReplica>,
    /// Whether the service that stores the record is down.
    pub service_down: bool,
    /// The number of next writes that take effect but are not answered.
    pub lose_answers: u32,
    /// The number of next writes that are delayed: they take effect right after the next write of
    /// the same controller that is not delayed, or when the controller resumes.
    pub delay_writes: u32,
    /// The boxes that the inventory marks as leaving.
    pub leaving: Vec<BoxId>,
    /// The losses so far.
    pub losses: Losses,
    /// The number of writes that took effect.
    pub writes: u64,
    /// The number of orders sent.
    pub orders: u64,
    setup: DomainSetup,
    inventory: (Vec<BoxId>, Fleet),
}

impl FakeDomain {
    /// Creates a domain with one controller for each policy.
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

    /// Builds the inventory again if the leaving boxes have changed.
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

    /// Advances by one step: the boxes first, then each controller in turn, which observes, decides,
    /// sends its orders and writes the record.
    pub fn step(&mut self) {
        self.now = self.now + DOMAIN_STEP;
        self.run_boxes();
        for index in 0..self.controllers.len() {
            self.run_controller(index);
        }
        self.count_losses();
    }

    /// Advances by `span`.
    pub fn run_for(&mut self, span: Millis) {
        for _ in 0..span.0 / DOMAIN_STEP.0 {
            self.step();
        }
    }

    /// Stops a box, which restarts after `restart_after`, or never if that is `None`.
    pub fn kill(&mut self, id: &BoxId, restart_after: Option<Millis>) {
        let restarts_at = restart_after.map(|span| self.now + span);
        if let Some(fake) = self.boxes.get_mut(id) {
            fake.kill(restarts_at);
        }
    }

    /// Resumes a paused controller, after its pending writes and orders have been delivered.
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

    /// Pauses a controller between its decision and the effects of it, which are delivered when the
    /// controller resumes.
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

    /// Returns whether a replica can actually serve: the record has it as ready, and every member is
    /// running and ready for the replica's epoch.
    pub fn is_serving(&self, replica: &ReplicaId) -> bool {
        let Some(assignment) = self.record.replicas.get(replica) else {
            return false;
        };
        let ready = |id: &BoxId| {
            let fake = &self.boxes[id];
            fake.is_running && fake.epoch == assignment.epoch && fake.state == EngineState::Ready
        };
        assignment.phase == Phase::Ready && assignment.boxes.iter().all(ready)
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

    /// Breaks replicas as their leaders do: a leader reports a formed replica as broken once a member
    /// is down or has another epoch.
    fn break_incomplete_replicas(&mut self) {
        for assignment in self.record.replicas.values() {
            let is_missing = |id: &BoxId| {
                let fake = &self.boxes[id];
                !fake.is_running || fake.epoch != assignment.epoch
            };
            let is_broken =
                assignment.phase == Phase::Ready && assignment.boxes.iter().any(is_missing);
            let leader = assignment.boxes.first().and_then(|id| self.boxes.get_mut(id));
            if let Some(leader) = leader.filter(|_| is_broken)
                && leader.epoch == assignment.epoch
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

    /// Updates a controller's view from the boxes and the record that it can reach.
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
            if let Some(assignment) = self.record.replicas.get(&desired.replica) {
                let healthy =
                    assignment.boxes.iter().filter(|id| self.boxes[*id].is_running).count();
                self.losses.stranded_secs += step * healthy as f64;
            }
        }
    }
}

/// Returns the epochs of the engines that are not idle on running boxes, with the replica of each.
pub fn epochs_in_use(domain: &FakeDomain) -> Vec<(Epoch, ReplicaId)> {
    let acting = domain.boxes.values().filter(|fake| fake.is_running && fake.epoch > Epoch(0));
    acting.filter_map(|fake| Some((fake.epoch, fake.replica.clone()?))).collect()
}
