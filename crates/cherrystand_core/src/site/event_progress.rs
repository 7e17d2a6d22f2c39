//! Decides whether a stream still brings events.

use crate::{MAX_EVENT_BYTES, StreamEvent};

/// What a stream has brought since its last new event.
///
/// Comments, blank lines, unknown fields and events that came before bring nothing. The total length of
/// a stream has no limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventProgress {
    last_id: Option<u64>,
    fruitless_bytes: usize,
}

impl EventProgress {
    /// Records an event, or what stands in the place of one.
    pub fn record(&mut self, event: &StreamEvent) {
        if self.is_new(event) {
            self.last_id = event.id.or(self.last_id);
            self.fruitless_bytes = 0;
        } else {
            self.fruitless_bytes += event.bytes.len();
        }
    }

    /// Returns whether more than an event may have has brought none.
    pub fn is_fruitless(&self) -> bool {
        self.fruitless_bytes > MAX_EVENT_BYTES
    }

    fn is_new(&self, event: &StreamEvent) -> bool {
        match (event.id, self.last_id) {
            (Some(id), Some(last_id)) => id > last_id,
            (Some(_), None) => true,
            (None, _) => event.has_data(),
        }
    }
}
