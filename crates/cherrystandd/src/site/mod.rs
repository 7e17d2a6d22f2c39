//! Serving where the store holds one configuration of routes and boxes tell of themselves.

mod attempt;
mod body;
mod box_calls;
mod change_sharing;
mod control;
mod event_stream;
mod flight;
mod flow;
mod front;
mod known;
mod load_exchange;
mod request;
mod site_view;
mod watching;

pub(crate) use site_view::{Hint, SiteView};

/// The platform that is spoken to.
pub(crate) type Driver = cherrystand_site::Site;
