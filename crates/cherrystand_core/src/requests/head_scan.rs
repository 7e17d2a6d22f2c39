//! Checks the ends of the lines of an answer's head while its bytes arrive.
//!
//! HTTP parsers take a line feed alone for the end of a line, so that one inside a value divides a
//! field, and a head, in two.

use crate::MalformedAnswer;

/// Where the first digit of the status stands in a status line.
const STATUS_POSITION: usize = b"HTTP/1.1 ".len();

/// The first digit of the statuses of heads that another one follows.
const INFORMATIONAL: u8 = b'1';

/// What the bytes of one head are checked for, from one part that arrives to the next.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    has_ended: bool,
    /// The position in the current line.
    column: usize,
    /// Whether a line of the current head has been read.
    has_status_line: bool,
    is_informational: bool,
    previous: u8,
}

impl HeadScan {
    /// Checks the next bytes of an answer. Those after its head are passed over.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedAnswer::BareLineFeed`] if a line of the head ends without a carriage return.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), MalformedAnswer> {
        for byte in bytes {
            if self.has_ended {
                return Ok(());
            }
            self.read_byte(*byte)?;
        }
        Ok(())
    }

    fn read_byte(&mut self, byte: u8) -> Result<(), MalformedAnswer> {
        if byte == b'\n' {
            if self.previous != b'\r' {
                return Err(MalformedAnswer::BareLineFeed);
            }
            self.end_line();
        } else {
            if !self.has_status_line && self.column == STATUS_POSITION {
                self.is_informational = byte == INFORMATIONAL;
            }
            self.column += 1;
        }
        self.previous = byte;
        Ok(())
    }

    fn end_line(&mut self) {
        // The carriage return is the only byte of an empty line.
        let is_empty = self.column == 1;
        self.column = 0;
        match (is_empty, self.has_status_line) {
            (false, _) => self.has_status_line = true,
            // Empty lines may stand before a head.
            (true, false) => {}
            (true, true) if self.is_informational => *self = Self::default(),
            (true, true) => self.has_ended = true,
        }
    }
}
