//! One box of a fake domain, in virtual time.

use cherrystand_core::{
    EngineReport, EngineState, Epoch, LoadSpec, Millis, Order, ReplicaId, Task,
};

/// A box and its engine.
#[derive(Clone, Debug)]
pub struct FakeBox {
    /// Whether the box is running.
    pub is_running: bool,
    /// When a box that is down restarts; `None` if it never does.
    pub restarts_at: Option<Millis>,
    /// The time until which the box cannot be reached although it is running.
    pub unreachable_until: Millis,
    /// Whether the engine reports its state but ignores all orders.
    pub ignores_orders: bool,
    /// Whether the engine answers but never finishes loading.
    pub hangs_loading: bool,
    /// Whether the engine refuses orders with an epoch lower than the highest that it has seen.
    pub checks_orders: bool,
    /// The epoch of the engine's replica; 0 while the engine is idle.
    pub epoch: Epoch,
    /// The replica that the engine belongs to.
    pub replica: Option<ReplicaId>,
    /// The highest epoch that the engine has seen in this incarnation of the box.
    pub highest_epoch: Epoch,
    /// The state of the engine.
    pub state: EngineState,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The weights that the engine has in memory.
    pub loaded: Option<LoadSpec>,
    loading: Option<LoadSpec>,
    load_remaining: Millis,
}

impl FakeBox {
    /// Creates a running box with an idle engine.
    pub fn new(checks_orders: bool) -> Self {
        Self {
            is_running: true,
            restarts_at: None,
            unreachable_until: Millis(0),
            ignores_orders: false,
            hangs_loading: false,
            checks_orders,
            epoch: Epoch(0),
            replica: None,
            highest_epoch: Epoch(0),
            state: EngineState::Idle,
            in_flight: 0,
            loaded: None,
            loading: None,
            load_remaining: Millis(0),
        }
    }

    /// Stops the box, which loses all state of its engine.
    pub fn kill(&mut self, restarts_at: Option<Millis>) {
        *self = Self { is_running: false, restarts_at, ..Self::new(self.checks_orders) };
    }

    /// Restarts the box if it is down and the time of its restart has come.
    pub fn restart_if_due(&mut self, now: Millis) {
        if self.restarts_at.is_some_and(|at| at <= now) {
            self.is_running = true;
            self.restarts_at = None;
        }
    }

    /// Executes an order as an engine does, and returns whether the engine accepted it.
    ///
    /// A join takes `load` if the weights must be fetched, or `rejoin` if they are in memory.
    pub fn execute_order(&mut self, order: &Order, load: Millis, rejoin: Millis) -> bool {
        if !self.is_running
            || self.ignores_orders
            || (self.checks_orders && order.epoch < self.highest_epoch)
        {
            return false;
        }
        self.highest_epoch = self.highest_epoch.max(order.epoch);
        match &order.task {
            Task::Join { replica, load: spec, .. } if self.epoch != order.epoch => {
                self.epoch = order.epoch;
                self.replica = Some(replica.clone());
                self.state = EngineState::Loading;
                let is_loaded = self.loaded.as_ref() == Some(spec);
                self.load_remaining = if is_loaded { rejoin } else { load };
                self.loading = Some(spec.clone());
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

    /// Returns whether the engine is loading weights that it doesn't have in memory.
    pub fn is_fetching_weights(&self) -> bool {
        self.state == EngineState::Loading && self.loaded != self.loading
    }

    /// Advances a load by `span`.
    pub fn advance_load(&mut self, span: Millis) {
        if self.state != EngineState::Loading || self.hangs_loading {
            return;
        }
        self.load_remaining = self.load_remaining - span;
        if self.load_remaining == Millis(0) {
            self.loaded = self.loading.clone();
            self.state = EngineState::Ready;
        }
    }

    /// Returns the engine's report.
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
