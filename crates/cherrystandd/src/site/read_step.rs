//! Logs what a daemon waited for while its knowledge of the store grew old.

use cherrystand_core::Millis;

use crate::site::control::Control;
use crate::store_freshness::OLD_KNOWLEDGE;

/// One step of reading the store's changes, from the store or from a peer.
pub(crate) struct ReadStep {
    name: &'static str,
    began: Millis,
    /// The age of what was known of the store when the step began.
    age: Millis,
}

impl ReadStep {
    /// Begins a step.
    pub(crate) fn begin(name: &'static str, control: &Control) -> Self {
        let age = control.store_age().unwrap_or_default();
        Self { name, began: control.now(), age }
    }

    /// Ends the step, and logs it if what was known of the store grew old meanwhile.
    pub(crate) fn end(self, control: &Control) {
        let took = control.now().since(self.began);
        let age = self.age + took;
        if age >= OLD_KNOWLEDGE + control.budget().slack() {
            let state = control.state.borrow();
            log::info!(
                step = self.name, took_ms = took.0, age_ms = age.0,
                version = state.config_revision().number(), known_up_to = state.revision().number();
                "a step ended with old knowledge of the store"
            );
        }
    }
}
