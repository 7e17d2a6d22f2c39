//! Keeping up, with the other daemons, how many requests endpoints take.
//!
//! Source: docs/design/0022-limits.md.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;

use cherrystand_core::{EndpointLimits, LimitNews, LimitStep, LimitTo, Millis, limit_keeper_of};
use cherrystand_peer::LoadNews;

use crate::site::load_exchange::Exchange;
use crate::state::View;

/// How often permits are given out and handed back while any are asked for.
const STEP_INTERVAL: Millis = Millis(25);

/// How often what is remembered is looked at, while nothing is asked for.
const IDLE_STEP_INTERVAL: Millis = Millis(1_000);

/// What limits there are to keep up.
enum LimitActivity {
    /// None.
    Unused,
    /// Some, and nobody asks for anything.
    Idle,
    /// Some that are asked for.
    Active,
}

impl Exchange {
    /// Keeps limits up for as long as the front runs; it sleeps while there is none.
    pub(super) async fn limit_loop(&self) {
        let clock = self.cx.clock;
        let mut seen: Option<Arc<View>> = None;
        loop {
            let due = self.loads.limits_due.notified();
            // Nothing comes of being woken but the same step sooner.
            match self.limit_activity() {
                LimitActivity::Unused => due.await,
                LimitActivity::Idle => _ = clock.by(clock.now() + IDLE_STEP_INTERVAL, due).await,
                LimitActivity::Active => _ = clock.by(clock.now() + STEP_INTERVAL, due).await,
            }
            self.step_limits(&mut seen).await;
        }
    }

    fn limit_activity(&self) -> LimitActivity {
        let (balancer, lent_retries) = (self.balancer.borrow(), self.loads.lent_retries.borrow());
        match balancer.limits().is_idle() && lent_retries.is_idle() {
            false => LimitActivity::Active,
            true if balancer.limits().is_empty() && lent_retries.is_empty() => {
                LimitActivity::Unused
            }
            true => LimitActivity::Idle,
        }
    }

    async fn step_limits(&self, seen: &mut Option<Arc<View>>) {
        let view = self.cx.view_now();
        let members_changed = !seen.as_ref().is_some_and(|seen| same_members(seen, &view));
        *seen = Some(view.clone());
        let step = self.step(self.balancer.borrow_mut().limits_mut(), members_changed, &view);
        self.send_step(step, LoadNews::Limit, &view).await;
        let step = self.step(&mut self.loads.lent_retries.borrow_mut(), members_changed, &view);
        self.send_step(step, LoadNews::Repeats, &view).await;
    }

    /// Asks, gives and hands back what is due of one kind of limits.
    fn step<K: Ord + Clone + Display>(
        &self,
        limits: &mut EndpointLimits<K>,
        members_changed: bool,
        view: &View,
    ) -> LimitStep<K> {
        let now = self.cx.clock.now();
        let keeper_of = |id: &K| limit_keeper_of(id, &view.own.node, &view.members);
        if members_changed {
            limits.follow(now, keeper_of);
        }
        limits.step(now, keeper_of)
    }

    async fn send_step<K>(
        &self,
        step: LimitStep<K>,
        news_of: impl Fn(K, LimitNews) -> LoadNews,
        view: &View,
    ) {
        if step.has_permits {
            self.loads.permits.notify_waiters();
        }
        for (to, id, news) in step.news {
            let news = news_of(id, news);
            match to {
                LimitTo::Node(address) => self.send(&news, &[address]).await,
                LimitTo::All => {
                    let others = view.alive().filter(|beat| beat.node != view.own.node);
                    let others: Vec<SocketAddr> = others.map(|beat| beat.address).collect();
                    self.broadcast(news, &others).await;
                }
            }
        }
    }
}

/// Tells whether two views name the same keepers.
fn same_members(one: &Arc<View>, other: &Arc<View>) -> bool {
    let members = |view: &Arc<View>| {
        let members = view.members.iter();
        let members = members.map(|(beat, standing)| (beat.address, beat.serving, *standing));
        members.collect::<Vec<_>>()
    };
    Arc::ptr_eq(one, other) || members(one) == members(other)
}
