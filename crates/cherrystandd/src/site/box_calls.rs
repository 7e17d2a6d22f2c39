//! Calls to boxes: orders, and asking whether they are there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, DomainId, Doubt, MemberOrder, MemberTask, Millis, OrderEnd, Revision, SilenceCheck,
    SilenceVerdict, SiteBox, WITNESS_BEFORE,
};
use cherrystand_platform::{Answer, BoxCall, CallError, SendError, SiteDriver, call_with};

use crate::site::change_sharing::ping;
use crate::site::control::{Control, owns_domain, readers_in};
use crate::site::{Driver, Hint};

/// How long a box may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// How many others are asked beside a box that may be gone: one may be dead as well.
const WITNESS_COUNT: usize = 2;

/// How long a box is not asked again.
const PROBE_INTERVAL: Millis = Millis(1_000);

impl Control {
    /// Sends an order that follows from a record at a revision, and learns from how it ends.
    pub(super) async fn send_order(
        self: &Rc<Self>,
        domain: &DomainId,
        order: MemberOrder,
        record: Revision,
    ) {
        let end = self.call_order(&order, record).await;
        match end {
            OrderEnd::Taken | OrderEnd::Unfit if order.task == MemberTask::Leave => {
                // A box that says that the order does not fit is not in the replica.
                self.state.borrow_mut().mark_left(&order);
                self.wake.notify_one();
            }
            // It is listed for seconds yet, but it is not there.
            OrderEnd::Refused | OrderEnd::OtherBox => {
                self.state.borrow_mut().record_answer(&order.target, false, self.now());
                self.publish_and_wake();
            }
            // It may carry the order out later, or not be there at all, or this daemon is held up.
            OrderEnd::Dark | OrderEnd::Silent => {
                let site_box = self.state.borrow().listed_box(&order.target);
                if let Some(site_box) = site_box {
                    self.probe(site_box, Doubt::NoAnswer).await;
                }
            }
            _ => {}
        }
        let is_silent = self.state.borrow().is_silent(&order.target);
        if let Some(formation) = self.formations.borrow_mut().get_mut(domain) {
            formation.record_order_end(&order, end, is_silent);
        }
    }

    /// Takes in that a box leaves, which is planned for at once; by the store alone it is known only
    /// once the box's entry says so or is gone.
    pub(super) fn box_leaving(&self, id: &BoxId) {
        if self.state.borrow_mut().mark_leaving(id) {
            log::info!(target_box = id.as_str(); "a box leaves, by its own answer");
            self.publish_and_wake();
        }
    }

    /// Takes in whether a box says in an answer of its own that it leaves.
    fn check_leaving(&self, id: &BoxId, answer: &Answer) {
        if Driver::read_answer(answer.status, &answer.headers).leaving {
            self.box_leaving(id);
        }
    }

    async fn call_order(&self, order: &MemberOrder, record: Revision) -> OrderEnd {
        let out = Driver::order_call(order, order.fence(record));
        let sent = self.timed_call(order.task.as_str(), order.address, out, ORDER_TIMEOUT).await;
        let end = match &sent {
            Ok(answer) => Driver::order_end(answer.status),
            Err(CallError::Send(SendError::Connect { .. })) => OrderEnd::Refused,
            Err(CallError::Send(SendError::ConnectTimedOut(_))) => OrderEnd::Dark,
            Err(_) => OrderEnd::Silent,
        };
        let is_alive = matches!(end, OrderEnd::Taken | OrderEnd::Unfit | OrderEnd::Fenced);
        if is_alive {
            self.state.borrow_mut().record_answer(&order.target, true, self.now());
        }
        if let Some(answer) = sent.as_ref().ok().filter(|_| is_alive) {
            self.check_leaving(&order.target, answer);
        }
        let result = if end == OrderEnd::Taken { "followed" } else { "failed" };
        self.cx.metrics.orders.with_label_values(&[result]).inc();
        log::info!(
            target_box = order.target.as_str(), replica = order.replica.as_str(),
            epoch = order.epoch.0, task = order.task.as_str();
            "order {end:?}"
        );
        end
    }

