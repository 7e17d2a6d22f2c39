//! Calls to boxes: orders and liveness probes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{
    BoxId, DomainId, LivenessProbe, MemberOrder, MemberTask, Millis, OrderEnd, ProbeFailure,
    ProbeReason, ProbeVerdict, Revision, SiteBox, WITNESS_LEAD_TIME,
};
use cherrystand_platform::{BoxCall, CallError, SendError, SiteDriver, WholeAnswer};

use crate::site::change_reading::ping;
use crate::site::control::{Control, owns_domain, readers_in};
use crate::site::{Driver, Hint};

/// The timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// How many witnesses are called at the same time as a box that may be gone; one of them may be
/// dead as well.
const WITNESS_COUNT: usize = 2;

/// The way to a box is checked once it has been silent for this part of a probe.
const PATH_CHECK_DIVISOR: u32 = 4;

/// The minimum time between two probes of a box for the same reason.
const PROBE_INTERVAL: Millis = Millis(1_000);

impl Control {
    /// Sends an order that follows from the record at revision `record`, and updates the state by
    /// how it ends.
    pub(super) async fn send_order(
        self: &Rc<Self>,
        domain: &DomainId,
        order: MemberOrder,
        record: Revision,
    ) {
        let end = self.call_order(&order, record).await;
        match end {
            OrderEnd::Taken | OrderEnd::Unfit if order.task == MemberTask::Leave => {
                // A box that answers that the order doesn't fit is not a member of the replica.
                self.state.borrow_mut().mark_left(&order);
                self.wake.notify_one();
            }
            // The box stays listed for some seconds, but it is gone.
            OrderEnd::Refused | OrderEnd::OtherBox => {
                self.state.borrow_mut().record_dead(&order.target, self.now());
                self.publish_and_wake();
            }
            // The box may carry out the order later, or it may be gone, or this daemon may be
            // delayed itself.
            OrderEnd::Dark | OrderEnd::Silent | OrderEnd::Cut => {
                let site_box = self.state.borrow().listed_box(&order.target);
                if let Some(site_box) = site_box {
                    self.probe(site_box, ProbeReason::NoAnswer).await;
                }
            }
            _ => {}
        }
        let is_silent = self.state.borrow().is_silent(&order.target);
        if let Some(formation) = self.formations.borrow_mut().get_mut(domain) {
            formation.record_order_end(&order, end, is_silent, self.now());
        }
    }

    /// Records that a box is leaving, so that its replacement is planned at once. Through the store
    /// this is known only once the box's entry says so or is gone.
    pub(super) fn box_leaving(&self, id: &BoxId) {
        if self.state.borrow_mut().mark_leaving(id) {
            log::info!(target_box = id.as_str(); "a box announced in an answer that it is leaving");
            self.publish_and_wake();
        }
    }

    /// Checks whether a box says in its own answer that it is leaving.
    fn check_leaving(&self, id: &BoxId, answer: &WholeAnswer) {
        if answer.signals::<Driver>().leaving {
            self.box_leaving(id);
        }
    }

