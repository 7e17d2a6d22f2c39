//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// The largest incomplete event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes as received.
    pub bytes: Bytes,
    /// Its id, if that is a number.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns whether it has a field `data`.
    pub fn has_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
    }

    /// Returns whether it comes after the event with the id `last`, rather than being that one or an
    /// earlier one once more. Ids only rise, by any step.
    pub fn follows(&self, last: Option<u64>) -> bool {
        match (self.id, last) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }
}

/// Buffers bytes until an event is complete.
///
/// Callers are sent only complete events, so that a stream that breaks off can continue at another
/// endpoint.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the size of the incomplete event in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let unscanned = &self.buffer[from..];
        let newlines = unscanned.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        for (at, _) in newlines {
            let rest = &unscanned[at + 1..];
            if rest.starts_with(b"\n") {
                return Some(from + at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + at + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
