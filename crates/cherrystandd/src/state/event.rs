//! The messages that other duties send to the state duty.

use cherrystand_core::{Document, Millis, ReplicaEvidence, Version};
use cherrystand_peer::{Greeting, News, Question, Reply, TransferredRecord};
use cherrystand_platform::Inventory;
use tokio::sync::oneshot;

/// An update or a request to the state duty. The channel in a request receives its answer.
#[derive(Debug)]
pub(crate) enum StateEvent {
    /// A peer asked a question.
    PeerQuestion(Question, oneshot::Sender<Reply>),
    /// The gossip duty needs a greeting with which to ask a peer for news.
    GetGreeting(oneshot::Sender<Greeting>),
    /// A peer sent its news.
    PeerNews {
        /// The news.
        news: News,
        /// When the question was sent to the peer, on the daemon's clock.
        asked_at: Millis,
        /// Receives the next question to send to the peer, if there is one.
        next: oneshot::Sender<Option<Question>>,
    },
    /// A peer compared its records with those of this daemon.
    PeerComparison {
        /// The peer's newer records.
        newer: Vec<TransferredRecord>,
        /// The records that the peer wants, with the versions that it holds.
        wanted: Vec<Version>,
        /// Receives the message with the records for the peer, if there are any.
        to_send: oneshot::Sender<Option<Question>>,
    },
    /// Records were read from the platform or written to it.
    Records(Vec<Document>),
    /// The platform answered, so all its records are known up to the time of the request.
    PlatformRead {
        /// When the request was sent to the platform, on the daemon's clock.
        asked_at: Millis,
    },
    /// The platform's box list was read.
    Inventory(Inventory),
    /// Probes of replicas returned evidence of their state.
    Evidence(Vec<ReplicaEvidence>),
    /// Whether this daemon may control domains. It may not while the platform does not answer it, and
    /// peers then take its domains over.
    MayDecide(bool),
    /// The daemon has begun its shutdown.
    Draining,
}
