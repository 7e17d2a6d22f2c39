//! The daemon's log: JSON lines on standard error.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Sends the log to standard error, a JSON object a line.
pub fn start_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
