//! What other duties tell the state duty.

use cherrystand_core::{Document, Millis, ReplicaEvidence, Version};
use cherrystand_peer::{Carried, Greeting, News, Question, Reply};
use cherrystand_platform::Inventory;
use tokio::sync::oneshot;

/// Tells or asks the state duty something.
#[derive(Debug)]
pub(crate) enum StateEvent {
    /// A peer asks; the reply goes back through the channel.
    PeerQuestion(Question, oneshot::Sender<Reply>),
    /// The gossip duty wants to ask a peer for news.
    GetGreeting(oneshot::Sender<Greeting>),
    /// A peer sent its news; what to ask it next goes back through the channel.
    PeerNews {
        /// The news.
        news: News,
        /// When the peer was asked.
        asked: Millis,
        /// Where the next question goes.
        next: oneshot::Sender<Option<Question>>,
    },
    /// A peer compared records; what to hand it goes back through the channel.
    PeerComparison {
        /// The peer's newer records.
        newer: Vec<Carried>,
        /// The records that the peer wants, and what it holds of them.
        wanted: Vec<Version>,
        /// Where the records to hand over go.
        to_send: oneshot::Sender<Option<Question>>,
    },
    /// Records were read from the platform or written to it.
    Records(Vec<Document>),
    /// The platform answered, and all its records are known as of when it was asked.
    PlatformRead {
        /// When it was asked.
        asked: Millis,
    },
    /// The platform's list was read.
    Inventory(Inventory),
    /// Replicas were looked at.
    Evidence(Vec<ReplicaEvidence>),
    /// Whether the platform answers this daemon, so that it may decide for domains.
    MayDecide(bool),
    /// The daemon begins to stop.
    Draining,
}
