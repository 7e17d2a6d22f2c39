//! The context that every duty is given: settings, clock, channels and published state.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cherrystand_core::{EndpointPaths, ModelLoads, SiteView, SuspectRecord};
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::claims::ClaimMessage;
use crate::config_versions::ConfigVersions;
use crate::crowding::Crowding;
use crate::endpoint_contact::EndpointContact;
use crate::loop_idle_time::LoopIdleTime;
use crate::relay::RequestLookup;
use crate::site::{CarriedCount, Hint};
use crate::state::{StateEvent, View};
use crate::store_freshness::StoreFreshness;
use crate::{Clock, Metrics, Settings};

/// The capacity of a channel between duties, in messages.
pub(crate) const CHANNEL_CAPACITY: usize = 1_024;

/// The phase of the daemon's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The daemon is not stopping.
    Running,
    /// The daemon reports that it is not ready and finishes the requests in flight.
    Draining,
    /// The requests that have not finished get their last answers.
    Closing,
    /// All duties end immediately.
    Stopped,
}

/// The reason why a duty failed.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    /// The duty's thread could not be started.
    #[error("cannot start the thread of duty `{duty}`")]
    Thread {
        /// The duty.
        duty: &'static str,
        /// The reason.
        source: std::io::Error,
    },
    /// The duty's event loop could not be started.
    #[error("cannot start the event loop")]
    Runtime(#[source] std::io::Error),
    /// The daemon cannot listen on an address.
    #[error("cannot listen on {address}; check `listen` in the settings")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// The daemon cannot listen on its address for peers.
    #[error("cannot listen for peers on {address}; check `listen.peers` in the settings")]
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

/// The settings, clock, channels and published state that the duties of one daemon share.
#[derive(Clone)]
pub struct DutyContext {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's metrics.
    pub metrics: Arc<Metrics>,
    /// Sends events to the state duty.
    pub(crate) state: async_channel::Sender<StateEvent>,
    /// Receives the events sent to `state`; only the state duty reads it.
    pub(crate) state_events: async_channel::Receiver<StateEvent>,
    /// Sends requests to the claims duty.
    pub(crate) claims: async_channel::Sender<ClaimMessage>,
    /// Receives the requests sent to `claims`; only the claims duty reads it.
    pub(crate) claim_messages: async_channel::Receiver<ClaimMessage>,
    /// Sends operators' lookups of past requests to the relay.
    pub(crate) lookups: async_channel::Sender<RequestLookup>,
    /// Receives the lookups sent to `lookups`; only the relay reads it.
    pub(crate) lookup_messages: async_channel::Receiver<RequestLookup>,
    /// The daemon's state, as last published.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Publishes `view`; used by the state duty.
    pub(crate) publish_view: Arc<watch::Sender<Arc<View>>>,
    /// The state of the site, as last published.
    pub(crate) site: watch::Receiver<Arc<SiteView>>,
    /// Publishes `site`; used by the duty `site-control`.
    pub(crate) publish_site: Arc<watch::Sender<Arc<SiteView>>>,
    /// The age of the state in `site`.
    pub(crate) store_freshness: Arc<StoreFreshness>,
    /// Which way leads to each endpoint, as all threads have found.
    pub(crate) endpoint_paths: Arc<Mutex<EndpointPaths>>,
    /// Whether this daemon turns callers away.
    pub(crate) crowding: Arc<Crowding>,
    /// When this daemon last received anything from an endpoint.
    pub(crate) endpoint_contact: Arc<EndpointContact>,
    /// The requests in flight at all daemons by model, as last published.
    pub(crate) model_loads: watch::Receiver<Arc<ModelLoads>>,
    /// Publishes `model_loads`; used by the request path.
    pub(crate) publish_model_loads: Arc<watch::Sender<Arc<ModelLoads>>>,
    /// The entries that this daemon adds to the store's record of requests suspected of crashing boxes.
    pub(crate) suspects: watch::Receiver<Arc<SuspectRecord>>,
    /// Publishes `suspects`; used by the request path.
    pub(crate) publish_suspects: Arc<watch::Sender<Arc<SuspectRecord>>>,
    /// Sends the request path's hints about boxes that need a probe.
    pub(crate) hints: async_channel::Sender<Hint>,
    /// Receives the hints sent to `hints`; only the duty `site-control` reads it.
    pub(crate) hint_events: async_channel::Receiver<Hint>,
    /// The last versions of the configuration, for exchange with peers.
    pub(crate) config_versions: ConfigVersions,
    /// How many requests of peers this daemon carries.
    pub(crate) carried: CarriedCount,
    /// Publishes the phase of the shutdown.
    pub(crate) stop: Arc<watch::Sender<StopPhase>>,
}

impl DutyContext {
    /// Creates the context of a daemon whose clock starts now.
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
            endpoint_paths: Arc::new(Mutex::new(EndpointPaths::new(crate::clock::unix_millis()))),
            crowding: Arc::default(),
            endpoint_contact: Arc::default(),
            model_loads,
            publish_model_loads: Arc::new(publish_model_loads),
            suspects,
            publish_suspects: Arc::new(publish_suspects),
            hints,
            hint_events,
            carried: CarriedCount::default(),
            stop: Arc::new(stop),
        }
    }

    /// Begins a graceful shutdown, unless one is in progress.
    pub fn drain(&self) {
        self.advance_stop(StopPhase::Draining);
    }

    /// Ends the wait for the requests in flight.
    pub(crate) fn close(&self) {
        self.advance_stop(StopPhase::Closing);
    }

    /// Moves the shutdown on to a phase, unless it has reached that.
    fn advance_stop(&self, next: StopPhase) {
        self.stop.send_if_modified(|phase| {
            let begins = *phase < next;
            if begins {
                *phase = next;
            }
            begins
        });
    }

    /// Returns the phase of the shutdown.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Waits until the shutdown has reached `phase`.
    pub(crate) async fn wait_for_stop(&self, phase: StopPhase) {
        let mut stop = self.stop.subscribe();
        // Cannot fail: this context holds the sender.
        let _ = stop.wait_for(|now| *now >= phase).await;
    }

    /// Returns which way leads to each endpoint.
    pub(crate) fn paths(&self) -> MutexGuard<'_, EndpointPaths> {
        lock_paths(&self.endpoint_paths)
    }

    /// Returns the last published view.
    pub(crate) fn current_view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Sends an event to the state duty, or drops and counts it if the channel is full.
    ///
    /// A dropped event is not lost for good: its records arrive with the next comparison with a peer, its
    /// evidence with the next probe.
    pub(crate) fn send_to_state(&self, event: StateEvent) {
        if self.state.try_send(event).is_err() {
            self.metrics.ring_full.with_label_values(&["state"]).inc();
        }
    }

    /// Asks the duty that monitors boxes to check one. The hint is dropped and counted if the channel
    /// is full.
    pub(crate) fn hint(&self, hint: Hint) {
        if self.hints.try_send(hint).is_err() {
            self.metrics.ring_full.with_label_values(&["hints"]).inc();
        }
    }

    /// Runs a duty's future to completion on an event loop of the current thread.
    pub(crate) fn run_local<F: Future>(&self, duty: F) -> Result<F::Output, DutyError> {
        run_on(&mut Builder::new_current_thread(), duty)
    }

    /// Does the same as [`Self::run_local`] and measures how long the loop waits for events.
    pub(crate) fn run_measured<F: Future>(
        &self,
        idle: &LoopIdleTime,
        duty: F,
    ) -> Result<F::Output, DutyError> {
        let mut runtime = Builder::new_current_thread();
        idle.observe(&mut runtime);
        run_on(&mut runtime, duty)
    }
}

fn run_on<F: Future>(runtime: &mut Builder, duty: F) -> Result<F::Output, DutyError> {
    let runtime = runtime.enable_all().build().map_err(DutyError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, duty))
}

/// Locks which way leads to each endpoint.
pub(crate) fn lock_paths(paths: &Mutex<EndpointPaths>) -> MutexGuard<'_, EndpointPaths> {
    // No change of it panics half-way.
    paths.lock().unwrap_or_else(PoisonError::into_inner)
}