    /// Calls a box, keeping how long the answer took and whether there was one.
    async fn timed_call(
        &self,
        kind: &str,
        address: SocketAddr,
        out: BoxCall,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let answer = call_with(&self.pool, address, out, timeout);
        self.time_call(kind, answer).await
    }

    /// Waits for the answer to a call and notes how long it took and whether there was one.
    async fn time_call<T, E>(
        &self,
        kind: &str,
        answer: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let key = self.call_book.borrow_mut().begin(self.now());
        let answer = answer.await;
        let answered = answer.is_ok();
        let took = self.call_book.borrow_mut().end(key, answered, self.now());
        let result = if answered { "answered" } else { "unanswered" };
        let times = self.cx.metrics.box_call_time.with_label_values(&[kind, result]);
        times.observe(took.as_secs_f64());
        answer
    }

    /// Writes a verdict down with the state of the one that gives it: where many calls are open or
    /// unanswered at once, the daemon is busy rather than the box dead.
    fn log_verdict(&self, id: &BoxId, sent_at: Millis, verdict: SilenceVerdict) {
        self.cx.metrics.silence_verdicts.with_label_values(&[verdict.as_str()]).inc();
        let now = self.now();
        let calls = self.call_book.borrow();
        let state = calls.state(now);
        let text = match verdict {
            SilenceVerdict::Silent => "a box is taken for silent",
            SilenceVerdict::AskAgain => "a box did not answer; it is asked again",
            SilenceVerdict::Undecided => "a box did not answer; nothing follows, as nobody did",
        };
        log::info!(
            target_box = id.as_str(), waited_ms = now.since(sent_at).0, open = state.open,
            unanswered = state.unanswered, answered = state.answered,
            slowest_ms = state.slowest.0,
            quickest_since_ms =
                calls.answered_between(sent_at, now).map_or(-1, |took| took.0 as i64);
            "{text}"
        );
    }

    /// Tells whether this node decides for the domain of a box, where it has one.
    fn decides_for(&self, site_box: &SiteBox) -> bool {
        let view = self.cx.view_now();
        let domain = site_box.domain.as_ref();
        domain.is_none_or(|domain| owns_domain(&view, &readers_in(&view), domain))
    }

    /// Tells whether a box was not asked just now for the same reason, and notes that it is.
    fn may_probe(&self, id: &BoxId, doubt: Doubt) -> bool {
        let now = self.now();
        let mut last_probed = self.last_probed.borrow_mut();
        last_probed.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
        let key = (id.clone(), doubt);
        if last_probed.contains_key(&key) {
            return false;
        }
        last_probed.insert(key, now);
        true
    }

    /// Asks a box that may be gone whether it is there, again where this daemon may be held up.
    async fn probe(self: &Rc<Self>, site_box: SiteBox, doubt: Doubt) {
        if !self.may_probe(&site_box.id, doubt) {
            return;
        }
        self.probing.borrow_mut().insert(site_box.id.clone());
        self.probe_until_known(&site_box, doubt).await;
        self.probing.borrow_mut().remove(&site_box.id);
        // What waited for the answer goes on.
        self.wake.notify_one();
    }

