//! Lines for boxes that come and go, by whose word they do.

use cherrystand_core::{BoxId, LogLimiter, Millis, Revision};

use crate::site::change_source::ChangeSource;

/// How many lines are written each second; a loss of many boxes needs no line for each.
const MAX_LINES_PER_S: u32 = 20;

/// Says what became of a box in the list that a node keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BoxTransition {
    /// It is listed no more, and kept, as the store may only have lost its entry.
    Kept,
    /// It is listed no more, and taken out.
    Removed,
    /// It was taken out before and is listed again.
    Relisted,
    /// Its entry says that it leaves.
    Leaving,
}

impl BoxTransition {
    fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Removed => "taken out",
            Self::Relisted => "taken back",
            Self::Leaving => "leaves",
        }
    }
}

/// Writes these lines, a bounded number of them.
#[derive(Debug)]
pub(super) struct BoxLog(LogLimiter);

impl Default for BoxLog {
    fn default() -> Self {
        Self(LogLimiter::new(MAX_LINES_PER_S))
    }
}

impl BoxLog {
    /// Writes down what became of a box as of a revision of the store, and by whose word.
    pub(super) fn log(
        &mut self,
        turn: BoxTransition,
        id: &BoxId,
        teller: &ChangeSource,
        as_of: Revision,
        now: Millis,
    ) {
        let Some(left_out) = self.0.admit(now) else { return };
        log::info!(
            target_box = id.as_str(), turn = turn.as_str(), told_by = teller.to_string(),
            as_of = as_of.to_string(), left_out = left_out;
            "what is known of a box changed"
        );
    }
}
