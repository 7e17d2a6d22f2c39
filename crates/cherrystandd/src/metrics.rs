//! The daemon's metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cherrystand_core::{
    AttemptEnd, Class, MachineResource, NoRetry, Outcome, RefusalReason, StreamEnd,
};
use cherrystand_peer::UnpackError;
use cherrystand_platform::ConnectionEnd;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::site::RefusedKind;

/// Upper bounds of the histogram buckets for durations, in seconds.
const TIME_BUCKETS: [f64; 13] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1.0, 2.0, 2.5, 10.0];

/// All metrics of the daemon; docs/operators/metrics.md explains what each is for.
pub struct Metrics {
    registry: Registry,
    /// Requests received, by class.
    pub requests: IntCounterVec,
    /// Answers sent, by outcome and status.
    pub answers: IntCounterVec,
    /// Requests refused, by reason.
    pub refusals: IntCounterVec,
    /// Attempts sent to endpoints, by how they ended.
    pub attempts: IntCounterVec,
    /// Requests that endpoints rejected, by whether the endpoint asked for a backoff.
    pub endpoint_refusals: IntCounterVec,
    /// Endpoints that announced in an answer that they are leaving.
    pub endpoints_leaving: IntCounter,
    /// Answers in which endpoints stated a rate limit, by whether it could be parsed.
    pub limits_named: IntCounterVec,
    /// Retries, by how the previous attempt ended.
    pub retries: IntCounterVec,
    /// Failed attempts that were not retried, by reason.
    pub retries_withheld: IntCounterVec,
    /// Streams, by how they ended.
    pub stream_ends: IntCounterVec,
    /// Answers cut off by the crash of the box that produced them.
    pub answers_ended_with_box: IntCounter,
    /// Requests refused because every replica that ran them crashed.
    pub requests_refused_for_ends: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// New connections of callers that were turned away, by the resource that was short.
    pub connections_turned_away: IntCounterVec,
    /// Connections of callers that ended, by how far they were.
    pub connection_ends: IntCounterVec,
    /// The share of each resource of the machine that callers' requests use, in percent.
    pub machine_use: IntGaugeVec,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte: Histogram,
    /// Changes to claims on calls, by answer.
    pub claims: IntCounterVec,
    /// Calls to the platform, by duty and result.
    pub platform_calls: IntCounterVec,
    /// Time until the platform answered a call, beyond what the call allowed it to wait, in seconds.
    pub platform_call_time: HistogramVec,
    /// Bytes sent to and received from peers, by direction and kind of message.
    pub peer_bytes: IntCounterVec,
    /// Failed exchanges with peers.
    pub peer_failures: IntCounter,
    /// Probes of engines, by result.
    pub probes: IntCounterVec,
    /// Orders to engines, by result.
    pub orders: IntCounterVec,
    /// Time until a box answered an order or a probe, or until the call timed out, in seconds.
    pub box_call_time: HistogramVec,
    /// Endpoints that this daemon reaches only through peers.
    pub endpoints_indirect: IntGauge,
    /// Searches for peers that reach an endpoint, by result.
    pub path_searches: IntCounterVec,
    /// Requests that peers carried for this daemon or this daemon for peers, by way and end.
    pub carried_requests: IntCounterVec,
    /// Connections to endpoints that could not be opened, by reason.
    pub connect_failures: IntCounterVec,
    /// Verdicts on boxes that did not answer a probe.
    pub silence_verdicts: IntCounterVec,
    /// Age of an update from a peer when it arrives, by kind, in seconds.
    pub news_age: HistogramVec,
    /// Age of the copy of the store's records when a request is sent, in seconds.
    pub news_age_at_send: Histogram,
    /// Configurations from peers that were rejected, by reason.
    pub versions_refused: IntCounterVec,
    /// Values of the platform's store that were rejected as invalid, by kind.
    pub values_refused: IntCounterVec,
    /// Replicas that requests can be routed to.
    pub serving_replicas: IntGauge,
    /// The accepted generation of each known workspace.
    pub generation: IntGaugeVec,
    /// Time since this daemon or a peer that it heard from last read the platform, in seconds.
    pub platform_age: IntGauge,
    /// Pauses of this process that it detected.
    pub pauses: IntCounter,
    /// Messages dropped because a channel between duties was full, by channel.
    pub ring_full: IntCounterVec,
    /// Bytes of request and answer bodies buffered in memory; `render` copies them into the gauge.
    pub bytes_held: Arc<AtomicUsize>,
    bytes_held_gauge: IntGauge,
    /// Availability zones that are evacuated, as far as this daemon knows.
    pub zones_evacuated: IntGauge,
    /// The number of times that the platform's store was restored from a backup.
    pub store_era: IntGauge,
    /// Endpoints in a cold start, as far as this daemon knows.
    pub endpoints_cold: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero. Label values that are known in advance are created too, so that a
    /// count of zero is reported.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let factory = MetricFactory { registry: &registry };
        let metrics = Self {
            requests: factory.counters("requests_total", "Requests taken.", &["class"])?,
            answers: factory.counters("answers_total", "Answers given.", &["outcome", "status"])?,
            refusals: factory.counters("refusals_total", "Requests refused.", &["reason"])?,
            attempts: factory.counters("attempts_total", "Attempts at endpoints.", &["end"])?,
            endpoint_refusals: factory.counters(
                "endpoint_refusals_total",
                "Requests that endpoints turned away.",
                &["rest"],
            )?,
            endpoints_leaving: factory.counter(
                "endpoints_leaving_total",
                "Endpoints that said in their answers that they leave.",
            )?,
            limits_named: factory.counters(
                "endpoint_limits_named_total",
                "Answers in which endpoints named how many requests they take.",
                &["limit"],
            )?,
            retries: factory.counters("retries_total", "Attempts tried again.", &["after"])?,
            retries_withheld: factory.counters(
                "retries_withheld_total",
                "Failed attempts not tried again.",
                &["reason"],
            )?,
            stream_ends: factory.counters("stream_ends_total", "Ends of streams.", &["end"])?,
            answers_ended_with_box: factory.counter(
                "answers_ended_with_box_total",
                "Answers that ended with the boxes that were making them.",
            )?,
            requests_refused_for_ends: factory.gauge(
                "requests_refused_for_ends",
                "Requests refused since each replica ended that ran them.",
            )?,
            in_flight: factory.gauge("requests_in_flight", "Requests in flight.")?,
            caller_connections: factory
                .gauge("caller_connections", "Open connections of callers.")?,
            connections_turned_away: factory.counters(
                "connections_turned_away_total",
                "New connections of callers that were closed unread.",
                &["resource"],
            )?,
            connection_ends: factory.counters(
                "caller_connection_ends_total",
                "Connections of callers that ended, by how far they were.",
                &["end"],
            )?,
            machine_use: factory.gauges(
                "machine_use_percent",
                "What callers' requests use of the machine.",
                &["resource"],
            )?,
            first_byte: factory.histogram("first_byte_seconds", "Time to the first byte.")?,
            claims: factory.counters("claims_total", "Claims on calls.", &["answer"])?,
            platform_calls: factory.counters(
                "platform_calls_total",
                "Calls to the platform.",
                &["duty", "result"],
            )?,
            platform_call_time: factory.histograms(
                "platform_call_seconds",
                "Time until the platform answered, or was waited for in vain.",
                &["call", "result"],
            )?,
            peer_bytes: factory.counters(
                "peer_bytes_total",
                "Bytes to and from peers.",
                &["way", "kind"],
            )?,
            peer_failures: factory.counter("peer_failures_total", "Exchanges that failed.")?,
            probes: factory.counters("probes_total", "Probes of engines.", &["result"])?,
            orders: factory.counters("orders_total", "Orders to engines.", &["result"])?,
            box_call_time: factory.histograms(
                "box_call_seconds",
                "Time until a box answered or was waited for in vain.",
                &["call", "result"],
            )?,
            connect_failures: factory.counters(
                "endpoint_connect_failures_total",
                "Connections to endpoints that could not be opened.",
                &["reason"],
            )?,
            endpoints_indirect: factory
                .gauge("endpoints_indirect", "Endpoints that only peers reach.")?,
            path_searches: factory.counters(
                "path_searches_total",
                "Searches for peers that reach an endpoint.",
                &["result"],
            )?,
            carried_requests: factory.counters(
                "carried_requests_total",
                "Requests to endpoints that peers carried, or this daemon for peers.",
                &["way", "end"],
            )?,
            silence_verdicts: factory.counters(
                "silence_verdicts_total",
                "Verdicts on boxes that did not answer.",
                &["verdict"],
            )?,
            news_age: factory.histograms(
                "news_age_seconds",
                "Age of what a peer passed on when it arrived.",
                &["kind"],
            )?,
            news_age_at_send: factory.histogram(
                "news_age_at_send_seconds",
                "Age of what is known of the store as a request is sent.",
            )?,
            versions_refused: factory.counters(
                "versions_refused_total",
                "Configurations of peers that were refused.",
                &["reason"],
            )?,
            values_refused: factory.counters(
                "values_refused_total",
                "Values of the platform's store that could not be used.",
                &["kind"],
            )?,
            serving_replicas: factory.gauge("serving_replicas", "Replicas that can be chosen.")?,
            generation: factory.gauges("generation", "Accepted generation.", &["workspace"])?,
            platform_age: factory.gauge("platform_age_seconds", "Age of the platform's news.")?,
            pauses: factory.counter("pauses_total", "Pauses of this process.")?,
            ring_full: factory.counters("ring_full_total", "Events given up.", &["ring"])?,
            bytes_held: Arc::default(),
            bytes_held_gauge: factory
                .gauge("bytes_held", "Bytes of bodies that are held whole.")?,
            zones_evacuated: factory
                .gauge("zones_evacuated", "Availability zones that operators have emptied.")?,
            store_era: factory.gauge("store_era", "Returns of the store from a copy.")?,
            endpoints_cold: factory.gauge("endpoints_cold", "Endpoints that are cold.")?,
            registry,
        };
        metrics.init_label_values();
        Ok(metrics)
    }

    fn init_label_values(&self) {
        for reason in UnpackError::ALL {
            self.versions_refused.with_label_values(&[reason]);
        }
        for class in [Class::Consent, Class::Interactive, Class::Batch] {
            self.requests.with_label_values(&[class.as_str()]);
        }
        for reason in RefusalReason::ALL {
            self.refusals.with_label_values(&[reason.as_str()]);
        }
        for end in AttemptEnd::ALL {
            self.attempts.with_label_values(&[end.as_str()]);
            self.retries.with_label_values(&[end.as_str()]);
        }
        for backoff in ["none", "asked", "unreadable"] {
            self.endpoint_refusals.with_label_values(&[backoff]);
        }
        for limit in ["named", "unreadable"] {
            self.limits_named.with_label_values(&[limit]);
        }
        for resource in MachineResource::ALL {
            self.connections_turned_away.with_label_values(&[resource.as_str()]);
        }
        for end in ConnectionEnd::ALL {
            self.connection_ends.with_label_values(&[end.as_str()]);
        }
        for kind in RefusedKind::ALL {
            self.values_refused.with_label_values(&[kind.as_str()]);
        }
        for end in StreamEnd::ALL {
            self.stream_ends.with_label_values(&[end.as_str()]);
        }
        for reason in NoRetry::ALL {
            self.retries_withheld.with_label_values(&[reason.as_str()]);
        }
    }

    /// Counts an answer.
    pub fn record_answer(&self, outcome: Outcome, status: u16) {
        let status = status.to_string();
        self.answers.with_label_values(&[outcome.as_str(), &status]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.bytes_held_gauge.set(self.bytes_held.load(Ordering::Relaxed) as i64);
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}

struct MetricFactory<'a> {
    registry: &'a Registry,
}

impl MetricFactory<'_> {
    fn opts(name: &str, help: &str) -> Opts {
        Opts::new(name, help).namespace("cherrystand")
    }

    fn time_opts(name: &str, help: &str) -> HistogramOpts {
        HistogramOpts::from(Self::opts(name, help)).buckets(TIME_BUCKETS.to_vec())
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let metric = IntCounterVec::new(Self::opts(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let metric = IntCounter::with_opts(Self::opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let metric = IntGaugeVec::new(Self::opts(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let metric = IntGauge::with_opts(Self::opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let metric = HistogramVec::new(Self::time_opts(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let metric = Histogram::with_opts(Self::time_opts(name, help))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
