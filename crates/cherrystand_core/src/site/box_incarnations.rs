//! Derives the incarnation that a box's entry in the store describes.

use std::collections::{BTreeMap, HashMap};

use crate::{BoxId, BoxStart, ServiceName, SiteBox};

/// The service and start time in the entry of one box.
#[derive(Clone, Debug)]
struct BoxEntry {
    service: ServiceName,
    start: BoxStart,
}

/// How many entries of a service report a start time, and how many do not.
#[derive(Clone, Copy, Debug, Default)]
struct StartCounts {
    reported: usize,
    unreported: usize,
}

impl StartCounts {
    fn counter_for(&mut self, start: BoxStart) -> Option<&mut usize> {
        match start {
            BoxStart::At(_) => Some(&mut self.reported),
            BoxStart::Unreported => Some(&mut self.unreported),
            // A malformed start time is no evidence about the other boxes of the service.
            BoxStart::Malformed => None,
        }
    }
}

/// Decides by majority whether the boxes of a service report their start times, and derives each
/// box's incarnation from that.
///
/// Where most entries of a service report a start time, an entry that reports none, or a malformed
/// one, is not used. Where most do not, each box has a single incarnation that is named after the
/// box alone. The decision depends only on the current entries, so that all daemons that hold the
/// same entries agree however long they have run, and a single faulty writer changes nothing.
#[derive(Clone, Debug, Default)]
pub struct BoxIncarnations {
    entries: BTreeMap<BoxId, BoxEntry>,
    counts: HashMap<ServiceName, StartCounts>,
}

impl BoxIncarnations {
    /// Records the entry of a box, and returns whether that changes the decision for its service.
    pub fn update(&mut self, entry: &SiteBox) -> bool {
        let previous = self.entries.get(entry.id.name());
        // Fast path: most updates are heartbeats that change neither the service nor the start.
        if previous.is_some_and(|previous| {
            previous.service == entry.service && previous.start == entry.start
        }) {
            return false;
        }
        let before = self.reports_starts(&entry.service);
        let name = BoxId::new(entry.id.name());
        self.remove(&name);
        let new_entry = BoxEntry { service: entry.service.clone(), start: entry.start };
        if let Some(count) =
            self.counts.entry(new_entry.service.clone()).or_default().counter_for(new_entry.start)
        {
            *count += 1;
        }
        self.entries.insert(name, new_entry);
        self.reports_starts(&entry.service) != before
    }

    /// Removes the entry of a box, and returns its service if that changes the decision for it.
    pub fn remove(&mut self, name: &BoxId) -> Option<ServiceName> {
        let removed = self.entries.remove(name)?;
        let before = self.reports_starts(&removed.service);
        let counts = self.counts.entry(removed.service.clone()).or_default();
        if let Some(count) = counts.counter_for(removed.start) {
            *count -= 1;
        }
        (self.reports_starts(&removed.service) != before).then_some(removed.service)
    }

    /// Returns whether the boxes of a service report their start times.
    pub fn reports_starts(&self, service: &ServiceName) -> bool {
        self.counts.get(service).is_some_and(|counts| counts.reported > counts.unreported)
    }

    /// Returns the incarnation that an entry describes, or `None` if the entry is not to be used.
    pub fn incarnation_of(&self, entry: &SiteBox) -> Option<BoxId> {
        match (self.reports_starts(&entry.service), entry.start) {
            (true, BoxStart::At(start)) => Some(entry.id.with_incarnation(start)),
            (true, _) => None,
            (false, _) => Some(BoxId::new(entry.id.name())),
        }
    }
}
