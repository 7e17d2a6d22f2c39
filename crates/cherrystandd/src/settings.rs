//! The daemon's settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use cherrystand_core::{
    AdmissionLimits, Millis, NodeId, Policy, PropagationBudget, RegionId, RepairPolicy, RepairRule,
    RetryBounds, ReturnModel, SettingsError, SettingsErrorKind, ZoneId, settings_from_toml,
};
use serde::Deserialize;

/// The maximum size of all buffered bodies if the daemon's memory size is not set, in bytes.
const DEFAULT_BUFFER_BYTES: usize = 32 << 20;

/// The daemon buffers bodies in at most this fraction (1/n) of its memory. Its state and the buffers of
/// connections each need as much.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// The highest bandwidth accepted for the machine's network link, in Mbit/s.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// The settings that one daemon reads at its start.
///
/// Documented in docs/operators/settings.md; a test checks that page against these types.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique among all daemons.
    pub node: NodeId,
    /// The availability zone that the daemon runs in.
    pub zone: ZoneId,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The address of the platform.
    pub platform: Platform,
    /// Addresses of other daemons to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on the load that the daemon accepts.
    #[serde(default)]
    pub limits: Limits,
    /// The behaviour of boxes and the weight store, from which the cost of repairs is estimated.
    #[serde(default)]
    pub repair: Repair,
    /// The daemon's shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Set if the platform's store holds one configuration of routes; left out if operators configure
    /// workspaces through the daemon.
    #[serde(default)]
    pub site: Option<SiteSettings>,
    /// Switches for decisions in deployments with configured routes.
    #[serde(default)]
    pub policy: Policy,
    /// Settings for tests only, which a release build rejects.
    #[serde(default)]
    pub testing: Testing,
}

/// Settings for tests only.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Testing {
    /// The time by which SIGUSR1 advances the daemon's clock to simulate a suspension of its machine, in
    /// milliseconds; 0 leaves the signal's default action in place.
    #[serde(default)]
    pub suspended_ms: u64,
}

/// Settings of deployments with configured routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// The address on which the load balancer in front checks whether the daemon is ready.
    pub ready: SocketAddr,
    /// The address on which peers read the store's changes from this daemon.
    pub changes: SocketAddr,
    /// Whether this is the first start of the whole deployment.
    #[serde(default)]
    pub first_start: bool,
    /// The time that a shutdown may take, in milliseconds.
    pub grace_ms: u64,
    /// Retries allowed per request, over all daemons.
    pub retry_ratio: f64,
    /// Retries allowed in one window beyond `retry_ratio`, over all daemons.
    pub retry_slack: f64,
    /// The sliding window for `retry_ratio` and `retry_slack`, in seconds.
    pub retry_window_s: u64,
    /// The time within which all daemons stop sending to an endpoint that is leaving, in
    /// milliseconds.
    #[serde(default = "default_propagation_ms")]
    pub drain_ms: u64,
    /// The time within which a configuration is in force at all daemons, in milliseconds.
    #[serde(default = "default_propagation_ms")]
    pub config_apply_ms: u64,
    /// The time within which all daemons stop sending to an evacuated availability zone, in milliseconds;
    /// left out if zones are never evacuated.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// The region of each availability zone. A request that is restricted to regions is sent only to
    /// zones of those regions.
    #[serde(default)]
    pub regions: BTreeMap<ZoneId, RegionId>,
}

fn default_propagation_ms() -> u64 {
    PropagationBudget::DEFAULT_BOUND.0
}

impl SiteSettings {
    /// Returns the budget for the time in which a change reaches all daemons. All kinds of changes take
    /// the same path, so the shortest bound applies.
    pub fn propagation_budget(&self) -> PropagationBudget {
        let smallest = self.drain_ms.min(self.config_apply_ms);
        PropagationBudget::new(Millis(
            self.evacuate_ms.map_or(smallest, |evacuate| evacuate.min(smallest)),
        ))
    }

    /// Returns the bounds on retries over all daemons.
    pub fn retry_bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Millis::from_secs(self.retry_window_s),
        }
    }
}

/// The addresses that the daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other daemons.
    pub peers: SocketAddr,
}

/// The address of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the key-value service and the box list.
    pub address: SocketAddr,
}

