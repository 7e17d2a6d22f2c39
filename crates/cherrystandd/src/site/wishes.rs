//! What endpoints ask of this node, as the requests of the front go by it.
//!
//! Source: docs/design/0020-rest-and-leaving.md.

use cherrystand_core::Millis;
use cherrystand_peer::LoadNews;
use cherrystand_platform::{AnswerFacts, AskedRest};

use crate::site::Hint;
use crate::site::flight::Flight;
use crate::site::front::Front;
use crate::site::request::SiteRequest;

/// Over what time those come back that were refused as all endpoints rest.
///
/// The first of them has its answer begun within 0.1 to 0.2 s; the others find room as more of these come.
const COME_BACK_OVER: Millis = Millis(500);

impl Front {
    /// Takes in what the head of a replica's answer asks of this node.
    ///
    /// An answer that names another request is somebody else's word.
    pub(crate) fn hear_wishes(&self, flight: &Flight, req: &SiteRequest, facts: &AnswerFacts) {
        if facts.request.is_some() && facts.request != req.facts.id {
            return;
        }
        self.wish_notes.limit(&flight.target, facts.limit);
        let mut chooser = self.chooser.borrow_mut();
        if facts.leaving && chooser.hear_leaving(&flight.target) {
            self.wish_notes.leaves(&flight.target);
            self.cx.hint(Hint::Leaves(flight.target.clone()));
            self.loads.tell_all(LoadNews::Leaves(flight.target.clone()));
        }
        if facts.not_run {
            let until = match facts.asked_rest {
                AskedRest::For(rest) => Some(chooser.hear_rest(&flight.target, rest, self.now())),
                _ => None,
            };
            self.wish_notes.refused(&flight.target, facts, until);
        }
    }

    /// Returns when one may first be sent to again, where every endpoint that could serve a request rests or
    /// has all that it bears.
    pub(crate) fn all_closed_until(&self, req: &SiteRequest) -> Option<Millis> {
        let view = self.view.borrow();
        let engine = view.table.as_ref()?.config().engine(&req.service);
        let ask = req.ask(engine, req.route.aim);
        self.chooser.borrow().all_closed_until(ask, engine, self.now())
    }

    /// Returns when the caller of a request may come back that was refused as all rest: after the first
    /// rest, spread over a while, as all others that were refused come back as well.
    pub(crate) fn come_back_after(&self, rests_until: Millis) -> Millis {
        let mut seed = self.seed.get();
        let spread = seed.below(COME_BACK_OVER.0 as usize) as u64;
        self.seed.set(seed);
        rests_until.since(self.now()) + Millis(spread)
    }
}
