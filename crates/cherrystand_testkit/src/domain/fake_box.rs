//! One box of a fake domain, on virtual time.

use cherrystand_core::{
    EngineReport, EngineState, Epoch, LoadSpec, Millis, Order, ReplicaId, Task,
};

/// A box and its engine.
#[derive(Clone, Debug)]
pub struct FakeBox {
    /// Whether the box runs.
    pub alive: bool,
    /// When a box that is down comes back; nothing if it never does.
    pub back_at: Option<Millis>,
    /// Until when the box runs but cannot be heard.
    pub silent_until: Millis,
    /// Whether the engine reports but follows no orders.
    pub deaf: bool,
    /// Whether the engine answers but never ends a load.
    pub stuck: bool,
    /// Whether the engine refuses orders of an old epoch.
    pub checks_orders: bool,
    /// The epoch that the engine acts on; 0 while idle.
    pub epoch: Epoch,
    /// The replica that the engine belongs to.
    pub replica: Option<ReplicaId>,
    /// The highest epoch that the engine has seen in this life.
    pub highest: Epoch,
    /// How far it is.
    pub state: EngineState,
    /// Requests in flight.
    pub in_flight: u32,
    /// What it has in memory.
    pub loaded: Option<LoadSpec>,
    wanted: Option<LoadSpec>,
    load_left: Millis,
}

impl FakeBox {
    /// Creates an idle box.
    pub fn new(checks_orders: bool) -> Self {
        Self {
            alive: true,
            back_at: None,
            silent_until: Millis(0),
            deaf: false,
            stuck: false,
            checks_orders,
            epoch: Epoch(0),
            replica: None,
            highest: Epoch(0),
            state: EngineState::Idle,
            in_flight: 0,
            loaded: None,
            wanted: None,
            load_left: Millis(0),
        }
    }

    /// Takes the box down, with all that its engine had in memory.
    pub fn kill(&mut self, back_at: Option<Millis>) {
        *self = Self { alive: false, back_at, ..Self::new(self.checks_orders) };
    }

    /// Brings the box back if its time has come.
    pub fn return_at(&mut self, now: Millis) {
        if self.back_at.is_some_and(|at| at <= now) {
            self.alive = true;
            self.back_at = None;
        }
    }

    /// Follows an order as an engine does, and tells whether it was accepted.
    pub fn obey(&mut self, order: &Order, load: Millis, rejoin: Millis) -> bool {
        if !self.alive || self.deaf || (self.checks_orders && order.epoch < self.highest) {
            return false;
        }
        self.highest = self.highest.max(order.epoch);
        match &order.task {
            Task::Join { replica, load: spec, .. } if self.epoch != order.epoch => {
                self.epoch = order.epoch;
                self.replica = Some(replica.clone());
                self.state = EngineState::Loading;
                let has_it = self.loaded.as_ref() == Some(spec);
                self.load_left = if has_it { rejoin } else { load };
                self.wanted = Some(spec.clone());
            }
            Task::Join { .. } => {}
            Task::Drain => self.state = EngineState::Draining,
            Task::Release => {
                self.epoch = Epoch(0);
                self.replica = None;
                self.state = EngineState::Idle;
            }
        }
        true
    }

    /// Tells whether the box has weights to fetch.
    pub fn is_fetching(&self) -> bool {
        self.state == EngineState::Loading && self.loaded != self.wanted
    }

    /// Loads for a while.
    pub fn load_for(&mut self, span: Millis) {
        if self.state != EngineState::Loading || self.stuck {
            return;
        }
        self.load_left = self.load_left - span;
        if self.load_left == Millis(0) {
            self.loaded = self.wanted.clone();
            self.state = EngineState::Ready;
        }
    }

    /// Returns what the engine reports.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            epoch: self.epoch,
            state: self.state,
            loaded: self.loaded.clone(),
            in_flight: self.in_flight,
            waiting: 0,
        }
    }
}
