//! Measures what callers' requests use of the machine.

use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{LoadSample, Millis};
use cherrystand_platform::BufferBudget;

use crate::Limits;
use crate::loop_idle_time::LoopIdleTime;
use crate::site::box_client::BoxClient;
use crate::site::caller_load::CallerLoad;

/// The shortest time that a sample covers: long against one turn of the loop.
const MIN_INTERVAL: Millis = Millis(20);

/// Memory that one connection takes with its buffers and the state of its request.
const BYTES_PER_CONNECTION: f64 = 40_000.0;

/// The share of the memory that connections and bodies may take. The daemon's state needs the rest.
const CONNECTION_MEMORY_SHARE: f64 = 0.75;

/// Measures the load of this machine.
pub(crate) trait LoadGauge {
    /// Returns what was used since the last sample, or `None` if that is too short a time.
    fn sample(&mut self, now: Millis) -> Option<LoadSample>;
}

/// What was used up to the last sample.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    at: Millis,
    idle: Duration,
    sent_bytes: u64,
    ended: u64,
}

/// Measures the loop of the thread that serves callers, and what its connections hold.
pub(crate) struct MachineGauge {
    limits: Limits,
    load: Rc<CallerLoad>,
    boxes: Rc<BoxClient>,
    buffers: BufferBudget,
    idle: LoopIdleTime,
    last: Used,
}

impl MachineGauge {
    /// Creates the gauge of the thread whose loop waits for `idle`.
    pub(super) fn new(
        limits: Limits,
        load: Rc<CallerLoad>,
        boxes: Rc<BoxClient>,
        buffers: BufferBudget,
        idle: LoopIdleTime,
    ) -> Self {
        Self { limits, load, boxes, buffers, idle, last: Used::default() }
    }

    fn used(&self, now: Millis) -> Used {
        Used {
            at: now,
            idle: self.idle.total(),
            sent_bytes: self.load.sent_bytes(),
            ended: self.load.ended(),
        }
    }

    fn connections(&self) -> f64 {
        f64::from(self.load.connections() + self.boxes.open_connections())
    }

    fn memory_share(&self) -> f64 {
        let held = self.connections() * BYTES_PER_CONNECTION + self.buffers.used() as f64;
        let available = (self.limits.memory_mb << 20) as f64 * CONNECTION_MEMORY_SHARE;
        share(held, available)
    }
}

impl LoadGauge for MachineGauge {
    fn sample(&mut self, now: Millis) -> Option<LoadSample> {
        let passed = now.since(self.last.at);
        if passed < MIN_INTERVAL {
            return None;
        }
        let used = self.used(now);
        let idle = used.idle.saturating_sub(self.last.idle).as_secs_f64();
        let sent = (used.sent_bytes - self.last.sent_bytes) as f64;
        let ended = (used.ended - self.last.ended) as f64;
        self.last = used;
        let link_bytes_per_s = self.limits.link_mbps * 1e6 / 8.0;
        Some(LoadSample {
            at: now,
            busy: 1.0 - share(idle, passed.as_secs_f64()),
            link: share(sent / passed.as_secs_f64(), link_bytes_per_s),
            memory: self.memory_share(),
            descriptors: share(self.connections(), f64::from(self.limits.max_fds)),
            in_flight: self.load.in_flight(),
            ended_per_s: ended / passed.as_secs_f64(),
        })
    }
}

/// Returns which share of a resource is used, from 0 to 1, or 0 if its size is unknown.
fn share(used: f64, available: f64) -> f64 {
    if available <= 0.0 {
        return 0.0;
    }
    (used / available).clamp(0.0, 1.0)
}
