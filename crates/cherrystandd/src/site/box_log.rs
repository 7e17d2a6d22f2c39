//! Log lines for boxes that are listed, delisted or leaving.

use cherrystand_core::{BoxId, LogLimiter, Millis, Revision};

use crate::site::change_source::ChangeSource;

/// Lines logged per second at most. The loss of many boxes needs no line for each.
const MAX_LINES_PER_S: u32 = 20;

/// How the state of a box changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BoxTransition {
    /// No longer listed, but kept, as the store may only have lost its entry.
    Kept,
    /// No longer listed, and removed.
    Removed,
    /// Listed again after it was removed.
    Relisted,
    /// Its entry says that it is leaving.
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

/// Logs changes of boxes at a limited rate.
#[derive(Debug)]
pub(super) struct BoxLog(LogLimiter);

impl Default for BoxLog {
    fn default() -> Self {
        Self(LogLimiter::new(MAX_LINES_PER_S))
    }
}

impl BoxLog {
    /// Logs how a box changed as of a revision of the store, and where the change came from.
    pub(super) fn log(
        &mut self,
        transition: BoxTransition,
        id: &BoxId,
        source: &ChangeSource,
        as_of: Revision,
        now: Millis,
    ) {
        let Some(left_out) = self.0.admit(now) else { return };
        log::info!(
            target_box = id.as_str(), turn = transition.as_str(), told_by = source.to_string(),
            as_of = as_of.to_string(), left_out = left_out;
            "what is known of a box changed"
        );
    }
}
