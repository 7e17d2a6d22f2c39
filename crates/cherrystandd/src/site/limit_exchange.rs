//! Sharing rate limits of endpoints with the other daemons, and lending each other retries.
//!
//! Source: docs/design/0022-limits.md.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{
    EndpointRateLimits, Millis, RateLimitMessage, RateLimitRecipient, RateLimitStep,
    rate_limit_owner_of,
};
use cherrystand_peer::LoadMessage;

use crate::site::load_exchange::Exchange;
use crate::state::View;

/// How often permits are issued and returned while any are asked for.
const STEP_INTERVAL: Millis = Millis(25);

/// How often the known limits are checked while no permits are asked for.
const IDLE_STEP_INTERVAL: Millis = Millis(1_000);

/// Whether there are limits to maintain.
enum LimitActivity {
    /// No limit is known.
    Unused,
    /// Limits are known, but nobody asks for permits.
    Idle,
    /// Permits are being asked for.
    Active,
}

impl Exchange {
    /// Maintains the limits for as long as the daemon serves callers. It sleeps while there are
    /// none.
    pub(super) async fn limit_loop(&self) {
        let clock = self.cx.clock;
        let mut last_view: Option<Arc<View>> = None;
        loop {
            let due = self.loads.limits_due.notified();
            // Waking early only makes the same step happen sooner.
            match self.limit_activity() {
                LimitActivity::Unused => due.await,
                LimitActivity::Idle => {
                    _ = clock.timeout_at(clock.now() + IDLE_STEP_INTERVAL, due).await
                }
                LimitActivity::Active => {
                    _ = clock.timeout_at(clock.now() + STEP_INTERVAL, due).await
                }
            }
            self.step_limits(&mut last_view).await;
        }
    }

    fn limit_activity(&self) -> LimitActivity {
        let (balancer, lent_retries) = (self.balancer.borrow(), self.loads.lent_retries.borrow());
        match balancer.rate_limits().is_idle() && lent_retries.is_idle() {
            false => LimitActivity::Active,
            true if balancer.rate_limits().is_empty() && lent_retries.is_empty() => {
                LimitActivity::Unused
            }
            true => LimitActivity::Idle,
        }
    }

    async fn step_limits(&self, last_view: &mut Option<Arc<View>>) {
        let view = self.cx.current_view();
        let members_changed =
            !last_view.as_ref().is_some_and(|last_view| same_members(last_view, &view));
        *last_view = Some(view.clone());
        let step = self.step(self.balancer.borrow_mut().rate_limits_mut(), members_changed, &view);
        self.send_step(step, LoadMessage::RateLimit, &view).await;
        let step = self.step(&mut self.loads.lent_retries.borrow_mut(), members_changed, &view);
        self.send_step(step, LoadMessage::LentRetries, &view).await;
    }

    /// Performs what is due for one kind of limits: asking for permits, issuing and returning them.
    fn step<K: Ord + Clone + Display>(
        &self,
        limits: &mut EndpointRateLimits<K>,
        members_changed: bool,
        view: &View,
    ) -> RateLimitStep<K> {
        let now = self.cx.clock.now();
        let owner_of = |id: &K| rate_limit_owner_of(id, &view.own.node, &view.members);
        if members_changed {
            limits.reassign_owners(now, owner_of);
        }
        limits.step(now, owner_of)
    }

    async fn send_step<K>(
        &self,
        step: RateLimitStep<K>,
        message_of: impl Fn(K, RateLimitMessage) -> LoadMessage,
        view: &View,
    ) {
        if step.has_permits {
            self.loads.permits.notify_waiters();
        }
        for (to, id, message) in step.messages {
            let message = message_of(id, message);
            match to {
                RateLimitRecipient::Node(address) => self.send(&message, &[address]).await,
                RateLimitRecipient::All => {
                    let others = view.alive().filter(|beat| beat.node != view.own.node);
                    let others: Vec<SocketAddr> = others.map(|beat| beat.address).collect();
                    self.broadcast(message, &others).await;
                }
            }
        }
    }
}

/// Returns whether two views have the same nodes that may own ledgers.
fn same_members(one: &Arc<View>, other: &Arc<View>) -> bool {
    let members = |view: &Arc<View>| {
        let members = view.members.iter();
        let members = members.map(|(beat, standing)| (beat.address, beat.serving, *standing));
        members.collect::<Vec<_>>()
    };
    Arc::ptr_eq(one, other) || members(one) == members(other)
}