/// Limits on the load that the daemon accepts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of concurrent requests of all classes.
    pub requests: u32,
    /// The number of concurrent requests reserved for the class `consent`.
    pub consent_requests: u32,
    /// The share of the unreserved requests that the class `batch` may use, in percent.
    pub batch_percent: u32,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The bandwidth of the machine's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: f64,
    /// The memory that the daemon may use, in MB; 0 if unknown.
    pub memory_mb: usize,
    /// The file descriptors that the daemon may open; 0 if unknown.
    pub max_fds: u32,
    /// The deadline of a model request whose caller sets none, in milliseconds.
    pub model_deadline_ms: u64,
    /// The deadline of a service request whose caller sets none, in milliseconds.
    pub service_deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        let admission = AdmissionLimits::default();
        Self {
            requests: admission.total,
            consent_requests: admission.reserved_for_consent,
            batch_percent: admission.batch_percent,
            body_bytes: 8 << 20,
            link_mbps: 0.0,
            memory_mb: 0,
            max_fds: 0,
            model_deadline_ms: 60_000,
            service_deadline_ms: 5_000,
        }
    }
}

impl Limits {
    /// Returns the maximum size of all buffered bodies, in bytes.
    pub fn max_buffer_bytes(&self) -> usize {
        match self.memory_mb {
            0 => DEFAULT_BUFFER_BYTES,
            memory => (memory << 20) / BUFFER_MEMORY_DIVISOR,
        }
    }

    /// Returns the limits for the admission of requests.
    pub fn admission_limits(&self) -> AdmissionLimits {
        AdmissionLimits {
            total: self.requests,
            reserved_for_consent: self.consent_requests,
            batch_percent: self.batch_percent,
        }
    }
}

/// The behaviour of boxes and the weight store, from which the cost of repairs is estimated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Repair {
    /// The number of boxes of one domain that may load weights at the same time.
    pub loads_at_once: u32,
    /// The time to load one box's weights, in seconds.
    pub load_seconds: f64,
    /// The time in which a box with its weights in memory rejoins a replica, in seconds.
    pub rejoin_seconds: f64,
    /// The mean time in which a restarting box comes back, in seconds.
    pub restart_seconds: f64,
    /// The fraction of lost boxes that come back, from 0 to 1.
    pub restart_share: f64,
    /// The interval between two probes of a box, in milliseconds.
    pub probe_ms: u64,
}

impl Default for Repair {
    fn default() -> Self {
        let policy = RepairPolicy::default();
        Self {
            loads_at_once: policy.loads_at_once,
            load_seconds: policy.load_secs,
            rejoin_seconds: policy.rejoin_secs,
            restart_seconds: policy.returns.mean_restart_secs,
            restart_share: policy.returns.restart_share,
            probe_ms: 1_000,
        }
    }
}

impl Repair {
    /// Returns the repair policy of the controllers.
    pub fn policy(&self) -> RepairPolicy {
        RepairPolicy {
            loads_at_once: self.loads_at_once,
            load_secs: self.load_seconds,
            rejoin_secs: self.rejoin_seconds,
            returns: ReturnModel {
                restart_share: self.restart_share,
                mean_restart_secs: self.restart_seconds,
            },
            rule: RepairRule::Priced,
        }
    }
}

/// The daemon's shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// The time for which the daemon still accepts requests after it has reported that it is not ready,
    /// in milliseconds. The load balancer in front has to notice within this time.
    pub linger_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { linger_ms: 5_000 }
    }
}

/// The reason why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadSettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot read the file; check that it exists and its permissions")]
    Unreadable {
        /// The file.
        file: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A setting is invalid.
    #[error("{file}: {source}")]
    Invalid {
        /// The file.
        file: String,
        /// The invalid setting.
        source: SettingsError,
    },
}

impl Settings {
    /// Returns the region of each availability zone for which one is set.
    pub fn regions(&self) -> &BTreeMap<ZoneId, RegionId> {
        static NONE: BTreeMap<ZoneId, RegionId> = BTreeMap::new();
        self.site.as_ref().map_or(&NONE, |site| &site.regions)
    }

