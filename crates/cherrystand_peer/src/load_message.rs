//! Messages that daemons send each other several times a second, in datagrams that may be lost.

use std::net::SocketAddr;

use cherrystand_core::{
    BoxId, CrashTime, EndpointLoad, Fingerprint, NodeId, Outlived, RateLimitMessage, ServiceName,
    ZoneId, ZoneLoads,
};
use serde::{Deserialize, Serialize};

/// A datagram between daemons.
///
/// Each message is sent only to daemons that need it: loads within a zone, totals of zones between
/// relays, progress queries to daemons that may know the answer, and stalled replicas to all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// Reports the requests that the sender has in flight, and what it knows of other zones.
    InFlight {
        /// The sending daemon.
        from: NodeId,
        /// The zone of the sender.
        zone: ZoneId,
        /// The requests that the sender has in flight itself, by endpoint.
        loads: Vec<EndpointLoad>,
        /// The totals of other zones, if the sender is a relay.
        zones: Vec<ZoneLoads>,
    },
    /// Reports the total of the requests that all daemons of the sender's zone have in flight.
    Zone(ZoneLoads),
    /// Asks when the leaders of some replicas last made progress.
    #[serde(rename = "Asked")]
    ProgressQuery(Vec<BoxId>),
    /// Answers [`LoadMessage::ProgressQuery`] for each of its leaders, also those at which the sender has no requests.
    #[serde(rename = "Seen")]
    Progress(Vec<EndpointLoad>),
    /// Reports the leaders of replicas that the sender found to be stalled.
    Stalled(Vec<BoxId>),
    /// Reports leaders that told the sender that they no longer serve requests.
    #[serde(rename = "Left")]
    Stopped(Vec<BoxId>),
    /// Reports a box that crashed, and the sender's requests that it was working on.
    #[serde(rename = "Ended")]
    Crashed(BoxId, Vec<Fingerprint>),
    /// Reports requests that were served completely after boxes had crashed while working on them.
    Served(Vec<Fingerprint>),
    /// Reports a box that announced in an answer to the sender that it is leaving.
    #[serde(rename = "Leaves")]
    Leaving(BoxId),
    /// Carries the rate limit protocol for the requests that a box accepts from all daemons together.
    #[serde(rename = "Limit")]
    RateLimit(BoxId, RateLimitMessage),
    /// Carries the rate limit protocol for the retries of a service that one daemon lends to others.
    #[serde(rename = "Repeats")]
    LentRetries(ServiceName, RateLimitMessage),
    /// Has the receiver handle a message and forward it, if there are too many receivers for one sender.
    #[serde(rename = "PassOn")]
    Forward {
        /// The daemon that the message originates from.
        from: SocketAddr,
        /// The message to handle and forward. A nested `Forward` is ignored.
        #[serde(rename = "news")]
        message: Box<LoadMessage>,
        /// The daemons to forward the message to.
        to: Vec<SocketAddr>,
    },
    /// Reports what else the sender knows of the suspects of a crash.
    CrashEvidence {
        /// How long they had run at boxes as these crashed.
        times: Vec<CrashTime>,
        /// Boxes that live and run them for longer than that.
        outlived: Vec<Outlived>,
    },
    /// Reports requests and parts of prompts that the sender refuses, as they still arrive there.
    Refusing(Vec<Fingerprint>),
    /// Reports that the sender has begun to try a refused request.
    Trying(Fingerprint),
}
