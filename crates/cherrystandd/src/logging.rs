//! The daemon's log: one JSON object per line on standard error.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

/// Installs the logger, which writes records of level info and above to standard error.
pub fn start_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
