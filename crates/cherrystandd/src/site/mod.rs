//! Serving where the store holds one configuration of routes and boxes tell of themselves.

mod attempt;
mod body;
mod box_calls;
mod change_sharing;
mod control;
mod deciding;
mod event_stream;
mod failure_log;
mod flight;
mod flow;
mod front;
mod front_duty;
mod known;
mod load_exchange;
mod pages;
mod peer_choice;
mod request;
mod retry_shares;
mod site_view;
mod watching;

pub(crate) use site_view::{Hint, SiteView};

/// The platform that is spoken to.
pub(crate) type Driver = cherrystand_site::Site;
