//! Which replicas requests with a confined suspect are sent to; all others keep away from these.
//!
//! Source: docs/design/0032-blame-that-explains.md.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{BoxId, Fingerprint, Verdict, confined_boxes};

use crate::site::crash_watch::CrashWatch;
use crate::site::request::SiteRequest;

/// The boxes that this node has confined suspects to.
#[derive(Default)]
pub(crate) struct Confinements {
    by_suspect: BTreeMap<Fingerprint, BTreeSet<BoxId>>,
}

impl Confinements {
    /// Returns whether a suspect is, or was, confined to a box.
    pub(super) fn contains(&self, suspect: Fingerprint, box_id: &BoxId) -> bool {
        self.by_suspect.get(&suspect).is_some_and(|boxes| boxes.contains(box_id))
    }

    /// Forgets all that no longer need to be kept.
    pub(super) fn retain(&mut self, is_kept: impl Fn(Fingerprint) -> bool) {
        self.by_suspect.retain(|suspect, _| is_kept(*suspect));
    }
}

impl CrashWatch {
    /// Returns the boxes that a request may be sent to, if a suspect that it has is confined.
    pub(crate) fn boxes_confined_to<'a>(
        &self,
        req: &SiteRequest,
        serving: impl FnOnce() -> Vec<&'a BoxId>,
    ) -> Option<Vec<BoxId>> {
        if self.is_idle() {
            return None;
        }
        let suspects = self.suspects.borrow();
        let mut features = req.features().iter();
        let suspect = features.find(|feature| suspects.verdict(**feature) == Verdict::Confined)?;
        let interrupted = self.interrupted.borrow();
        let living = serving().into_iter().filter(|id| !interrupted.has_crashed(id));
        let boxes = confined_boxes(*suspect, living);
        let mut confinements = self.confinements.borrow_mut();
        let known = confinements.by_suspect.entry(*suspect).or_default();
        known.extend(boxes.iter().cloned());
        (!boxes.is_empty()).then_some(boxes)
    }

    /// Returns the boxes to which this node has confined what a request doesn't have: a crash there is
    /// then not its own.
    pub(super) fn boxes_of_confined(&self, features: &[Fingerprint]) -> Vec<BoxId> {
        let (suspects, confinements) = (self.suspects.borrow(), self.confinements.borrow());
        let others = confinements.by_suspect.iter().filter(|(suspect, _)| {
            !features.contains(suspect) && suspects.verdict(**suspect) == Verdict::Confined
        });
        others.flat_map(|(_, boxes)| boxes).cloned().collect()
    }
}
