//! Whether a replica that brings nothing stands still, by its silence and by what others saw.

use crate::Millis;

/// A silence this much longer than the engine's longest tells that a replica stands still.
pub const STALL_MARGIN: Millis = Millis(100);

/// A node that hears neither peers nor any other replica takes itself for held up no longer than
/// this; a link of 20 Mbit/s is full that long with 3.7 MB.
const MAX_NODE_PAUSE: Millis = Millis(1_500);

/// Says what peers tell of the progress of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerProgress {
    /// One of them saw some.
    Seen,
    /// They were asked just now.
    AskedJustNow,
    /// Some answered, and none saw any.
    NotSeen,
    /// No peer answered: there is none, or what they say does not arrive here.
    NoAnswer,
    /// They are not asked, by the settings.
    NotAsked,
}

impl PeerProgress {
    /// Returns the name that logs use.
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

/// Holds what is known of a replica that has brought nothing for longer than its engine can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallEvidence {
    /// For how long nothing of it came, with any request of this node.
    pub silence: Millis,
    /// The longest silence that its engine is predicted to make, with [`STALL_MARGIN`].
    pub longest_expected: Millis,
    /// What peers tell of it.
    pub peers: PeerProgress,
    /// How long ago any peer last answered such a question; nothing where none ever did.
    pub peers_age: Option<Millis>,
    /// Whether another replica made progress with a request of this node meanwhile; nothing where no
    /// other has any.
    pub others_progressed: Option<bool>,
}

impl StallEvidence {
    /// Tells whether the replica stands still, as far as this node can know.
    pub fn is_stalled(&self) -> bool {
        match self.peers {
            PeerProgress::Seen | PeerProgress::AskedJustNow => false,
            PeerProgress::NotSeen | PeerProgress::NotAsked => true,
            // Nobody says anything here: unless another replica does, it is this node that is held up.
            PeerProgress::NoAnswer => {
                self.silence > MAX_NODE_PAUSE || self.others_progressed.unwrap_or(true)
            }
        }
    }

    /// Tells whether everything that this node has requests at stands still as well, and not for long.
    ///
    /// A machine that stops all processes for 150 ms is likelier than the loss of all replicas at once,
    /// and to ask others beside them then spends the repeats of all nodes and helps nobody.
    pub fn is_node_wide_pause(&self) -> bool {
        self.others_progressed == Some(false) && self.silence <= MAX_NODE_PAUSE
    }
}
