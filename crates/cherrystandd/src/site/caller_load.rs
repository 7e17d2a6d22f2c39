//! Counts of what callers have open at this daemon.

use std::cell::Cell;
use std::rc::Rc;

use prometheus::IntGauge;

use crate::Metrics;

/// Bytes of headers that the network adds to each packet. One event of a stream is one packet.
const PACKET_OVERHEAD_BYTES: u64 = 66;

/// The connections and requests that callers have open, counted by the one thread that serves them.
#[derive(Debug)]
pub(crate) struct CallerLoad {
    /// Open connections, as metrics show them.
    connections: IntGauge,
    /// Connections whose first request is about to be read.
    unread: Cell<u32>,
    /// Requests being served, as metrics show them.
    requests: IntGauge,
    /// Requests that have ended.
    ended: Cell<u64>,
    sent_bytes: Cell<u64>,
}

impl CallerLoad {
    /// Creates counts at zero that metrics show.
    pub(super) fn new(metrics: &Metrics) -> Self {
        Self {
            connections: metrics.caller_connections.clone(),
            unread: Cell::default(),
            requests: metrics.in_flight.clone(),
            ended: Cell::default(),
            sent_bytes: Cell::default(),
        }
    }

    /// Counts one more connection until it is dropped.
    pub(super) fn open_connection(self: &Rc<Self>) -> CallerConnection {
        self.connections.inc();
        self.unread.set(self.unread.get() + 1);
        CallerConnection { load: self.clone(), is_unread: Cell::new(true) }
    }

    /// Counts one more request until it is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> RequestInFlight {
        self.requests.inc();
        RequestInFlight(self.clone())
    }

    /// Counts bytes of an answer that are sent to a caller.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64 + PACKET_OVERHEAD_BYTES);
    }

    pub(super) fn connections(&self) -> u32 {
        count(&self.connections)
    }

    pub(super) fn ended(&self) -> u64 {
        self.ended.get()
    }

    pub(super) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Returns how many requests are being served or are about to be read.
    pub(super) fn in_flight(&self) -> u32 {
        count(&self.requests) + self.unread.get()
    }
}

/// Returns a count that never falls below zero.
fn count(gauge: &IntGauge) -> u32 {
    gauge.get().max(0) as u32
}

/// A request of a caller, counted until its answer has ended.
pub(crate) struct RequestInFlight(Rc<CallerLoad>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.requests.dec();
        self.0.ended.set(self.0.ended.get() + 1);
    }
}

/// A connection of a caller, counted until it is closed.
pub(crate) struct CallerConnection {
    load: Rc<CallerLoad>,
    is_unread: Cell<bool>,
}

impl CallerConnection {
    /// Records that its first request was read, or is not expected soon.
    pub(super) fn first_request_read(&self) {
        if self.is_unread.replace(false) {
            self.load.unread.set(self.load.unread.get().saturating_sub(1));
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.first_request_read();
        self.load.connections.dec();
    }
}
