//! Watching which requests were at boxes as these ended.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cherrystand_core::{BoxId, CrashSuspects, CutAnswers, CutStep, Fingerprint, SiteView};
use tokio::net::TcpStream;

use crate::DutyContext;
use crate::site::front::Front;

/// How long a box may take to accept a connection that shows that it is there.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// Keeps requests that were at boxes as these ended.
pub(crate) struct CrashWatch {
    cx: DutyContext,
    cut: RefCell<CutAnswers>,
    suspects: RefCell<CrashSuspects>,
}

impl CrashWatch {
    /// Creates one that knows of no end.
    pub(crate) fn new(cx: DutyContext) -> Self {
        Self { cx, cut: RefCell::default(), suspects: RefCell::default() }
    }

    /// Takes in that a box cut the answer to a request, and finds out whether the box ended.
    pub(crate) fn cut(&self, front: &Rc<Front>, life: &BoxId, request: Fingerprint) {
        // A box that says that it leaves ends as planned.
        if front.is_leaving(life) {
            return;
        }
        let step = self.cut.borrow_mut().cut(life, request, self.cx.clock.now());
        match step {
            CutStep::Ask => self.ask(front, life),
            CutStep::Wait => {}
            CutStep::Ended => self.note(life, &[request]),
        }
    }

    fn ask(&self, front: &Rc<Front>, life: &BoxId) {
        let Some(address) = front.address_of(life) else { return };
        let (front, life) = (front.clone(), life.clone());
        tokio::task::spawn_local(async move {
            match is_there(address).await {
                Some(true) => front.crashes.cut.borrow_mut().lives(&life),
                Some(false) => front.crashes.ended(&life),
                // Its entry will tell.
                None => {}
            }
        });
    }

    /// Takes in by the newest view which boxes ended that cut answers.
    pub(crate) fn follow(&self, view: &SiteView) {
        let is_gone =
            |life: &&BoxId| !view.boxes.contains_key(*life) || view.silent.contains(*life);
        let ended: Vec<BoxId> = self.cut.borrow().undecided().filter(is_gone).cloned().collect();
        ended.iter().for_each(|life| self.ended(life));
    }

    /// Takes in that a box ended.
    fn ended(&self, life: &BoxId) {
        let requests = self.cut.borrow_mut().ended(life, self.cx.clock.now());
        self.note(life, &requests);
    }

    /// Notes requests whose answers ended with their box, and writes down how often they were at such
    /// ends.
    fn note(&self, life: &BoxId, requests: &[Fingerprint]) {
        let mut suspects = self.suspects.borrow_mut();
        let ends = requests.iter().map(|request| (suspects.ended(life, *request), *request));
        let ends: Vec<(usize, Fingerprint)> = ends.collect();
        let Some((most, request)) = ends.iter().max() else { return };
        let again = ends.iter().filter(|(ends, _)| *ends > 1).count();
        self.cx.metrics.answers_ended_with_box.inc_by(ends.len() as u64);
        log::warn!(
            target_box = life.as_str(), requests = ends.len(), at_earlier_ends = again,
            most_ends = *most, fingerprint = request.to_string();
            "a box ended while it worked on requests"
        );
    }
}

/// Tells whether somebody listens at an address; nothing where it does not answer.
async fn is_there(address: SocketAddr) -> Option<bool> {
    match tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Some(true),
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Some(false),
        _ => None,
    }
}