    /// Reads and checks settings from a file.
    ///
    /// # Errors
    ///
    /// Returns a [`LoadSettingsError`] with the file, and the line and key of an invalid setting.
    pub fn load(path: &Path) -> Result<Self, LoadSettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| {
            let file = file.clone();
            LoadSettingsError::Unreadable { file, source }
        })?;
        Self::from_toml(&text).map_err(|source| LoadSettingsError::Invalid { file, source })
    }

    /// Reads and checks settings from TOML.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] with the line and key of the invalid setting.
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = settings_from_toml(text)?;
        settings.check().map_err(|err| err.locate(text))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        check_name("node", self.node.as_str())?;
        check_name("zone", self.zone.as_str())?;
        self.check_addresses()?;
        self.check_limits()?;
        self.check_repair()?;
        self.check_policy()?;
        self.check_testing(cfg!(debug_assertions))?;
        self.check_site()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let listen = &self.listen;
        let addresses = [listen.callers, listen.operators, listen.peers];
        let has_duplicate = addresses[0] == addresses[1]
            || addresses[0] == addresses[2]
            || addresses[1] == addresses[2];
        if has_duplicate && addresses.iter().all(|address| address.port() != 0) {
            return Err(SettingsError::new(
                SettingsErrorKind::Conflict,
                "operators",
                listen.operators,
                "three different addresses for `callers`, `operators` and `peers`",
            ));
        }
        Ok(())
    }

    fn check_policy(&self) -> Result<(), SettingsError> {
        let cost = self.policy.far_cost;
        if !(0.0..=1.0).contains(&cost) {
            return Err(invalid_value("far_cost", cost, "0 to 1"));
        }
        Ok(())
    }

    fn check_testing(&self, is_test_build: bool) -> Result<(), SettingsError> {
        let suspended = self.testing.suspended_ms;
        if suspended > 0 && !is_test_build {
            return Err(invalid_value("suspended_ms", suspended, "0 in a release build"));
        }
        Ok(())
    }

    fn check_site(&self) -> Result<(), SettingsError> {
        let Some(site) = &self.site else {
            return Ok(());
        };
        let ratio = site.retry_ratio;
        if !(0.0..=1.0).contains(&ratio) {
            return Err(invalid_value("retry_ratio", ratio, "0 to 1"));
        }
        let slack = site.retry_slack;
        if !slack.is_finite() || slack < 0.0 {
            return Err(invalid_value("retry_slack", slack, "a number, 0 or more"));
        }
        if site.retry_window_s == 0 {
            return Err(invalid_value("retry_window_s", 0, "a whole number, 1 or more"));
        }
        let bounds = [
            ("drain_ms", Some(site.drain_ms)),
            ("config_apply_ms", Some(site.config_apply_ms)),
            ("evacuate_ms", site.evacuate_ms),
        ];
        for (key, bound) in bounds {
            if bound.is_some_and(|bound| bound < PropagationBudget::MIN_BOUND.0) {
                return Err(invalid_value(key, bound.unwrap_or_default(), "2000 or more"));
            }
        }
        if site.grace_ms <= self.stop.linger_ms {
            return Err(SettingsError::new(
                SettingsErrorKind::Conflict,
                "grace_ms",
                site.grace_ms,
                "more than `stop.linger_ms`",
            ));
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        if limits.requests == 0 {
            return Err(invalid_value("requests", 0, "a whole number, 1 or more"));
        }
        if limits.consent_requests >= limits.requests {
            return Err(SettingsError::new(
                SettingsErrorKind::Conflict,
                "consent_requests",
                limits.consent_requests,
                "less than `requests`",
            ));
        }
        if !(0.0..=MAX_LINK_MBPS).contains(&limits.link_mbps) {
            return Err(invalid_value("link_mbps", limits.link_mbps, "0 to 1000000"));
        }
        if limits.batch_percent > 100 {
            return Err(invalid_value("batch_percent", limits.batch_percent, "0 to 100"));
        }
        if limits.body_bytes == 0 {
            return Err(invalid_value("body_bytes", 0, "a whole number, 1 or more"));
        }
        Ok(())
    }

    fn check_repair(&self) -> Result<(), SettingsError> {
        let repair = &self.repair;
        if repair.loads_at_once == 0 {
            return Err(invalid_value("loads_at_once", 0, "a whole number, 1 or more"));
        }
        if !(0.0..=1.0).contains(&repair.restart_share) {
            return Err(invalid_value("restart_share", repair.restart_share, "0 to 1"));
        }
        let seconds = [
            ("load_seconds", repair.load_seconds),
            ("rejoin_seconds", repair.rejoin_seconds),
            ("restart_seconds", repair.restart_seconds),
        ];
        for (key, value) in seconds {
            if !value.is_finite() || value <= 0.0 {
                return Err(invalid_value(key, value, "a number above 0"));
            }
        }
        if !(100..=1_000).contains(&repair.probe_ms) {
            return Err(invalid_value("probe_ms", repair.probe_ms, "100 to 1000"));
        }
        Ok(())
    }
}

fn invalid_value(key: &str, value: impl std::fmt::Display, allowed: &str) -> SettingsError {
    SettingsError::new(SettingsErrorKind::InvalidValue, key, value, allowed)
}

fn check_name(key: &str, name: &str) -> Result<(), SettingsError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !name.is_empty() && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(invalid_value(key, name, "letters, digits, `-` and `_`, at least one"))
}
