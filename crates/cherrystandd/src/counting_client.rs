//! A platform client that counts and times its calls.

use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{Document, Revision, StoreAnswerTime};
use cherrystand_platform::{
    BoxList, Changes, Inventory, KeyValue, Lease, PlatformClient, PlatformError, Swap, since_boot,
};

use crate::{DutyContext, Metrics};

/// From this time on, a call is logged as slow.
const SLOW_CALL: Duration = Duration::from_millis(500);

/// Wraps a platform client, counts its calls by duty and result, and times them.
#[derive(Clone)]
pub(crate) struct CountingClient<K> {
    inner: K,
    metrics: Arc<Metrics>,
    duty: &'static str,
}

impl CountingClient<PlatformClient> {
    /// Creates a client of the platform given in the settings.
    pub(crate) fn new(cx: &DutyContext, duty: &'static str) -> Self {
        let inner = PlatformClient::new(cx.settings.platform.address);
        Self::wrap(inner, cx, duty)
    }
}

impl<K> CountingClient<K> {
    /// Wraps a client that a duty uses.
    pub(crate) fn wrap(inner: K, cx: &DutyContext, duty: &'static str) -> Self {
        Self { inner, metrics: cx.metrics.clone(), duty }
    }

    /// Begins a call that may wait `wait` for a change before it is answered.
    fn begin(&self, call: &'static str, wait: Duration) -> TimedCall {
        let (metrics, duty) = (self.metrics.clone(), self.duty);
        TimedCall { metrics, duty, call, wait, began: since_boot(), result: "abandoned" }
    }
}

/// A call that is under way; it is counted once this is dropped.
struct TimedCall {
    metrics: Arc<Metrics>,
    duty: &'static str,
    call: &'static str,
    wait: Duration,
    began: Duration,
    result: &'static str,
}

impl TimedCall {
    fn end<T>(mut self, outcome: Result<T, PlatformError>) -> Result<T, PlatformError> {
        self.result = match &outcome {
            Ok(_) => "done",
            Err(PlatformError::RateLimited) => "rate-limited",
            Err(_) => "failed",
        };
        outcome
    }
}

impl Drop for TimedCall {
    fn drop(&mut self) {
        let took = since_boot().saturating_sub(self.began).saturating_sub(self.wait);
        self.metrics.platform_calls.with_label_values(&[self.duty, self.result]).inc();
        let times = &self.metrics.platform_call_time;
        times.with_label_values(&[self.call, self.result]).observe(took.as_secs_f64());
        if took >= SLOW_CALL {
            log::info!(
                call = self.call, duty = self.duty, result = self.result,
                took_ms = took.as_millis() as u64;
                "the platform was slow to answer"
            );
        }
    }
}

impl<K: KeyValue> KeyValue for CountingClient<K> {
    async fn get(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        self.begin("get", Duration::ZERO).end(self.inner.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.begin("list", Duration::ZERO).end(self.inner.list(prefix).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.begin("watch", wait).end(self.inner.watch(prefix, after, wait).await)
    }

    async fn swap(&self, key: &str, expected: Revision, body: &str) -> Result<Swap, PlatformError> {
        self.begin("swap", Duration::ZERO).end(self.inner.swap(key, expected, body).await)
    }

    fn answer_time(&self) -> StoreAnswerTime {
        self.inner.answer_time()
    }

    fn take_rejected_era_count(&self) -> u64 {
        self.inner.take_rejected_era_count()
    }

    fn close_idle_connections(&self) {
        self.inner.close_idle_connections();
    }

    async fn lease(
        &self,
        name: &str,
        holder: &str,
        life: Duration,
    ) -> Result<Lease, PlatformError> {
        self.begin("lease", Duration::ZERO).end(self.inner.lease(name, holder, life).await)
    }
}

impl<K: BoxList> BoxList for CountingClient<K> {
    async fn inventory(&self) -> Result<Inventory, PlatformError> {
        self.begin("inventory", Duration::ZERO).end(self.inner.inventory().await)
    }
}
