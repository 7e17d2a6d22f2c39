//! Admission control for requests on one node.

use std::collections::BTreeMap;

use crate::{Class, Millis, Refusal, RefusalReason, WorkspaceId};

/// Once this percentage of the shared limit is in use, each workspace is held to its fair share.
const FAIR_SHARE_THRESHOLD_PERCENT: u32 = 75;

/// The retry delay named to a caller that is refused because the node is full.
const RETRY_AFTER: Millis = Millis(1_000);

/// Limits how many requests a node holds at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests of all classes.
    pub total: u32,
    /// The part of `total` that is reserved for consent requests.
    pub reserved_for_consent: u32,
    /// The part of the remaining limit that batch requests may use, in percent.
    pub batch_percent: u32,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self { total: 2_048, reserved_for_consent: 256, batch_percent: 50 }
    }
}

/// Admits requests by class and workspace.
///
/// Consent requests have a reserved part that no other class can use. Once the shared rest is busy,
/// each workspace is held to an equal share of it.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    limits: AdmissionLimits,
    by_class: BTreeMap<Class, u32>,
    workspaces: BTreeMap<WorkspaceId, u32>,
}

impl Admission {
    /// Creates an admission control without requests.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Admits a request, which counts until [`Admission::release`] is called.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] when the limit of the class or of the workspace is reached.
    pub fn admit(&mut self, class: Class, workspace: &WorkspaceId) -> Result<(), Refusal> {
        let refuse = |reason| Err(Refusal::with_retry_after(reason, RETRY_AFTER));
        if self.in_flight() >= self.limit_for(class) || self.is_class_full(class) {
            return refuse(RefusalReason::NodeFull);
        }
        if class != Class::Consent && self.exceeds_fair_share(workspace) {
            return refuse(RefusalReason::WorkspaceShare);
        }
        *self.by_class.entry(class).or_default() += 1;
        if class != Class::Consent {
            *self.workspaces.entry(workspace.clone()).or_default() += 1;
        }
        Ok(())
    }

    /// Ends an admitted request.
    pub fn release(&mut self, class: Class, workspace: &WorkspaceId) {
        if let Some(count) = self.by_class.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
        if class == Class::Consent {
            return;
        }
        if let Some(count) = self.workspaces.get_mut(workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.workspaces.remove(workspace);
            }
        }
    }

    /// Returns how many admitted requests have not ended.
    pub fn in_flight(&self) -> u32 {
        self.by_class.values().sum()
    }

    fn shared_limit(&self) -> u32 {
        self.limits.total.saturating_sub(self.limits.reserved_for_consent)
    }

    fn limit_for(&self, class: Class) -> u32 {
        match class {
            Class::Consent => self.limits.total,
            Class::Interactive | Class::Batch => {
                self.shared_limit().saturating_add(self.in_flight_of(Class::Consent))
            }
        }
    }

    fn is_class_full(&self, class: Class) -> bool {
        let batch_limit = self.shared_limit() * self.limits.batch_percent / 100;
        class == Class::Batch && self.in_flight_of(Class::Batch) >= batch_limit
    }

    fn in_flight_of(&self, class: Class) -> u32 {
        self.by_class.get(&class).copied().unwrap_or(0)
    }

    fn exceeds_fair_share(&self, workspace: &WorkspaceId) -> bool {
        let shared_in_flight = self.in_flight() - self.in_flight_of(Class::Consent);
        if shared_in_flight * 100 < self.shared_limit() * FAIR_SHARE_THRESHOLD_PERCENT {
            return false;
        }
        let held = self.workspaces.get(workspace).copied().unwrap_or(0);
        let workspaces = self.workspaces.len() as u32 + u32::from(held == 0);
        workspaces > 1 && held >= self.shared_limit() / workspaces
    }
}
