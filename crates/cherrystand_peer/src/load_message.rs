//! What daemons tell each other many times a second, in datagrams that may be lost.

use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, EndpointLoad, Fingerprint, NodeId, RateLimitMessage, ServiceName, ZoneId, ZoneLoads,
};
use serde::{Deserialize, Serialize};

/// One datagram between daemons.
///
/// Each is sent to those that have a use for it only: loads travel within a zone, sums of zones
/// between relays, questions to whoever may know, what stands still to all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Says what the sender has in flight, and what it knows of other zones.
    InFlight {
        /// The sender.
        from: NodeId,
        /// Its zone.
        zone: ZoneId,
        /// What it has in flight itself.
        loads: Vec<EndpointLoad>,
        /// The sums of other zones, where the sender is a relay.
        zones: Vec<ZoneLoads>,
    },
    /// Says what all daemons of the sender's zone have in flight.
    Zone(ZoneLoads),
    /// Asks when the leaders of some replicas last made progress.
    #[serde(rename = "Asked")]
    ProgressQuery(Vec<BoxId>),
    /// Answers that, with those of them at which the sender has requests.
    #[serde(rename = "Seen")]
    Progress(Vec<EndpointLoad>),
    /// Names leaders whose replicas the sender found standing still.
    Stalled(Vec<BoxId>),
    /// Names leaders that told the sender that they serve no more.
    #[serde(rename = "Left")]
    Stopped(Vec<BoxId>),
    /// Names a box that ended, and the requests of the sender that it was working on.
    #[serde(rename = "Ended")]
    Crashed(BoxId, Vec<Fingerprint>),
    /// Names requests that were served whole after boxes had ended with them.
    Served(Vec<Fingerprint>),
    /// Names a box that told the sender in an answer that it leaves.
    #[serde(rename = "Leaves")]
    Leaving(BoxId),
    /// Tells of the requests that a box takes from all daemons together.
    #[serde(rename = "Limit")]
    RateLimit(BoxId, RateLimitMessage),
    /// Tells of the repeats of a service's requests that one daemon lends to those that ask.
    #[serde(rename = "Repeats")]
    LentRetries(ServiceName, RateLimitMessage),
    /// Has the receiver take news in and pass it on to others, where one daemon would tell too many.
    #[serde(rename = "PassOn")]
    Forward {
        /// Whose news it is.
        from: SocketAddr,
        /// The news; what is itself to be passed on is not.
        #[serde(rename = "news")]
        message: Box<LoadMessage>,
        /// To whom.
        to: Vec<SocketAddr>,
    },
}
