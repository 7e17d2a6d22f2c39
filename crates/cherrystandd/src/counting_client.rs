//! A platform client that counts its calls.

use std::sync::Arc;
use std::time::Duration;

use cherrystand_core::{Document, Revision};
use cherrystand_platform::{
    BoxList, Changes, Inventory, KeyValue, Lease, PlatformClient, PlatformError, Swap,
};

use crate::{DutyContext, Metrics};

/// Wraps a platform client and counts its calls by duty and result.
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

    fn count<T>(&self, outcome: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let result = match &outcome {
            Ok(_) => "done",
            Err(PlatformError::RateLimited) => "rate-limited",
            Err(_) => "failed",
        };
        self.metrics.platform_calls.with_label_values(&[self.duty, result]).inc();
        outcome
    }
}

impl<K: KeyValue> KeyValue for CountingClient<K> {
    async fn get(&self, key: &str) -> Result<Option<Document>, PlatformError> {
        self.count(self.inner.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.count(self.inner.list(prefix).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.count(self.inner.watch(prefix, after, wait).await)
    }

    async fn swap(&self, key: &str, expected: Revision, body: &str) -> Result<Swap, PlatformError> {
        self.count(self.inner.swap(key, expected, body).await)
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
        self.count(self.inner.lease(name, holder, life).await)
    }
}

impl<K: BoxList> BoxList for CountingClient<K> {
    async fn inventory(&self) -> Result<Inventory, PlatformError> {
        self.count(self.inner.inventory().await)
    }
}