    async fn call_order(&self, order: &MemberOrder, record: Revision) -> OrderEnd {
        let call = Driver::order_call(order, order.fence(record));
        let sent_at = self.now();
        let (id, address) = (&order.target, order.address);
        let sent = self.timed_call(order.task.as_str(), id, address, call, ORDER_TIMEOUT).await;
        let end = match &sent {
            Ok(answer) => Driver::order_end(answer.head.status()),
            Err(CallError::Send(SendError::ConnectTimedOut(_))) => OrderEnd::Dark,
            Err(err) => match err.probe_failure() {
                ProbeFailure::Refused => match self.boxes.may_judge_since(id, sent_at).await {
                    true => OrderEnd::Refused,
                    false => OrderEnd::Dark,
                },
                ProbeFailure::Cut => OrderEnd::Cut,
                ProbeFailure::Unanswered => OrderEnd::Silent,
            },
        };
        let is_alive = matches!(end, OrderEnd::Taken | OrderEnd::Unfit | OrderEnd::Fenced);
        if is_alive {
            self.state.borrow_mut().record_alive(&order.target);
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

    /// Calls a box, and records how long the answer took and whether there was one.
    async fn timed_call(
        &self,
        kind: &str,
        id: &BoxId,
        address: SocketAddr,
        call: BoxCall,
        timeout: Duration,
    ) -> Result<WholeAnswer, CallError> {
        let answer = self.boxes.call(id, address, call, timeout);
        self.time_call(kind, answer).await
    }

    /// Waits for the answer to a call, and records how long it took and whether there was one.
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

    /// Logs a verdict with the state of this node's calls: if many of them are open or unanswered
    /// at once, it is the daemon that is busy and not the box that is dead.
    fn log_verdict(
        &self,
        id: &BoxId,
        sent_at: Millis,
        verdict: ProbeVerdict,
        failure: Option<ProbeFailure>,
    ) {
        self.cx.metrics.silence_verdicts.with_label_values(&[verdict.as_str()]).inc();
        let now = self.now();
        let calls = self.call_book.borrow();
        let stats = calls.stats(now);
        let text = match verdict {
            ProbeVerdict::Dead => "a box is taken for dead",
            ProbeVerdict::Silent => "a box is taken for silent",
            ProbeVerdict::AskAgain => "a box did not answer and is probed again",
            ProbeVerdict::Undecided => "a box did not answer, which shows nothing of it: undecided",
        };
        log::info!(
            target_box = id.as_str(), failure = failure.map_or("other-box", ProbeFailure::as_str),
            waited_ms = now.since(sent_at).0, open = stats.open,
            unanswered = stats.unanswered, answered = stats.answered,
            slowest_ms = stats.slowest.0,
            quickest_since_ms =
                calls.fastest_answer_between(sent_at, now).map_or(-1, |took| took.0 as i64);
            "{text}"
        );
    }

    /// Returns whether this node decides for the domain of a box, or the box has no domain.
    fn decides_for(&self, site_box: &SiteBox) -> bool {
        let view = self.cx.current_view();
        let domain = site_box.domain.as_ref();
        domain.is_none_or(|domain| owns_domain(&view, &readers_in(&view), domain))
    }

    /// Returns whether a box may be probed, which it may not if it has just been probed for the
    /// same reason or is still asked after it fell silent, and records the probe.
    fn may_probe(&self, id: &BoxId, reason: ProbeReason) -> bool {
        if self.followed.borrow().contains(id) {
            return false;
        }
        let now = self.now();
        let mut last_probed = self.last_probed.borrow_mut();
        last_probed.retain(|_, at| now.since(*at) < PROBE_INTERVAL);
        let key = (id.clone(), reason);
        if last_probed.contains_key(&key) {
            return false;
        }
        last_probed.insert(key, now);
        true
    }

    /// Probes a box that may be gone, repeatedly if this daemon may be delayed itself.
    async fn probe(self: &Rc<Self>, site_box: SiteBox, reason: ProbeReason) {
        if !self.may_probe(&site_box.id, reason) {
            return;
        }
        let mut probe = LivenessProbe::default();
        self.probing.borrow_mut().insert(site_box.id.clone());
        let verdict = self.probe_until_known(&site_box, reason, &mut probe).await;
        self.probing.borrow_mut().remove(&site_box.id);
        // Steps that waited for the outcome continue.
        self.wake.notify_one();
        let is_silent = verdict == Some(ProbeVerdict::Silent);
        if is_silent && self.followed.borrow_mut().insert(site_box.id.clone()) {
            tokio::task::spawn_local(self.clone().follow_silence(site_box, reason, probe));
        }
    }

    /// Probes a box until it answers, which returns `None`, or something is known of it.
    async fn probe_until_known(
        self: &Rc<Self>,
        site_box: &SiteBox,
        reason: ProbeReason,
        probe: &mut LivenessProbe,
    ) -> Option<ProbeVerdict> {
        loop {
            let verdict = self.probe_once(site_box, reason, probe).await;
            if verdict != Some(ProbeVerdict::AskAgain) {
                return verdict;
            }
        }
    }

    /// Goes on probing a silent box until it answers or is dead. If neither can be told, it is not taken
    /// for silent any more.
    async fn follow_silence(
        self: Rc<Self>,
        site_box: SiteBox,
        reason: ProbeReason,
        mut probe: LivenessProbe,
    ) {
        let goes_on = [Some(ProbeVerdict::Silent), Some(ProbeVerdict::AskAgain)];
        let mut verdict = Some(ProbeVerdict::Silent);
        while goes_on.contains(&verdict) {
            verdict = self.probe_once(&site_box, reason, &mut probe).await;
        }
        self.followed.borrow_mut().remove(&site_box.id);
        if verdict == Some(ProbeVerdict::Undecided) {
            self.record_answering(&site_box.id);
        }
    }

    /// Probes a box once and records the outcome. Returns `None` if it answered.
    async fn probe_once(
        self: &Rc<Self>,
        site_box: &SiteBox,
        reason: ProbeReason,
        probe: &mut LivenessProbe,
    ) -> Option<ProbeVerdict> {
        let (sent_at, timeout) = (self.now(), probe.timeout());
        self.probe_witnesses(site_box);
        let answer = self.report_and_check_path(site_box, probe).await;
        let (verdict, failure) = match &answer {
            Ok(answer) if is_other_box(site_box, answer) => (ProbeVerdict::Dead, None),
            Ok(answer) => {
                self.record_probe_answer(&site_box.id, answer);
                return None;
            }
            Err(err) => {
                let failure = err.probe_failure();
                let verdict = self.judge_failure(site_box, reason, probe, sent_at, failure).await;
                (verdict, Some(failure))
            }
        };
        self.count_probe("silent");
        self.log_verdict(&site_box.id, sent_at, verdict, failure);
        self.record_verdict(&site_box.id, verdict);
        if failure == Some(ProbeFailure::Cut) && verdict == ProbeVerdict::AskAgain {
            // A connection is cut at once, and the box is not asked again as soon.
            self.cx.clock.sleep_until(sent_at + timeout).await;
        }
        Some(verdict)
    }

    /// Returns what a probe that failed shows. It shows nothing if the way to the box may be at fault.
    async fn judge_failure(
        self: &Rc<Self>,
        site_box: &SiteBox,
        reason: ProbeReason,
        probe: &mut LivenessProbe,
        sent_at: Millis,
        failure: ProbeFailure,
    ) -> ProbeVerdict {
        let now = self.now();
        let is_refused = failure == ProbeFailure::Refused;
        if is_refused && LivenessProbe::verdict_on_refusal(reason) == ProbeVerdict::Undecided {
            return ProbeVerdict::Undecided;
        }
        if failure == ProbeFailure::Cut {
            return probe.record_doubt();
        }
        let is_shown = is_refused || probe.shows_silence(sent_at, now, &self.call_book.borrow());
        if !is_shown || !self.boxes.may_judge_since(&site_box.id, sent_at).await {
            return probe.record_doubt();
        }
        match is_refused {
            true => LivenessProbe::verdict_on_refusal(reason),
            false => probe.record_silence(now.since(sent_at)),
        }
    }

    fn record_probe_answer(&self, id: &BoxId, answer: &WholeAnswer) {
        self.count_probe("answered");
        self.check_leaving(id, answer);
        self.record_answering(id);
    }

    /// Records that a box is not taken for silent any more.
    fn record_answering(&self, id: &BoxId) {
        let was_silent = self.state.borrow_mut().record_alive(id);
        if was_silent {
            log::info!(target_box = id.as_str(); "a box is not taken for silent any more");
            self.publish_and_wake();
        }
    }

    fn record_verdict(&self, id: &BoxId, verdict: ProbeVerdict) {
        let mut state = self.state.borrow_mut();
        let is_new = match verdict {
            ProbeVerdict::Silent => state.record_silent(id, self.now()),
            ProbeVerdict::Dead => {
                state.record_dead(id, self.now());
                true
            }
            ProbeVerdict::AskAgain | ProbeVerdict::Undecided => false,
        };
        drop(state);
        if is_new {
            self.publish_and_wake();
        }
    }

    /// Asks a box for a report. If none arrives soon, the way to it is checked meanwhile, so that the
    /// next report takes another one.
    async fn report_and_check_path(
        &self,
        site_box: &SiteBox,
        probe: &LivenessProbe,
    ) -> Result<WholeAnswer, CallError> {
        let timeout = Duration::from_millis(probe.timeout().0);
        let call = Driver::report_call(&site_box.id);
        let report = self.timed_call("report", &site_box.id, site_box.address, call, timeout);
        tokio::pin!(report);
        let checking = async {
            tokio::time::sleep(timeout / PATH_CHECK_DIVISOR).await;
            self.boxes.check_path(&site_box.id, site_box.address).await;
        };
        tokio::select! {
            answer = &mut report => answer,
            () = checking => report.await,
        }
    }

    /// Calls peers, or other boxes if there are no peers. An answer shows that this daemon isn't
    /// delayed itself. Does nothing if witnesses were called just before.
    fn probe_witnesses(self: &Rc<Self>, suspect: &SiteBox) {
        let now = self.now();
        if self.witness_probed_at.get().is_some_and(|at| now.since(at) <= WITNESS_LEAD_TIME) {
            return;
        }
        self.witness_probed_at.set(Some(now));
        for _ in 0..WITNESS_COUNT {
            let control = self.clone();
            match self.peers.nearby_peer() {
                Some(peer) => {
                    tokio::task::spawn_local(async move {
                        // Only whether there is an answer matters, which the call book records.
                        let _ = control.time_call("ping", ping(&control, peer)).await;
                    });
                }
                None => {
                    let Some(other) = self.state.borrow().pick_witness(suspect) else { return };
                    tokio::task::spawn_local(async move {
                        let report = Driver::report_call(&other.id);
                        let timeout = Duration::from_millis(LivenessProbe::default().timeout().0);
                        // As above.
                        let call = control.timed_call(
                            "witness",
                            &other.id,
                            other.address,
                            report,
                            timeout,
                        );
                        let _ = call.await;
                    });
                }
            }
        }
    }

    fn count_probe(&self, result: &str) {
        self.cx.metrics.probes.with_label_values(&[result]).inc();
    }
}

/// Returns whether an answer comes from another box that has the address now, or from another
/// incarnation of the box.
fn is_other_box(site_box: &SiteBox, answer: &WholeAnswer) -> bool {
    let start = site_box.id.start().zip(Driver::read_start_time(&answer.body));
    Driver::order_end(answer.head.status()) == OrderEnd::OtherBox
        || start.is_some_and(|(expected, reported)| expected != reported)
}

/// Probes the boxes that the request path reported.
pub(super) async fn handle_hints(control: Rc<Control>) {
    while let Ok(hint) = control.cx.hint_events.recv().await {
        let id = match hint {
            Hint::Stalled(id) | Hint::Unreachable(id) => id,
            Hint::Leaving(id) => {
                control.box_leaving(&id);
                continue;
            }
        };
        let mut members = control.state.borrow().replica_members(&id);
        if !members.iter().all(|member| control.decides_for(member)) {
            continue;
        }
        // Boxes that fail together are probed together, including the spares that would replace the
        // members.
        members.extend(control.state.borrow().domain_spares(&id));
        probe_each(&control, members, ProbeReason::NoAnswer);
        let mut unknown = control.state.borrow().unknown_members(&id);
        if !unknown.is_empty() && !control.boxes.may_judge_since(&id, control.now()).await {
            unknown.clear();
        }
        for member in &unknown {
            control.state.borrow_mut().record_unknown_silent(member, control.now());
        }
        if !unknown.is_empty() {
            control.publish_and_wake();
        }
    }
}

/// Probes members of replicas whose store entries are gone. A box that has only lost its connection
/// to the store keeps working.
pub(super) fn probe_unlisted(control: &Rc<Control>) {
    let mut unlisted = control.state.borrow_mut().take_unverified();
    unlisted.retain(|site_box| control.decides_for(site_box));
    probe_each(control, unlisted, ProbeReason::NotListed);
}

fn probe_each(control: &Rc<Control>, boxes: Vec<SiteBox>, reason: ProbeReason) {
    for site_box in boxes {
        let control = control.clone();
        tokio::task::spawn_local(async move { control.probe(site_box, reason).await });
    }
}