    async fn probe_until_known(self: &Rc<Self>, site_box: &SiteBox, doubt: Doubt) {
        let mut check = SilenceCheck::default();
        loop {
            let sent_at = self.now();
            self.probe_witnesses(site_box);
            let timeout = Duration::from_millis(check.within().0);
            let answer = self
                .timed_call("report", site_box.address, Driver::report_call(&site_box.id), timeout)
                .await;
            let verdict = match &answer {
                Ok(answer) if is_other_box(site_box, answer) => SilenceVerdict::Silent,
                Ok(answer) => {
                    self.count_probe("answered");
                    self.check_leaving(&site_box.id, answer);
                    return self.state.borrow_mut().record_answer(&site_box.id, true, self.now());
                }
                Err(CallError::Send(SendError::Connect { .. })) => SilenceCheck::refused(doubt),
                Err(_) => check.unanswered(sent_at, self.now(), &self.call_book.borrow()),
            };
            self.count_probe("silent");
            self.log_verdict(&site_box.id, sent_at, verdict);
            match verdict {
                SilenceVerdict::AskAgain => {}
                SilenceVerdict::Undecided => return,
                SilenceVerdict::Silent => {
                    self.state.borrow_mut().record_answer(&site_box.id, false, self.now());
                    return self.publish_and_wake();
                }
            }
        }
    }

    /// Calls a peer, or another box where there is none, whose answer shows that this daemon is not
    /// held up itself; unless some call has just begun that shows the same.
    fn probe_witnesses(self: &Rc<Self>, doubted: &SiteBox) {
        let now = self.now();
        if self.witness_probed_at.get().is_some_and(|at| now.since(at) <= WITNESS_BEFORE) {
            return;
        }
        self.witness_probed_at.set(Some(now));
        for _ in 0..WITNESS_COUNT {
            let control = self.clone();
            match self.peers.nearby_peer() {
                Some(peer) => {
                    tokio::task::spawn_local(async move {
                        // Only whether it is answered counts, which the call book keeps.
                        let _ = control.time_call("ping", ping(&control, peer)).await;
                    });
                }
                None => {
                    let Some(other) = self.state.borrow().pick_witness(doubted) else { return };
                    tokio::task::spawn_local(async move {
                        let report = Driver::report_call(&other.id);
                        let timeout = Duration::from_millis(SilenceCheck::default().within().0);
                        // As above.
                        let _ = control.timed_call("witness", other.address, report, timeout).await;
                    });
                }
            }
        }
    }

    fn count_probe(&self, result: &str) {
        self.cx.metrics.probes.with_label_values(&[result]).inc();
    }
}

/// Tells whether an answer comes from another box that has the address now, or from another life of
/// the one asked.
fn is_other_box(site_box: &SiteBox, answer: &Answer) -> bool {
    let start = site_box.id.start().zip(Driver::report_start(&answer.body));
    Driver::order_end(answer.status) == OrderEnd::OtherBox
        || start.is_some_and(|(expected, reported)| expected != reported)
}

/// Has boxes looked at that the request path found silent.
pub(super) async fn handle_hints(control: Rc<Control>) {
    while let Ok(hint) = control.cx.hint_events.recv().await {
        let id = match hint {
            Hint::Stalled(id) | Hint::Unreachable(id) => id,
            Hint::Leaves(id) => {
                control.box_leaving(&id);
                continue;
            }
        };
        let mut members = control.state.borrow().replica_members(&id);
        if !members.iter().all(|member| control.decides_for(member)) {
            continue;
        }
        // What is lost together is found together, spares among it that would take the places.
        members.extend(control.state.borrow().domain_spares(&id));
        probe_each(&control, members, Doubt::NoAnswer);
        let unknown = control.state.borrow().unknown_members(&id);
        for member in &unknown {
            control.state.borrow_mut().record_answer(member, false, control.now());
        }
        if !unknown.is_empty() {
            control.publish_and_wake();
        }
    }
}

/// Asks members of replicas whose entries went whether they are there: one that is only cut off
/// from the store works on.
pub(super) fn probe_unlisted(control: &Rc<Control>) {
    let mut unlisted = control.state.borrow_mut().take_unverified();
    unlisted.retain(|site_box| control.decides_for(site_box));
    probe_each(control, unlisted, Doubt::NotListed);
}

fn probe_each(control: &Rc<Control>, boxes: Vec<SiteBox>, doubt: Doubt) {
    for site_box in boxes {
        let control = control.clone();
        tokio::task::spawn_local(async move { control.probe(site_box, doubt).await });
    }
}
