//! Which life of a box an entry tells of.

use std::collections::{BTreeMap, HashMap};

use crate::{BoxId, BoxStart, ServiceName, SiteBox};

/// What the entry of one box says of its start.
#[derive(Clone, Debug)]
struct Told {
    service: ServiceName,
    start: BoxStart,
}

/// How many entries of a service tell of their start, and how many do not.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    told: usize,
    untold: usize,
}

impl Counts {
    fn of(&mut self, start: BoxStart) -> Option<&mut usize> {
        match start {
            BoxStart::At(_) => Some(&mut self.told),
            BoxStart::Unreported => Some(&mut self.untold),
            // One that writes what is no time says nothing of the others.
            BoxStart::Malformed => None,
        }
    }
}

/// Decides by what most entries of a service tell whether its boxes have lives.
///
/// Where most tell of their start, one that does not, or not in whole milliseconds, names no box;
/// where most do not, a box has one life, which nobody knows. It is decided from the entries as they
/// are and nothing else, so that every daemon that has them decides alike, however long it runs, and
/// one odd writer decides nothing.
#[derive(Clone, Debug, Default)]
pub struct BoxIncarnations {
    told: BTreeMap<BoxId, Told>,
    counts: HashMap<ServiceName, Counts>,
}

impl BoxIncarnations {
    /// Takes in the entry of a box by its name, and tells whether its service is decided otherwise by
    /// that.
    pub fn update(&mut self, known: &SiteBox) -> bool {
        let held = self.told.get(known.id.name());
        // Most entries are heartbeats.
        if held.is_some_and(|held| held.service == known.service && held.start == known.start) {
            return false;
        }
        let before = self.reports_starts(&known.service);
        let name = BoxId::new(known.id.name());
        self.remove(&name);
        let told = Told { service: known.service.clone(), start: known.start };
        if let Some(count) = self.counts.entry(told.service.clone()).or_default().of(told.start) {
            *count += 1;
        }
        self.told.insert(name, told);
        self.reports_starts(&known.service) != before
    }

    /// Forgets the entry of a box, and returns its service where that is decided otherwise by that.
    pub fn remove(&mut self, name: &BoxId) -> Option<ServiceName> {
        let told = self.told.remove(name)?;
        let before = self.reports_starts(&told.service);
        let counts = self.counts.entry(told.service.clone()).or_default();
        if let Some(count) = counts.of(told.start) {
            *count -= 1;
        }
        (self.reports_starts(&told.service) != before).then_some(told.service)
    }

    /// Tells whether the boxes of a service tell of their starts.
    pub fn reports_starts(&self, service: &ServiceName) -> bool {
        self.counts.get(service).is_some_and(|counts| counts.told > counts.untold)
    }

    /// Returns the life that an entry tells of; nothing where it names no box to use.
    pub fn incarnation_of(&self, known: &SiteBox) -> Option<BoxId> {
        match (self.reports_starts(&known.service), known.start) {
            (true, BoxStart::At(start)) => Some(known.id.with_incarnation(start)),
            (true, _) => None,
            (false, _) => Some(BoxId::new(known.id.name())),
        }
    }
}
