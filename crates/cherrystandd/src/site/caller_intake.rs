//! Takes callers' connections or turns them away, and measures what they use of the machine.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    ConnectionGate, LoadSample, LogLimiter, MachineResource, Millis, TurnedAway,
};
use cherrystand_platform::{ConnectionEnd, ConnectionIntake, NotTaken, TakenConnection};

use crate::DutyContext;
use crate::site::caller_load::{CallerConnection, CallerLoad};
use crate::site::machine_gauge::LoadGauge;

/// From this share of a resource on, a daemon logs what callers use.
const CROWDED_SHARE: f64 = 0.7;

/// How many lines of each kind are logged each second.
const LOGS_PER_SECOND: u32 = 1;

/// Takes callers' connections and their requests, unless a resource of the machine is short.
pub(crate) struct CallerIntake<G> {
    cx: DutyContext,
    load: Rc<CallerLoad>,
    gauge: RefCell<G>,
    gate: RefCell<ConnectionGate>,
    crowd_log: RefCell<LogLimiter>,
    away_log: RefCell<LogLimiter>,
    failure_log: RefCell<LogLimiter>,
    end_log: RefCell<LogLimiter>,
    taken: Cell<u64>,
}

impl<G: LoadGauge> CallerIntake<G> {
    /// Creates an intake that measures by a gauge.
    pub(super) fn new(cx: DutyContext, load: Rc<CallerLoad>, gauge: G) -> Rc<Self> {
        let log = || RefCell::new(LogLimiter::new(LOGS_PER_SECOND));
        Rc::new(Self {
            cx,
            load,
            gauge: RefCell::new(gauge),
            gate: RefCell::default(),
            crowd_log: log(),
            away_log: log(),
            failure_log: log(),
            end_log: log(),
            taken: Cell::default(),
        })
    }

    fn admit_connection(&self) -> Result<(), NotTaken> {
        let now = self.measure();
        let admitted = self.gate.borrow_mut().admit_connection(now, self.load.in_flight());
        match admitted {
            Err(TurnedAway { resource, closed_for }) if self.is_turned_away(now, resource) => {
                Err(NotTaken { closed_for: closed_for.map(|time| Duration::from_millis(time.0)) })
            }
            _ => Ok(()),
        }
    }

    fn admits_kept(&self) -> bool {
        let now = self.measure();
        let admitted = self.gate.borrow().admit_kept(self.load.in_flight());
        admitted.map_or_else(|resource| !self.is_turned_away(now, resource), |()| true)
    }

    /// Returns whether a connection is turned away as a resource is short, and counts and logs it if
    /// so. The settings may have all be taken.
    fn is_turned_away(&self, now: Millis, resource: MachineResource) -> bool {
        if !self.cx.settings.policy.turn_away {
            return false;
        }
        self.cx.crowding.record(now);
        let resource = resource.as_str();
        self.cx.metrics.connections_turned_away.with_label_values(&[resource]).inc();
        if let Some(left_out) = self.away_log.borrow_mut().admit(now) {
            log::warn!(
                resource = resource, in_flight = self.load.in_flight(),
                connections = self.load.connections(), taken = self.taken.get(),
                left_out = left_out;
                "a connection is turned away, as a resource of this machine is short"
            );
        }
        true
    }

    /// Counts how a connection ended, and logs one that ended without a whole answer.
    fn record_end(&self, end: ConnectionEnd, err: Option<&hyper::Error>) {
        self.cx.metrics.connection_ends.with_label_values(&[end.as_str()]).inc();
        if end != ConnectionEnd::Unanswered {
            return;
        }
        if let Some(left_out) = self.end_log.borrow_mut().admit(self.cx.clock.now()) {
            let cause = err.map_or_else(|| "it was closed".to_owned(), ToString::to_string);
            log::info!(left_out = left_out; "a caller's connection ended without a whole answer: {cause}");
        }
    }

    /// Measures the machine's load if the last sample is old enough, and returns the time.
    fn measure(&self) -> Millis {
        let now = self.cx.clock.now();
        if let Some(sample) = self.gauge.borrow_mut().sample(now) {
            self.gate.borrow_mut().record(&sample);
            self.publish(&sample);
            self.log_crowd(now, &sample);
        }
        now
    }

    fn publish(&self, sample: &LoadSample) {
        for resource in MachineResource::ALL {
            let percent = (sample.share(resource) * 100.0) as i64;
            self.cx.metrics.machine_use.with_label_values(&[resource.as_str()]).set(percent);
        }
    }

    fn log_crowd(&self, now: Millis, sample: &LoadSample) {
        let is_crowded = |resource: &MachineResource| sample.share(*resource) >= CROWDED_SHARE;
        let Some(resource) = MachineResource::ALL.into_iter().find(is_crowded) else { return };
        if self.crowd_log.borrow_mut().admit(now).is_none() {
            return;
        }
        log::info!(
            resource = resource.as_str(), busy = sample.busy,
            link = sample.link, memory = sample.memory, descriptors = sample.descriptors,
            in_flight = sample.in_flight, connections = self.load.connections(),
            taken = self.taken.get();
            "callers use most of a resource of this machine"
        );
    }
}

/// A caller's connection that was taken.
pub(crate) struct CallerConnectionTaken<G> {
    count: CallerConnection,
    intake: Rc<CallerIntake<G>>,
}

impl<G: LoadGauge> TakenConnection for CallerConnectionTaken<G> {
    fn first_request_read(&self) {
        self.count.first_request_read();
    }

    fn takes_next_request(&self) -> bool {
        self.intake.admits_kept()
    }

    fn ended(&self, end: ConnectionEnd, err: Option<&hyper::Error>) {
        self.intake.record_end(end, err);
    }
}

impl<G: LoadGauge + 'static> ConnectionIntake for CallerIntake<G> {
    type Connection = CallerConnectionTaken<G>;

    fn take(self: &Rc<Self>) -> Result<CallerConnectionTaken<G>, NotTaken> {
        self.admit_connection()?;
        self.taken.set(self.taken.get() + 1);
        Ok(CallerConnectionTaken { count: self.load.open_connection(), intake: self.clone() })
    }

    fn listener_failed(&self, err: &io::Error) {
        if let Some(left_out) = self.failure_log.borrow_mut().admit(self.cx.clock.now()) {
            log::warn!(left_out = left_out; "callers cannot be accepted, tried again: {err}");
        }
    }
}
