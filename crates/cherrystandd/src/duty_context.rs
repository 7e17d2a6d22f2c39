//! What every duty is given.

use std::sync::Arc;

use cherrystand_core::{ModelLoads, SiteView, SuspectRecord};
use tokio::sync::watch;

use crate::claims::ClaimMessage;
use crate::config_versions::ConfigVersions;
use crate::relay::RequestLookup;
use crate::site::Hint;
use crate::state::{StateEvent, View};
use crate::store_freshness::StoreFreshness;
use crate::{Clock, Metrics, Settings};

/// How many events a ring between duties holds.
pub(crate) const CHANNEL_CAPACITY: usize = 1_024;

/// Says how far the daemon is with stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It is not.
    Running,
    /// It is not ready any more, and finishes what it has.
    Draining,
    /// Everything ends now.
    Stopped,
}

/// Tells why a duty failed.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    /// The duty's thread could not be started.
    #[error("the thread of duty `{duty}` could not be started")]
    Thread {
        /// The duty.
        duty: &'static str,
        /// The reason.
        source: std::io::Error,
    },
    /// The duty's event loop could not be started.
    #[error("the event loop could not be started")]
    Runtime(#[source] std::io::Error),
    /// An address could not be listened at.
    #[error("cannot listen at {address}; check `listen` in the settings")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// The address for peers could not be listened at.
    #[error("cannot listen for peers at {address}; check `listen.peers` in the settings")]
    ListenPeers {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        source: cherrystand_peer::PeerError,
    },
    /// The duty panicked.
    #[error("duty `{duty}` panicked")]
    Panicked {
        /// The duty.
        duty: &'static str,
    },
}

/// Gives a duty its settings, clocks, rings and the published view.
#[derive(Clone)]
pub struct DutyContext {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The daemon's clock.
    pub clock: Clock,
    /// What the daemon counts.
    pub metrics: Arc<Metrics>,
    /// The ring towards the duty that keeps the daemon's state.
    pub(crate) state: async_channel::Sender<StateEvent>,
    /// The other end of that ring; only the state duty reads it.
    pub(crate) state_events: async_channel::Receiver<StateEvent>,
    /// The ring towards the duty that claims calls.
    pub(crate) claims: async_channel::Sender<ClaimMessage>,
    /// The other end of that ring; only the claims duty reads it.
    pub(crate) claim_messages: async_channel::Receiver<ClaimMessage>,
    /// The ring by which operators ask the relay about requests.
    pub(crate) lookups: async_channel::Sender<RequestLookup>,
    /// The other end of that ring; only the relay reads it.
    pub(crate) lookup_messages: async_channel::Receiver<RequestLookup>,
    /// What the daemon knows, as last published.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Where the state duty publishes it.
    pub(crate) publish_view: Arc<watch::Sender<Arc<View>>>,
    /// What is known of the site, as last published.
    pub(crate) site: watch::Receiver<Arc<SiteView>>,
    /// Where the duty that reads the site publishes it.
    pub(crate) publish_site: Arc<watch::Sender<Arc<SiteView>>>,
    /// As of when that is.
    pub(crate) store_freshness: Arc<StoreFreshness>,
    /// What all daemons have in flight by model, as the request path last published it.
    pub(crate) model_loads: watch::Receiver<Arc<ModelLoads>>,
    /// Where the request path publishes it.
    pub(crate) publish_model_loads: Arc<watch::Sender<Arc<ModelLoads>>>,
    /// What this node has to say beside the store's record of requests that end replicas.
    pub(crate) suspects: watch::Receiver<Arc<SuspectRecord>>,
    /// Where the request path publishes it.
    pub(crate) publish_suspects: Arc<watch::Sender<Arc<SuspectRecord>>>,
    /// The ring by which the request path has boxes looked at.
    pub(crate) hints: async_channel::Sender<Hint>,
    /// The other end of that ring; only the duty that reads the site reads it.
    pub(crate) hint_events: async_channel::Receiver<Hint>,
    /// The last versions of the configuration.
    pub(crate) config_versions: ConfigVersions,
    /// How far the daemon is with stopping.
    pub(crate) stop: Arc<watch::Sender<StopPhase>>,
}

impl DutyContext {
    /// Creates the context of a daemon that starts now.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let (state, state_events) = async_channel::bounded(CHANNEL_CAPACITY);
        let (claims, claim_messages) = async_channel::bounded(CHANNEL_CAPACITY);
        let (lookups, lookup_messages) = async_channel::bounded(CHANNEL_CAPACITY);
        let clock = Clock::start();
        let initial = View::initial(&settings, clock.now());
        let (publish_view, view) = watch::channel(Arc::new(initial));
        let (publish_site, site) = watch::channel(Arc::default());
        let (publish_model_loads, model_loads) = watch::channel(Arc::default());
        let (publish_suspects, suspects) = watch::channel(Arc::default());
        let (hints, hint_events) = async_channel::bounded(CHANNEL_CAPACITY);
        let (stop, _) = watch::channel(StopPhase::Running);
        let metrics = Arc::new(metrics);
        Self {
            settings: Arc::new(settings),
            clock,
            config_versions: ConfigVersions::new(metrics.clone()),
            metrics,
            state,
            state_events,
            claims,
            claim_messages,
            lookups,
            lookup_messages,
            view,
            publish_view: Arc::new(publish_view),
            site,
            publish_site: Arc::new(publish_site),
            store_freshness: Arc::default(),
            model_loads,
            publish_model_loads: Arc::new(publish_model_loads),
            suspects,
            publish_suspects: Arc::new(publish_suspects),
            hints,
            hint_events,
            stop: Arc::new(stop),
        }
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.stop.send_if_modified(|phase| {
            let begins = *phase == StopPhase::Running;
            if begins {
                *phase = StopPhase::Draining;
            }
            begins
        });
    }

    /// Returns how far the daemon is with stopping.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Waits until stopping has come to `phase`.
    pub(crate) async fn wait_for_stop(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // The sender lives in this very context.
        let _ = stop.wait_for(|now| *now >= phase).await;
    }

    /// Returns the view as last published.
    pub(crate) fn current_view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Hands an event to the state duty, giving it up where the ring is full.
    ///
    /// Every event is told again later: records by comparison, evidence by the next probe.
    pub(crate) fn send_to_state(&self, event: StateEvent) {
        if self.state.try_send(event).is_err() {
            self.metrics.ring_full.with_label_values(&["state"]).inc();
        }
    }

    /// Has the duty that watches over boxes look at one.
    pub(crate) fn hint(&self, hint: Hint) {
        if self.hints.try_send(hint).is_err() {
            self.metrics.ring_full.with_label_values(&["hints"]).inc();
        }
    }

    /// Runs a duty's future on an event loop of this thread until it ends.
    pub(crate) fn run_local<F: Future>(&self, duty: F) -> Result<F::Output, DutyError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(DutyError::Runtime)?;
        let local = tokio::task::LocalSet::new();
        Ok(local.block_on(&runtime, duty))
    }
}
