//! Evidence for whether a replica is stalled: its silence, what peers saw, and the progress of
//! other replicas.

use crate::Millis;

/// The silence beyond the engine's longest predicted one after which a replica counts as stalled.
pub const STALL_MARGIN: Millis = Millis(100);

/// The longest silence that a node attributes to itself if it receives nothing from peers or any
/// other replica. A link of 20 Mbit/s is saturated for that long by 3.7 MB.
const MAX_NODE_PAUSE: Millis = Millis(1_500);

/// What peers report about the progress of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProgress {
    /// At least one of them saw progress.
    Seen,
    /// They were asked just now and haven't answered yet.
    AskedJustNow,
    /// Some answered, and none saw progress.
    NotSeen,
    /// No peer answered: there is none, or their answers don't arrive.
    NoAnswer,
    /// The settings disable asking them.
    NotAsked,
}

impl PeerProgress {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Seen => "progress",
            Self::AskedJustNow => "asked-just-now",
            Self::NotSeen => "no-progress",
            Self::NoAnswer => "unheard",
            Self::NotAsked => "not-asked",
        }
    }
}

/// What is known of a replica that has been silent for longer than its engine needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallEvidence {
    /// How long nothing has arrived from it for any request of this node.
    pub silence: Millis,
    /// The longest silence predicted for its engine, plus [`STALL_MARGIN`].
    pub longest_expected: Millis,
    /// What peers report.
    pub peers: PeerProgress,
    /// How long ago a peer last answered a question about progress, if one ever did.
    pub peers_age: Option<Millis>,
    /// Whether another replica made progress with a request of this node meanwhile; `None` if no
    /// other replica has one.
    pub others_progressed: Option<bool>,
}

impl StallEvidence {
    /// Returns whether the replica is stalled, as far as this node knows.
    pub fn is_stalled(&self) -> bool {
        match self.peers {
            PeerProgress::Seen | PeerProgress::AskedJustNow => false,
            PeerProgress::NotSeen | PeerProgress::NotAsked => true,
            // If no peer answered, the cause is assumed to be this node's own pause unless another
            // replica makes progress.
            PeerProgress::NoAnswer => {
                self.silence > MAX_NODE_PAUSE || self.others_progressed.unwrap_or(true)
            }
        }
    }

    /// Returns whether all other replicas that this node has requests at are silent too, and only
    /// briefly.
    ///
    /// A machine that pauses all processes for 150 ms is more likely than the loss of all replicas
    /// at once. Sending the requests to other replicas as well would use up the retry budgets of
    /// all nodes to no effect.
    pub fn is_node_wide_pause(&self) -> bool {
        self.others_progressed == Some(false) && self.silence <= MAX_NODE_PAUSE
    }
}
